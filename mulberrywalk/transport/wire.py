"""Messages between entries and replicas, and among replicas."""

from __future__ import annotations

from typing import Any, TypeAlias

import msgspec

from ..consensus import message
from ..core import event, identity, job
from ..telemetry import cost, journal
from . import configuration_part, relief, snapshot_part, team_request


class Submit(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Submit a job; request is the mark of the caller's request."""

    specification: job.Specification
    digest: str
    request: str = ''


class Cancel(msgspec.Struct, frozen=True, tag=True):
    """Cancel a job.

    team is that of the caller: empty for a caller without a team, None for one
    whose team is not checked.
    """

    job: identity.JobId
    team: str | None = None


class GetJob(msgspec.Struct, frozen=True, tag=True):
    """Read a job; with is_waiting the reply is sent when the job ends."""

    job: identity.JobId
    is_waiting: bool = False


class Explain(msgspec.Struct, frozen=True, tag=True):
    """Ask why a job waits or where it ran."""

    job: identity.JobId


class PatchConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Patch the configuration; version is the one it is based on."""

    request_id: str
    version: int
    changes: dict[str, Any]


class GetConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Read the configuration and the version that each process applies."""


class GetMembers(msgspec.Struct, frozen=True, tag=True):
    """Read the replicas and the entries known to the leader."""


class GetTargets(msgspec.Struct, frozen=True, tag=True):
    """Read the targets and their free resources."""


class OpenSession(msgspec.Struct, frozen=True, tag=True):
    """Open a session for a target."""

    announcement: event.Announcement


class DrainTarget(msgspec.Struct, frozen=True, tag=True):
    """Stop placing new work on a target, on an operator's request."""

    target: identity.TargetId


class GetState(msgspec.Struct, frozen=True, tag=True):
    """Read only the state of a job; team is as in Cancel."""

    job: identity.JobId
    team: str | None = None


class CountPending(msgspec.Struct, frozen=True, tag=True):
    """Count the jobs of a queue that have not started."""

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
    | team_request.GetTeams
)


class Call(msgspec.Struct, frozen=True, tag=True):
    """A request; ticket is the correlation number that its reply repeats."""

    ticket: int
    request: Request


class Renewals(msgspec.Struct, frozen=True, tag=True):
    """Sessions to renew, each with its target's sequence number."""

    sessions: tuple[tuple[identity.SessionId, int], ...]


class PolledSessions(msgspec.Struct, frozen=True, tag='Carried'):
    """Sessions of the targets that an entry polls, sent when it connects."""

    sessions: tuple[identity.SessionId, ...]


class Report(msgspec.Struct, frozen=True, tag=True):
    """Starts, ends, usage and checkpoints that a target reports.

    expired holds attempts that can no longer start, as all copies of their
    starts have expired. It is valid only while the assignment with the given
    term and number is the current one of the session.
    """

    session: identity.SessionId
    started: tuple[event.AttemptStart, ...] = ()
    ended: tuple[event.AttemptEnd, ...] = ()
    usage: tuple[event.AttemptUsage, ...] = ()
    saved: tuple[event.AttemptCheckpoint, ...] = ()
    expired: tuple[event.AttemptEnd, ...] = ()
    assignment: tuple[int, int] = (0, 0)


class Departure(msgspec.Struct, frozen=True, tag=True):
    """A target is leaving; repeated until its session reflects it."""

    session: identity.SessionId


class EntryHeartbeat(
    msgspec.Struct, frozen=True, tag='EntryPulse', omit_defaults=True
):
    """The heartbeat of an entry, with the configuration version it applies.

    sent_at is the entry's monotonic clock in milliseconds. With is_stopping
    the entry is shutting down and polls no more targets. limit_millicores is
    the limit of its processor share, zero if it knows none. Only one heartbeat
    in a second states cost and limit.
    """

    version: int
    sent_at: int
    cost: cost.Cost = cost.Cost()
    is_stopping: bool = False
    limit_millicores: int = 0
    relief: relief.Relief = relief.Relief.NONE


class AdviceResult(msgspec.Struct, frozen=True, tag='Advised'):
    """The adviser's answer for a step; asked is empty when the request failed.

    allowed pairs each allowed target with its ticket. age_ms is the time since
    the adviser was asked.
    """

    step: identity.StepId
    asked: tuple[identity.TargetId, ...]
    allowed: tuple[tuple[identity.TargetId, str], ...]
    age_ms: int


class IdentityResult(msgspec.Struct, frozen=True, tag=True):
    """The result of the identity request with the same number.

    is_running is False if another process answers at the address, and None if
    no answer tells which one runs there.
    """

    number: int
    is_running: bool | None


FromEntry: TypeAlias = (
    Call
    | Renewals
    | PolledSessions
    | Report
    | Departure
    | EntryHeartbeat
    | AdviceResult
    | IdentityResult
    | configuration_part.ConfigurationProgress
)


class FromEntryBatch(msgspec.Struct, frozen=True):
    """Messages from an entry; clock is a hybrid logical timestamp."""

    process: str
    data_centre: str
    clock: int
    messages: tuple[FromEntry, ...]


