"""State of one replica's consensus, its inputs and its effects."""

from __future__ import annotations

import dataclasses
import enum
import zlib
from typing import TypeAlias

from . import log as replica_log
from . import message


class Role(enum.Enum):
    """What a replica does in its term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals of the consensus in milliseconds.

    The election timeout of a replica is randomized between
    election_timeout_ms and twice that; election_timeout_ms is also the
    duration of the leader lease. clock_drift_ms is subtracted from the lease
    to allow for clocks that run at different rates. max_batch_entries is the
    largest number of entries in one append request.
    """

    heartbeat_interval_ms: int = 100
    election_timeout_ms: int = 600
    clock_drift_ms: int = 100
    max_batch_entries: int = 512


@dataclasses.dataclass(slots=True)
class Progress:
    """What the leader knows of one other replica.

    acknowledged_at is the leader's clock when it sent the newest message that
    this replica has answered; snapshot_sent_at when it last sent a snapshot.
    """

    next_index: int
    match_index: int = 0
    acknowledged_at: int = 0
    snapshot_sent_at: int = -1_000_000
    is_probing: bool = True


@dataclasses.dataclass(slots=True)
class Node:
    """The consensus state of one replica.

    synced_index is the last index synced to disk. leader_contact_at is when
    the replica last received a message from the current leader.
    election_due_at and heartbeat_due_at are when the next election or
    heartbeat starts. leader_since is when this replica became leader, and
    term_start_index the index of the first entry that it appended in its
    term. handover_to is the voter that leadership is being transferred to,
    until handover_until. boot_id identifies this process; zero disables the
    restart proof. restarted_voters maps the voters that replied to the
    pre-vote of pre_vote_sent_at that they have seen no leader since they
    started to their boot IDs. All times are in milliseconds.
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
        """Return whether this replica votes in the latest membership."""
        return self.identity in self.membership.voters()

    def peers(self) -> list[message.ReplicaId]:
        """Return the other replicas of the latest membership."""
        return [
            one for one in self.membership.identities() if one != self.identity
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """The monotonic clock in milliseconds."""

    now: int


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message from another replica."""

    sender: message.ReplicaId
    body: message.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Synced:
    """The log is on the disk up to this index, written in this term."""

    index: int
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """Commands to append; ignored by a replica that does not lead."""

    payloads: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipProposed:
    """A membership that differs from the present one in one replica."""

    membership: message.Membership


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverProposed:
    """The leader is to give its office to a voter."""


@dataclasses.dataclass(frozen=True, slots=True)
class Compacted:
    """A snapshot up to this index is on the disk."""

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
    """A message to send; after the next sync where it vouches for the disk."""

    receiver: message.ReplicaId
    body: message.Message
    is_after_sync: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SaveVote:
    """Term and vote to write and sync."""

    term: int
    vote: message.ReplicaId | None


@dataclasses.dataclass(frozen=True, slots=True)
class SaveEntries:
    """Entries to write and sync; they replace all from the first's index."""

    entries: tuple[message.LogEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendSnapshot:
    """The latest snapshot on the disk is to be sent to a replica."""

    receiver: message.ReplicaId
    term: int
    sent_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replaces the state and the log by a received snapshot, synced."""

    snapshot: message.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """A committed entry, handed out once and in order."""

    entry: message.LogEntry


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChanged:
    """The replica took another role."""

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
    """Return the spread election timeout of this replica in milliseconds.

    The spread comes from a checksum of identity and attempt, so that the
    reducer needs no randomness and two replicas rarely collide twice.
    """
    seed = f'{node.identity}/{node.term}/{node.election_attempts}'.encode()
    spread = zlib.crc32(seed) % node.timing.election_timeout_ms
    return node.timing.election_timeout_ms + spread


def holds_lease(node: Node, now: int) -> bool:
    """Return whether no other replica can lead at this time.

    True on a leader while a quorum has confirmed it within the election
    timeout less the drift of clocks, and no hand-over is under way.
    """
    if node.role is not Role.LEADER or node.handover_to is not None:
        return False
    return now < quorum_contact_at(node) + node.timing.election_timeout_ms - (
        node.timing.clock_drift_ms
    )


def quorum_contact_at(node: Node) -> int:
    """Return the latest send time that a quorum of voters has answered."""
    times = sorted(
        (
            node.now
            if voter == node.identity
            else node.progress[voter].acknowledged_at
            for voter in node.membership.voters()
        ),
        reverse=True,
    )
    return times[node.membership.quorum() - 1]
