"""Messages between entries and replicas, and between replicas."""

from __future__ import annotations

from typing import Any, TypeAlias

import msgspec

from ..consensus import message
from ..core import configuration, event, identity, job
from ..telemetry import cost, journal


class Submit(msgspec.Struct, frozen=True, tag=True):
    """Submit a job."""

    specification: job.Specification
    digest: str


class Cancel(msgspec.Struct, frozen=True, tag=True):
    """Cancel a job."""

    job: identity.JobId


class GetJob(msgspec.Struct, frozen=True, tag=True):
    """Read a job; answered at its end when is_waiting."""

    job: identity.JobId
    is_waiting: bool = False


class Explain(msgspec.Struct, frozen=True, tag=True):
    """Ask why a job waits or where it ran."""

    job: identity.JobId


class PatchConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Patch the configuration of the version named."""

    request_id: str
    version: int
    changes: dict[str, Any]


class GetConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Read the configuration and which version each process has."""


class GetMembers(msgspec.Struct, frozen=True, tag=True):
    """Read the replicas and the entries that the leader knows."""


class GetTargets(msgspec.Struct, frozen=True, tag=True):
    """Read the targets with what is free on them."""


class OpenSession(msgspec.Struct, frozen=True, tag=True):
    """Open a session for a target."""

    announcement: event.Announcement


class DrainTarget(msgspec.Struct, frozen=True, tag=True):
    """An operator lets a target take no new work."""

    target: identity.TargetId


class GetState(msgspec.Struct, frozen=True, tag=True):
    """Read only the state of a job."""

    job: identity.JobId


class CountPending(msgspec.Struct, frozen=True, tag=True):
    """Ask how many jobs of a queue have not begun."""

    queue: str


Request: TypeAlias = (
    Submit
    | Cancel
    | GetJob
    | Explain
    | PatchConfiguration
    | GetConfiguration
    | GetMembers
    | GetTargets
    | OpenSession
    | DrainTarget
    | GetState
    | CountPending
)


class Call(msgspec.Struct, frozen=True, tag=True):
    """A request and the ticket that its reply will carry."""

    ticket: int
    request: Request


class Renewals(msgspec.Struct, frozen=True, tag=True):
    """Sessions whose targets asked to renew, with their own counts."""

    sessions: tuple[tuple[identity.SessionId, int], ...]


class PolledSessions(msgspec.Struct, frozen=True, tag='Carried'):
    """The sessions of called targets that an entry carries as it links."""

    sessions: tuple[identity.SessionId, ...]


class Report(msgspec.Struct, frozen=True, tag=True):
    """Starts, ends and usage that a target reports."""

    session: identity.SessionId
    started: tuple[event.AttemptStart, ...] = ()
    ended: tuple[event.AttemptEnd, ...] = ()
    usage: tuple[event.AttemptUsage, ...] = ()
    saved: tuple[event.AttemptCheckpoint, ...] = ()


class Departure(msgspec.Struct, frozen=True, tag=True):
    """A target is leaving; said again until its session shows it."""

    session: identity.SessionId


class EntryHeartbeat(msgspec.Struct, frozen=True, tag='EntryPulse'):
    """An entry is alive and applies this version of the configuration.

    sent_at is the entry's monotonic clock in milliseconds. An entry that is
    stopping calls no more targets.
    """

    version: int
    sent_at: int
    cost: cost.Cost = cost.Cost()
    is_stopping: bool = False


class AdviceResult(msgspec.Struct, frozen=True, tag='Advised'):
    """The adviser's answer for a step; nothing asked when it failed.

    age_ms is how long ago the adviser was asked.
    """

    step: identity.StepId
    asked: tuple[identity.TargetId, ...]
    allowed: tuple[tuple[identity.TargetId, str], ...]
    age_ms: int


FromEntry: TypeAlias = (
    Call
    | Renewals
    | PolledSessions
    | Report
    | Departure
    | EntryHeartbeat
    | AdviceResult
)


class FromEntryBatch(msgspec.Struct, frozen=True):
    """What an entry sends at once; clock is a hybrid logical stamp."""

    process: str
    data_centre: str
    clock: int
    messages: tuple[FromEntry, ...]


class Reply(msgspec.Struct, frozen=True, tag=True):
    """The answer to a call, plain data with an outcome tag."""

    ticket: int
    body: dict[str, Any]


