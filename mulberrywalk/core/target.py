"""Target and session records."""

from __future__ import annotations

import msgspec

from . import identity, resource

LEASE_MS = 4000
# Added to a lease before its session counts as expired.
LEASE_MARGIN_MS = 300
# Longer than the time between two silences of a flapping target.
UNSTEADY_MS = 10_000


class Health(msgspec.Struct, frozen=True, gc=False):
    """A target's recent failures and quarantines.

    failures counts the failures attributed to the target since its last
    success, level the quarantines since then; until is when the current
    quarantine ends, zero for none.
    """

    failures: int = 0
    level: int = 0
    until: int = 0


class Speed(msgspec.Struct, frozen=True, gc=False):
    """A target's task duration, in permille of the average."""

    slowness: int = 1000
    learned_at: int = 0


class Silence(msgspec.Struct, frozen=True, gc=False):
    """A period without lease renewals from a target.

    At noted_at the last renewal was quiet_ms old. The lease is not extended
    until contact with the target is recorded again.
    """

    quiet_ms: int
    noted_at: int

    def last_heard_at(self) -> int:
        """Return the time of the last contact, on the clock of events."""
        return self.noted_at - self.quiet_ms


class Target(msgspec.Struct, frozen=True, gc=False):
    """An instance that runs tasks; new work goes to its session.

    address is where the entry calls the target, empty for a target that
    connects by itself. A silent target may still be running its attempts but
    gets no new work. A target that was silent or failed to start work is
    placed on only after others until unsteady_until. silence_changed_at is
    when a silence was last recorded as begun or ended.
    """

    target: identity.TargetId
    data_centre: identity.DataCentre
    rack: identity.Rack
    capacity: resource.Resources
    session: identity.SessionId | None
    is_leaving: bool = False
    health: Health = Health()
    pool: identity.Pool = identity.Pool('')
    labels: tuple[str, ...] = ()
    address: str = ''
    silence: Silence | None = None
    speed: Speed = Speed()
    unsteady_until: int = 0
    silence_changed_at: int = 0


class Departure(msgspec.Struct, frozen=True, gc=False):
    """The incarnation of a target that has left, and when its session ended."""

    born_at: int
    at: int


class Description(msgspec.Struct, frozen=True, gc=False):
    """What a target says of itself for as long as its process runs."""

    address: str
    pool: identity.Pool
    data_centre: identity.DataCentre
    labels: tuple[str, ...]
    capacity: resource.Resources


class UnregisteredDeparture(msgspec.Struct, frozen=True, gc=False):
    """The incarnation of a target without a session that leaves.

    sequence is that of the heartbeat that told so, which came at the time at.
    """

    born_at: int
    sequence: int
    description: Description
    at: int


class Session(msgspec.Struct, frozen=True, gc=False):
    """A target's permission to run attempts until its lease expires."""

    session: identity.SessionId
    target: identity.TargetId
    nonce: str
    opened_at: int
    born_at: int = 0
    lease_ms: int = LEASE_MS
