"""What an overloaded entry asks for."""

from __future__ import annotations

import enum


class Relief(enum.Enum):
    """Whether an overloaded entry asks callers to use other entries.

    An entry that rests is overloaded, and does not ask for it for a while.
    """

    NONE = 0
    RESTING = 1
    WANTED = 2
