"""Records of targets and their sessions."""

from __future__ import annotations

import msgspec

from . import identity, resource

LEASE_MS = 4000
LEASE_MARGIN_MS = 300
# Longer than the silences of a target that comes and goes are apart.
UNSTEADY_MS = 10_000


class Health(msgspec.Struct, frozen=True, gc=False):
    """How a target has done lately.

    failures counts the blamed failures since the last success; level the
    quarantines since then; until is when the present one ends, zero for none.
    """

    failures: int = 0
    level: int = 0
    until: int = 0


class Speed(msgspec.Struct, frozen=True, gc=False):
    """What a target takes for its tasks, in permille of the average."""

    slowness: int = 1000
    learned_at: int = 0


class Silence(msgspec.Struct, frozen=True, gc=False):
    """A target had not renewed its lease for quiet_ms at the time noted_at.

    It is granted no more of its lease before it is noted as heard again.
    """

    quiet_ms: int
    noted_at: int

    def last_heard_at(self) -> int:
        """Return when the target was last heard, by the time of events."""
        return self.noted_at - self.quiet_ms


class Target(msgspec.Struct, frozen=True, gc=False):
    """An instance that runs tasks; session is the one that takes new work.

    address is where a target is called, empty for one that dials in. One in a
    silence may be at work, but takes no new work; one that was in a silence
    counts as unsteady until a time. silence_changed_at is when a silence was
    last noted, or noted as over.
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


class Session(msgspec.Struct, frozen=True, gc=False):
    """A target's permission to run attempts, until its lease runs out."""

    session: identity.SessionId
    target: identity.TargetId
    nonce: str
    opened_at: int
    born_at: int = 0
    lease_ms: int = LEASE_MS
