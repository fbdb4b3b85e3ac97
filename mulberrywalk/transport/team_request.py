"""Requests of operators about teams."""

from __future__ import annotations

import msgspec


class GetTeams(msgspec.Struct, frozen=True, tag=True):
    """Read what each team holds, may hold, waits for and was refused."""