class Reply(msgspec.Struct, frozen=True, tag=True):
    """The reply to a call; body is an outcome with its tag."""

    ticket: int
    body: dict[str, Any]


class StartCommand(msgspec.Struct, frozen=True):
    """Start an attempt, from the checkpoint of an earlier one if set."""

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
    """Stop an attempt; is_checkpointed asks it to save its progress first."""

    attempt: identity.AttemptId
    is_checkpointed: bool


class Commands(msgspec.Struct, frozen=True, tag=True):
    """Commands to the target of a session."""

    session: identity.SessionId
    start: tuple[StartCommand, ...] = ()
    stop: tuple[StopCommand, ...] = ()
    throttle: tuple[identity.AttemptId, ...] = ()
    acknowledge: tuple[identity.AttemptId, ...] = ()
    term: int = 0


class AttemptSharing(msgspec.Struct, frozen=True):
    """How an attempt shares its target with other attempts.

    latency_target_ms is zero unless the attempt serves user requests.
    """

    attempt: identity.AttemptId
    latency_target_ms: int
    is_filler: bool


class Assignment(msgspec.Struct, frozen=True, tag=True):
    """Assigns a polled target and its session to the entry.

    born_at identifies the incarnation of the target that the session belongs
    to. term is the leader's; it fences off commands from earlier leaders.
    shares lists the live attempts. number increases with each assignment in a
    term; with is_first no other entry has had the session.
    """

    session: identity.SessionId
    target: identity.TargetId
    address: str
    born_at: int
    term: int
    lease_ms: int
    shares: tuple[AttemptSharing, ...] = ()
    number: int = 0
    is_first: bool = False


class AdviceRequest(msgspec.Struct, frozen=True, tag='AdviceWanted'):
    """Asks the entry to query the adviser about a step."""

    step: identity.StepId
    targets: tuple[identity.TargetId, ...]


class IdentityRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks the entry whether a process of a target answers at its address.

    born_at identifies the process; term is the leader's.
    """

    number: int
    target: identity.TargetId
    address: str
    born_at: int
    term: int


class RenewedSessions(msgspec.Struct, frozen=True, tag='Renewed'):
    """Renewals that the leader accepted while it held its lease."""

    sessions: tuple[tuple[identity.SessionId, int], ...]


class EndedSessions(msgspec.Struct, frozen=True, tag='Gone'):
    """Sessions that have ended; their targets must stop all attempts."""

    sessions: tuple[identity.SessionId, ...]


class LeaderHeartbeat(
    msgspec.Struct, frozen=True, tag='LeaderPulse', omit_defaults=True
):
    """The leader holds its lease, and this configuration version is in force.

    echo is the sent_at of the latest heartbeat received from the entry. The
    entry measures from that time, so that a heartbeat delayed in a buffer does
    not count as recent. With may_be_unready, an overloaded entry may report
    that it is not ready.
    """

    version: int
    echo: int
    may_be_unready: bool = False


class MembersChanged(msgspec.Struct, frozen=True, tag=True):
    """The addresses of the replicas, after a change."""

    addresses: tuple[str, ...]


class Redirect(msgspec.Struct, frozen=True, tag=True):
    """This replica is not the leader; address is the leader's, if known."""

    address: str


ToEntry: TypeAlias = (
    Reply
    | Commands
    | RenewedSessions
    | EndedSessions
    | LeaderHeartbeat
    | configuration_part.ConfigurationPart
    | MembersChanged
    | Redirect
    | Assignment
    | AdviceRequest
    | IdentityRequest
)


class ToEntryBatch(msgspec.Struct, frozen=True):
    """Messages from a replica; clock is a hybrid logical timestamp."""

    process: str
    clock: int
    messages: tuple[ToEntry, ...]


class Status(msgspec.Struct, frozen=True, omit_defaults=True):
    """The configuration version that a replica applies, and its cost.

    data_centre is empty where there is one region.
    """

    version: int
    cost: cost.Cost
    data_centre: str = ''


PeerMessage: TypeAlias = (
    message.Message
    | snapshot_part.SnapshotPart
    | snapshot_part.SnapshotProgress
)


class PeerBatch(msgspec.Struct, frozen=True):
    """Messages from one replica to another; an empty batch is a heartbeat.

    needs_reply asks the receiver for a batch that shows that it is alive;
    status is set in such replies only. address is the host:port at which the
    sender listens; a receiver whose log doesn't name the sender answers there.
    """

    sender: message.ReplicaId
    clock: int
    messages: tuple[PeerMessage, ...]
    status: Status | None = None
    needs_reply: bool = True
    address: str = ''


class TimelineRequest(msgspec.Struct, frozen=True):
    """Ask a replica for the timeline lines that match a filter."""

    wanted: journal.Filter


class TimelineReply(msgspec.Struct, frozen=True):
    """The matching timeline lines that the replica has kept."""

    lines: tuple[journal.Line, ...]