class StartCommand(msgspec.Struct, frozen=True):
    """Start an attempt; checkpoint is what an earlier attempt left."""

    attempt: identity.AttemptId
    task: identity.TaskId
    millicores: int
    memory_bytes: int
    accelerators: int
    estimate_ms: int
    payload: str
    checkpoint: str = ''
    ticket: str = ''
    latency_target_ms: int = 0
    is_filler: bool = False


class StopCommand(msgspec.Struct, frozen=True):
    """Stop an attempt; is_checkpointed asks it to save its progress."""

    attempt: identity.AttemptId
    is_checkpointed: bool


class Commands(msgspec.Struct, frozen=True, tag=True):
    """What the target of a session is to do."""

    session: identity.SessionId
    start: tuple[StartCommand, ...] = ()
    stop: tuple[StopCommand, ...] = ()
    throttle: tuple[identity.AttemptId, ...] = ()
    acknowledge: tuple[identity.AttemptId, ...] = ()
    term: int = 0


class Share(msgspec.Struct, frozen=True):
    """How an attempt shares its target with others.

    latency_target_ms is zero unless the attempt serves users of its own.
    """

    attempt: identity.AttemptId
    latency_target_ms: int
    is_filler: bool


class Assignment(msgspec.Struct, frozen=True, tag=True):
    """The entry is to call a target of a session.

    born_at is the life that the session is with; term is the leader's, and
    fences orders of earlier ones. shares tells of the live attempts.
    """

    session: identity.SessionId
    target: identity.TargetId
    address: str
    born_at: int
    term: int
    lease_ms: int
    shares: tuple[Share, ...] = ()


class AdviceRequest(msgspec.Struct, frozen=True, tag='AdviceWanted'):
    """The entry is to ask the adviser about a step."""

    step: identity.StepId
    targets: tuple[identity.TargetId, ...]


class RenewedSessions(msgspec.Struct, frozen=True, tag='Renewed'):
    """Renewals that the leader has received while its lease held."""

    sessions: tuple[tuple[identity.SessionId, int], ...]


class EndedSessions(msgspec.Struct, frozen=True, tag='Gone'):
    """Sessions that have ended: their targets stop all they run."""

    sessions: tuple[identity.SessionId, ...]


class LeaderHeartbeat(msgspec.Struct, frozen=True, tag='LeaderPulse'):
    """The leader's lease holds and this version is in force.

    echo is the sent_at of the latest pulse that the entry has sent: the entry
    counts from then, so that a pulse that lay in a buffer proves nothing.
    """

    version: int
    echo: int


class ConfigurationChanged(msgspec.Struct, frozen=True, tag=True):
    """The configuration that is in force from now on."""

    configuration: configuration.Configuration


class MembersChanged(msgspec.Struct, frozen=True, tag=True):
    """Where the replicas listen."""

    addresses: tuple[str, ...]


class Redirect(msgspec.Struct, frozen=True, tag=True):
    """This replica does not lead; address is the leader's, or empty."""

    address: str


ToEntry: TypeAlias = (
    Reply
    | Commands
    | RenewedSessions
    | EndedSessions
    | LeaderHeartbeat
    | ConfigurationChanged
    | MembersChanged
    | Redirect
    | Assignment
    | AdviceRequest
)


class ToEntryBatch(msgspec.Struct, frozen=True):
    """What a replica sends to an entry at once."""

    process: str
    clock: int
    messages: tuple[ToEntry, ...]


class Status(msgspec.Struct, frozen=True):
    """The configuration that a replica has applied, and what it consumes."""

    version: int
    cost: cost.Cost


class PeerBatch(msgspec.Struct, frozen=True):
    """Consensus messages from one replica; empty as a heartbeat.

    status comes with the replies to batches.
    """

    sender: message.ReplicaId
    clock: int
    messages: tuple[message.Message, ...]
    status: Status | None = None


class JoinRequest(msgspec.Struct, frozen=True):
    """A replica with an empty disk asks to be admitted as a spare."""

    member: message.Member


class JoinReply(msgspec.Struct, frozen=True):
    """Whether the spare was admitted; leader is where to ask instead.

    members tells a replica that has no log yet whom it will hear from.
    """

    is_admitted: bool
    leader: str
    members: tuple[message.Member, ...] = ()


class TimelineRequest(msgspec.Struct, frozen=True):
    """Ask a replica for the lines that it keeps."""

    wanted: journal.Filter


class TimelineReply(msgspec.Struct, frozen=True):
    """The lines that match."""

    lines: tuple[journal.Line, ...]
