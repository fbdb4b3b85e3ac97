"""Messages of the target protocol, JSON over one WebSocket.

docs/PROTOCOL.md describes each of them for authors of targets.
"""

from __future__ import annotations

from typing import Annotated, Literal, TypeAlias

import msgspec

from ..core import identity, job, resource
from ..transport import wire

VERSION = 1
MAX_TEXT_LENGTH = 65_536
MAX_MESSAGE_BYTES = 8_388_608
MAX_AMOUNT = 9_007_199_254_740_992
MAX_TIMESTAMP = 4_611_686_018_427_387_904
_TAG_FIELD = 'type'

Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Timestamp = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIMESTAMP)]


class Capacity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The capacity of a target."""

    millicores: Amount
    memory_bytes: Amount
    slots: Amount
    accelerators: Amount = 0

    def resources(self) -> resource.Resources:
        """Return the capacity as core resources."""
        return resource.Resources(
            self.millicores, self.memory_bytes, self.accelerators, self.slots
        )


class Hello(
    msgspec.Struct,
    frozen=True,
    tag_field=_TAG_FIELD,
    tag='hello',
    forbid_unknown_fields=True,
):
    """The first message of a target.

    resume names a session to resume; ended names a session for which the
    target guarantees that none of its attempts is still running.
    """

    version: int
    target: job.Name
    data_centre: job.Name
    rack: job.Name
    capacity: Capacity
    nonce: job.Name
    resume: str | None = None
    ended: str | None = None
    clock: Timestamp = 0


class Renew(
    msgspec.Struct,
    frozen=True,
    tag_field=_TAG_FIELD,
    tag='renew',
    forbid_unknown_fields=True,
):
    """Requests a lease extension; also serves as a heartbeat."""

    sequence: Timestamp
    clock: Timestamp = 0


class Started(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An attempt that the target has started."""

    attempt: str
    clock: Timestamp = 0


class Ended(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An attempt that has ended or will never start."""

    attempt: str
    reason: Literal['completed', 'failed', 'stopped', 'never_started']
    answer: Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)] = ''
    detail: Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)] = ''
    checkpoint: Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)] = ''
    clock: Timestamp = 0


class Usage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The resource usage of an attempt."""

    attempt: str
    millicores: Amount
    memory_bytes: Amount


class Report(
    msgspec.Struct,
    frozen=True,
    tag_field=_TAG_FIELD,
    tag='report',
    forbid_unknown_fields=True,
):
    """State changes on the target; ends are repeated until acknowledged."""

    started: tuple[Started, ...] = ()
    ended: tuple[Ended, ...] = ()
    usage: tuple[Usage, ...] = ()
    clock: Timestamp = 0


class Leave(
    msgspec.Struct,
    frozen=True,
    tag_field=_TAG_FIELD,
    tag='leave',
    forbid_unknown_fields=True,
):
    """Announces that the target is leaving and accepts no new work."""

    clock: Timestamp = 0


FromTarget: TypeAlias = Hello | Renew | Report | Leave


class Welcome(msgspec.Struct, frozen=True, tag_field=_TAG_FIELD, tag='welcome'):
    """Opens a session; its lease starts when the target sent hello."""

    session: identity.SessionId
    lease_ms: int
    clock: int


class Renewed(msgspec.Struct, frozen=True, tag_field=_TAG_FIELD, tag='renewed'):
    """Extends the lease from when the renew with that sequence was sent."""

    sequence: int
    clock: int


class Commands(
    msgspec.Struct, frozen=True, tag_field=_TAG_FIELD, tag='commands'
):
    """Commands for the target; each list may be empty."""

    start: tuple[wire.StartCommand, ...]
    stop: tuple[wire.StopCommand, ...]
    throttle: tuple[identity.AttemptId, ...]
    acknowledge: tuple[identity.AttemptId, ...]
    clock: int


class Expired(msgspec.Struct, frozen=True, tag_field=_TAG_FIELD, tag='expired'):
    """Ends the session: stop all attempts, then open a new session."""

    clock: int


class Move(msgspec.Struct, frozen=True, tag_field=_TAG_FIELD, tag='move'):
    """Asks the target to resume at another entry, as this one stops."""

    clock: int


class Refused(msgspec.Struct, frozen=True, tag_field=_TAG_FIELD, tag='error'):
    """Gives the reason why the connection is being closed."""

    reason: str


ToTarget: TypeAlias = Welcome | Renewed | Commands | Expired | Move | Refused
