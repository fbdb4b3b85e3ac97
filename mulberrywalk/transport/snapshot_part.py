"""Messages that carry a snapshot to another replica in parts."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..consensus import message
from . import channel

Size = Annotated[int, msgspec.Meta(ge=0, le=channel.MAX_MESSAGE_BYTES)]


class Head(msgspec.Struct, frozen=True):
    """What identifies a snapshot: size is that of its payload in bytes.

    checksum is the CRC-32C of the payload.
    """

    index: int
    term: int
    membership: message.Membership
    size: Size
    checksum: int


class SnapshotPart(msgspec.Struct, frozen=True, tag=True):
    """The bytes of a snapshot's payload from an offset on.

    term and sent_at are those of the leader's latest message about it.
    """

    head: Head
    term: int
    sent_at: int
    offset: Size
    payload: bytes


class SnapshotProgress(msgspec.Struct, frozen=True, tag=True):
    """How many bytes of a snapshot a replica has received."""

    index: int
    checksum: int
    received: Size
