"""Events of the replicated log; only these change the state."""

from __future__ import annotations

import dataclasses
from typing import Any, TypeAlias

import msgspec

from . import configuration, identity, job, locality_wait, resource, target

_LEASE_MS = target.LEASE_MS


class JobSubmitted(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """A caller submits a job; digest is a hash of the request body.

    request marks the caller's request, so that copies of it are known; empty
    if its entry does not mark requests.
    """

    at: int
    specification: job.Specification
    digest: str
    request: str = ''


class JobCancelled(msgspec.Struct, frozen=True, tag=True):
    """A caller cancels a job.

    team is that of the caller: empty for a caller without a team, None for one
    whose team is not checked.
    """

    at: int
    job: identity.JobId
    team: str | None = None


class Announcement(msgspec.Struct, frozen=True):
    """A target's description of itself when it opens a session.

    nonce makes a repeated announcement return the same session. ended names
    the target's previous session; the target guarantees that none of its
    attempts still run. address is where the entry calls the target, empty for
    a target that connects by itself; for a polled target born_at is the start
    of its current incarnation, in milliseconds since 1970.
    """

    target: identity.TargetId
    data_centre: identity.DataCentre
    rack: identity.Rack
    capacity: resource.Resources
    nonce: str
    ended: identity.SessionId | None = None
    pool: identity.Pool = identity.Pool('')
    labels: tuple[str, ...] = ()
    address: str = ''
    born_at: int = 0
    lease_ms: int = _LEASE_MS


@dataclasses.dataclass(frozen=True, slots=True)
class TargetHeartbeat:
    """One announcement of a target.

    sequence numbers the heartbeats of one incarnation of the target;
    remaining_ms is the minimum time that a leaving target stays, and stop_ms
    the longest time that it takes to stop an attempt.
    """

    announcement: Announcement
    sequence: int
    is_leaving: bool
    remaining_ms: int | None = None
    stop_ms: int = 0


class SessionOpened(msgspec.Struct, frozen=True, tag=True):
    """A target opens a session.

    replaced names sessions whose processes are known to have ended, because
    the announced process has answered at its address since they were opened.
    sequence is that of the target's heartbeat, zero for a target that connects
    by itself.
    """

    at: int
    announcement: Announcement
    replaced: tuple[identity.SessionId, ...] = ()
    sequence: int = 0


class SessionExpired(msgspec.Struct, frozen=True, tag=True):
    """The target of a session runs none of its attempts any more.

    Its lease has expired, or it leaves and has listed the ends of all of them.
    """

    at: int
    session: identity.SessionId


class LeadershipBegun(msgspec.Struct, frozen=True, tag=True):
    """A leader begins its term; there may have been no leader before it.

    remote_permille is the duration of a task away from its data, in permille
    of that near it.
    """

    at: int
    remote_permille: int = locality_wait.NO_SLOWDOWN


class SilenceNoted(msgspec.Struct, frozen=True, tag=True):
    """A target is overdue to renew its lease, or has made contact again.

    quiet_ms is the time since the last renewal, zero on renewed contact.
    """

    at: int
    session: identity.SessionId
    quiet_ms: int


class DepartureAnnounced(msgspec.Struct, frozen=True, tag=True):
    """A target is leaving and takes no new work.

    remaining_ms is the least time it remains available, None for as long as
    it is needed.
    """

    at: int
    session: identity.SessionId
    remaining_ms: int | None = None


class UnregisteredDeparture(msgspec.Struct, frozen=True, tag=True):
    """A target announces that it leaves while it has no session.

    sequence is that of its heartbeat; remaining_ms is as in DepartureAnnounced.
    """

    at: int
    announcement: Announcement
    sequence: int
    remaining_ms: int | None = None


class AttemptStart(msgspec.Struct, frozen=True):
    """A target has started an attempt; at is its own wall clock in ms."""

    attempt: identity.AttemptId
    at: int


class AttemptEnd(msgspec.Struct, frozen=True):
    """An attempt has ended on a target, or will never be started there."""

    attempt: identity.AttemptId
    reason: job.EndReason
    at: int
    answer: str = ''
    detail: str = ''
    checkpoint: str = ''


class AttemptUsage(msgspec.Struct, frozen=True):
    """The last measured resource usage of an attempt."""

    attempt: identity.AttemptId
    millicores: int
    memory_bytes: int


class AttemptCheckpoint(msgspec.Struct, frozen=True):
    """The last checkpoint that a running attempt saved."""

    attempt: identity.AttemptId
    checkpoint: str


class ReportReceived(msgspec.Struct, frozen=True, tag=True):
    """A target reports starts, ends, usage and checkpoints of its session."""

    at: int
    session: identity.SessionId
    started: tuple[AttemptStart, ...] = ()
    ended: tuple[AttemptEnd, ...] = ()
    usage: tuple[AttemptUsage, ...] = ()
    saved: tuple[AttemptCheckpoint, ...] = ()


class ConfigurationPatched(msgspec.Struct, frozen=True, tag=True):
    """An operator submits a JSON merge patch against a version."""

    at: int
    request_id: str
    version: int
    changes: dict[str, Any]


class ConfigurationReplaced(msgspec.Struct, frozen=True, tag=True):
    """An operator replaces the routing, which has its own version number."""

    at: int
    routing: configuration.Routing


class AdviceReceived(msgspec.Struct, frozen=True, tag=True):
    """The adviser has answered for a step, or could not be reached.

    asked names the targets that the answer covers, none if the request failed;
    allowed holds the targets on which the step may run, with their tickets.
    The answer's validity starts at `at` minus age_ms.
    """

    at: int
    step: identity.StepId
    asked: tuple[identity.TargetId, ...]
    allowed: tuple[tuple[identity.TargetId, str], ...]
    age_ms: int


class TimePassed(msgspec.Struct, frozen=True, tag=True):
    """A tick of the leader's clock; ends each batch and triggers placement."""

    at: int


Event: TypeAlias = (
    JobSubmitted
    | JobCancelled
    | SessionOpened
    | SessionExpired
    | LeadershipBegun
    | SilenceNoted
    | DepartureAnnounced
    | UnregisteredDeparture
    | ReportReceived
    | ConfigurationPatched
    | ConfigurationReplaced
    | AdviceReceived
    | TimePassed
)
