"""The Raft state of one replica, and the inputs and effects of its reducer."""

from __future__ import annotations

import dataclasses
import enum
import zlib
from typing import TypeAlias

from . import log as replica_log
from . import message


class Role(enum.Enum):
    """The Raft role of a replica in its current term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Timing and batching parameters; times are in milliseconds.

    The election timeout of a replica lies between election_timeout_ms and
    twice that. A leader lease lasts election_timeout_ms less clock_drift_ms,
    which allows for clocks that run at different rates. max_batch_entries is
    the maximum number of entries in an append request.
    """

    heartbeat_interval_ms: int = 100
    election_timeout_ms: int = 600
    clock_drift_ms: int = 100
    max_batch_entries: int = 512


@dataclasses.dataclass(slots=True)
class Progress:
    """The leader's view of another replica.

    acknowledged_at is when the leader sent the latest message that this
    replica has answered, and snapshot_sent_at when it last sent a snapshot,
    both in milliseconds of the leader's clock. While is_probing is set, the
    leader does not know where the logs match: next_index does not advance
    until an append succeeds.
    """

    next_index: int
    match_index: int = 0
    acknowledged_at: int = 0
    snapshot_sent_at: int = -1_000_000
    is_probing: bool = True


@dataclasses.dataclass(slots=True)
class Node:
    """The Raft state of one replica.

    synced_index is the last index synced to disk. leader_contact_at is when
    the replica last received a message from the current leader.
    election_due_at and heartbeat_due_at are when the next election or
    heartbeat starts. leader_since is when this replica became leader, and
    term_start_index the index of the first entry that it appended in its
    term. handover_to is the voter that leadership is being transferred to,
    until handover_until. boot_id identifies this process; zero disables the
    restart proof. restarted_voters holds the boot IDs of the voters that have
    seen no leader since they started, according to their replies to the
    pre-vote sent at pre_vote_sent_at. All times are in milliseconds.
    """

    identity: message.ReplicaId
    log: replica_log.Log
    timing: Timing
    term: int = 0
    vote: message.ReplicaId | None = None
    role: Role = Role.FOLLOWER
    leader: message.ReplicaId | None = None
    membership: message.Membership = message.EMPTY_MEMBERSHIP
    commit_index: int = 0
    applied_index: int = 0
    synced_index: int = 0
    now: int = 0
    leader_contact_at: int = 0
    election_due_at: int = 0
    heartbeat_due_at: int = 0
    leader_since: int = 0
    term_start_index: int = 0
    votes_granted: set[message.ReplicaId] = dataclasses.field(
        default_factory=set
    )
    progress: dict[message.ReplicaId, Progress] = dataclasses.field(
        default_factory=dict
    )
    handover_to: message.ReplicaId | None = None
    handover_until: int = 0
    election_attempts: int = 0
    boot_id: int = 0
    started_at: int = 0
    has_seen_leader: bool = False
    pre_vote_sent_at: int = 0
    restarted_voters: dict[message.ReplicaId, int] = dataclasses.field(
        default_factory=dict
    )

    def is_voter(self) -> bool:
        """Return whether this replica is a voter in the latest membership."""
        return self.identity in self.membership.voters()

    def peers(self) -> list[message.ReplicaId]:
        """Return the other replicas of the latest membership."""
        return [
            replica
            for replica in self.membership.identities()
            if replica != self.identity
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Advances the monotonic clock, in milliseconds."""

    now: int


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message from another replica."""

    sender: message.ReplicaId
    body: message.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Synced:
    """The log is synced to disk up to the entry of this index and term."""

    index: int
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """Commands to append; ignored by a replica that is not the leader."""

    payloads: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipProposed:
    """A membership that differs from the current one by at most one voter."""

    membership: message.Membership


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverProposed:
    """Requests a transfer of leadership to another voter.

    One of those to avoid gets it only if there is no other.
    """

    avoided: frozenset[message.ReplicaId] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Compacted:
    """A snapshot up to this index has been synced to disk."""

    index: int


Input: TypeAlias = (
    Tick
    | Received
    | Synced
    | Proposed
    | MembershipProposed
    | HandoverProposed
    | Compacted
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Sends a message.

    is_after_sync is set if the message relies on a vote or entries that must
    be synced to disk before it is sent.
    """

    receiver: message.ReplicaId
    body: message.Message
    is_after_sync: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SaveVote:
    """Writes term and vote to disk and syncs them."""

    term: int
    vote: message.ReplicaId | None


@dataclasses.dataclass(frozen=True, slots=True)
class SaveEntries:
    """Writes entries to disk and syncs them.

    They replace all saved entries from the index of the first one on.
    """

    entries: tuple[message.LogEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendSnapshot:
    """Sends the latest snapshot on disk to a replica."""

    receiver: message.ReplicaId
    term: int
    sent_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replaces state and log with a received snapshot and syncs it to disk."""

    snapshot: message.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """Applies a committed entry; emitted once per entry, in index order."""

    entry: message.LogEntry


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChanged:
    """Reports that the role of the replica has changed."""

    role: Role
    term: int


Effect: TypeAlias = (
    Send
    | SaveVote
    | SaveEntries
    | SendSnapshot
    | InstallSnapshot
    | Apply
    | RoleChanged
)


def election_timeout(node: Node) -> int:
    """Return the election timeout of this replica in milliseconds.

    The timeout varies with a checksum of identity, term and attempt, so that
    the reducer stays deterministic and two replicas rarely time out together
    twice in a row.
    """
    seed = f'{node.identity}/{node.term}/{node.election_attempts}'.encode()
    jitter_ms = zlib.crc32(seed) % node.timing.election_timeout_ms
    return node.timing.election_timeout_ms + jitter_ms


def holds_lease(node: Node, now: int) -> bool:
    """Return whether this replica is the leader and holds a valid lease.

    While it does, no other replica can become leader. The lease is valid if a
    quorum has answered messages sent within the last election_timeout_ms less
    clock_drift_ms and no handover is in progress.
    """
    if node.role is not Role.LEADER or node.handover_to is not None:
        return False
    return now < quorum_contact_at(node) + node.timing.election_timeout_ms - (
        node.timing.clock_drift_ms
    )


def quorum_contact_at(node: Node) -> int:
    """Return the latest time such that a quorum answered messages sent since.

    The time is in milliseconds of the clock of this replica, the leader.
    """
    acknowledged = sorted(
        (
            node.now
            if voter == node.identity
            else node.progress[voter].acknowledged_at
            for voter in node.membership.voters()
        ),
        reverse=True,
    )
    return acknowledged[node.membership.quorum() - 1]
