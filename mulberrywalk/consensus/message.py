"""Entries of the replicated log and the messages between its replicas.

Times are in milliseconds of the monotonic clock of the process that set them.
"""

from __future__ import annotations

import enum
from typing import NewType, TypeAlias

import msgspec

ReplicaId = NewType('ReplicaId', str)
Term = NewType('Term', int)
Index = NewType('Index', int)


class EntryKind(enum.Enum):
    """The kind of a log entry, which determines what its payload holds."""

    NOOP = 'noop'
    COMMAND = 'command'
    MEMBERSHIP = 'membership'


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the replicated log, identified by its index and term."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes


class Member(msgspec.Struct, frozen=True):
    """A replica, its listen address, and whether it is a voter."""

    identity: ReplicaId
    address: str
    data_centre: str
    voter: bool


class Membership(msgspec.Struct, frozen=True):
    """The voters and learners that replicate the log."""

    members: tuple[Member, ...]

    def voters(self) -> list[ReplicaId]:
        """Return the identities of the voters."""
        return [member.identity for member in self.members if member.voter]

    def identities(self) -> list[ReplicaId]:
        """Return the identities of voters and learners."""
        return [member.identity for member in self.members]

    def find(self, identity: ReplicaId) -> Member | None:
        """Return the member with the given identity, or None."""
        return next(
            (member for member in self.members if member.identity == identity),
            None,
        )

    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters()) // 2 + 1

    def replace(self, member: Member) -> Membership:
        """Return a copy in which the given member is replaced, or added last.

        So the members stay in the order in which they joined.
        """
        if self.find(member.identity) is None:
            return Membership((*self.members, member))
        return Membership(
            tuple(
                member if known.identity == member.identity else known
                for known in self.members
            )
        )

    def remove(self, identity: ReplicaId) -> Membership:
        """Return a copy without the member of the given identity."""
        return Membership(
            tuple(
                member for member in self.members if member.identity != identity
            )
        )


EMPTY_MEMBERSHIP = Membership(())


class Snapshot(msgspec.Struct, frozen=True):
    """The state after applying all entries up to and including index."""

    index: int
    term: int
    membership: Membership
    payload: bytes


class PreVoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks whether the receiver would vote for the sender in this term.

    asked_at is the sender's clock; the reply echoes it.
    """

    term: int
    last_index: int
    last_term: int
    asked_at: int = 0


class PreVoteReply(msgspec.Struct, frozen=True, tag=True):
    """Answers a pre-vote request.

    The term is the requested one if the pre-vote is granted, and otherwise
    the current term of the replier. boot is the boot ID of the replying
    process, or zero once it has seen a leader; uptime_ms is the time since
    that process started.
    """

    term: int
    granted: bool
    boot: int = 0
    uptime_ms: int = 0
    asked_at: int = 0


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Requests a vote; a handover bypasses the leader lease.

    restarted proves that no leader holds a lease: it maps every voter to its
    boot ID if all of them replied that they have seen no leader since they
    started. Otherwise it is empty.
    """

    term: int
    last_index: int
    last_term: int
    handover: bool
    restarted: tuple[tuple[ReplicaId, int], ...] = ()


class VoteReply(msgspec.Struct, frozen=True, tag=True):
    """Answers a vote request."""

    term: int
    granted: bool


class AppendRequest(msgspec.Struct, frozen=True, tag=True):
    """Carries entries and the commit index; without entries, a heartbeat."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    sent_at: int


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """Answers an append request.

    sent_at echoes the request and extends the leader lease. match is the last
    index at which the logs are known to match if the append succeeded, and
    otherwise the index from which the leader should retry.
    """

    term: int
    succeeded: bool
    match: int
    sent_at: int


class SnapshotRequest(msgspec.Struct, frozen=True, tag=True):
    """Replaces the log of a replica that needs entries already compacted."""

    term: int
    snapshot: Snapshot
    sent_at: int


class HandoverRequest(msgspec.Struct, frozen=True, tag=True):
    """Tells an up-to-date voter to start an election immediately.

    This is the TimeoutNow request of the Raft dissertation.
    """

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
