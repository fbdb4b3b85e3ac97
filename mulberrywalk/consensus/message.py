"""Records of the replicated log and the messages between its replicas.

Times are milliseconds of the monotonic clock of the process that wrote them.
"""

from __future__ import annotations

import enum
from typing import NewType, TypeAlias

import msgspec

ReplicaId = NewType('ReplicaId', str)
Term = NewType('Term', int)
Index = NewType('Index', int)


class EntryKind(enum.Enum):
    """What the payload of a log entry holds."""

    NOOP = 'noop'
    COMMAND = 'command'
    MEMBERSHIP = 'membership'


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One numbered entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes


class Member(msgspec.Struct, frozen=True):
    """A replica, where it listens, and whether it votes."""

    identity: ReplicaId
    address: str
    data_centre: str
    voter: bool


class Membership(msgspec.Struct, frozen=True):
    """The replicas that hold the log, voters and learners."""

    members: tuple[Member, ...]

    def voters(self) -> list[ReplicaId]:
        """Return the identities that vote."""
        return [one.identity for one in self.members if one.voter]

    def identities(self) -> list[ReplicaId]:
        """Return the identities of voters and learners."""
        return [one.identity for one in self.members]

    def find(self, identity: ReplicaId) -> Member | None:
        """Return the member of that identity, or None."""
        return next(
            (one for one in self.members if one.identity == identity), None
        )

    def quorum(self) -> int:
        """Return how many voters decide."""
        return len(self.voters()) // 2 + 1

    def replace(self, member: Member) -> Membership:
        """Return the membership with this member added or changed."""
        others = self.remove(member.identity).members
        return Membership((*others, member))

    def remove(self, identity: ReplicaId) -> Membership:
        """Return the membership without that identity."""
        return Membership(
            tuple(one for one in self.members if one.identity != identity)
        )


EMPTY_MEMBERSHIP = Membership(())


class Snapshot(msgspec.Struct, frozen=True):
    """The applied state up to and including one index."""

    index: int
    term: int
    membership: Membership
    payload: bytes


class PreVoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks whether an election at this term could be won.

    asked_at is of the sender's clock, for what comes back.
    """

    term: int
    last_index: int
    last_term: int
    asked_at: int = 0


class PreVoteReply(msgspec.Struct, frozen=True, tag=True):
    """Answers a pre-vote; the term is the one that was asked about.

    boot names the process that answers, zero once it has heard of a leader;
    it has been up for uptime_ms.
    """

    term: int
    granted: bool
    boot: int = 0
    uptime_ms: int = 0
    asked_at: int = 0


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks for the vote; a hand-over skips the leader lease.

    restarted proves that there is none: the boot of every voter, if all have
    said that they have started anew.
    """

    term: int
    last_index: int
    last_term: int
    handover: bool
    restarted: tuple[tuple[ReplicaId, int], ...] = ()


class VoteReply(msgspec.Struct, frozen=True, tag=True):
    """Answers a request for the vote."""

    term: int
    granted: bool


class AppendRequest(msgspec.Struct, frozen=True, tag=True):
    """Carries entries and the commit index; empty as a heartbeat."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    sent_at: int


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """Answers an append; sent_at is echoed to prove the leader lease.

    match is the last index known to agree when it succeeded, and otherwise
    the index from which the leader should try again.
    """

    term: int
    succeeded: bool
    match: int
    sent_at: int


class SnapshotRequest(msgspec.Struct, frozen=True, tag=True):
    """Replaces the log of a replica that is behind its start."""

    term: int
    snapshot: Snapshot
    sent_at: int


class HandoverRequest(msgspec.Struct, frozen=True, tag=True):
    """Tells a voter that has the whole log to stand for election now."""

    term: int


Message: TypeAlias = (
    PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | HandoverRequest
)
