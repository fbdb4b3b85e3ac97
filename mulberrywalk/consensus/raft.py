"""The Raft reducer, which performs no input or output itself.

step applies one input and returns the effects to execute. Messages marked
is_after_sync may be sent only after all preceding SaveVote and SaveEntries
effects have been synced to disk; the caller then reports Synced.
"""

from __future__ import annotations

from collections.abc import Callable
from types import MappingProxyType
from typing import Any

from . import election, leadership, message, node, replication
from . import log as replica_log


def create(
    identity: message.ReplicaId,
    log: replica_log.Log,
    timing: node.Timing,
    *,
    vote: node.SaveVote,
    now: int,
    saved_commit_index: int = 0,
    boot_id: int = 0,
) -> node.Node:
    """Return the initial state of a replica restored from its disk.

    All entries of the log count as synced. leader_contact_at is set to now,
    because the replica may have granted a leader a lease before it stopped.
    saved_commit_index is the commit index read from disk; no Apply effects are
    returned for entries up to it. boot_id is unique to this process; with
    zero the replica waits for the full election timeout before it starts an
    election.
    """
    state = node.Node(identity=identity, log=log, timing=timing)
    state.term = vote.term
    state.vote = vote.vote
    state.now = now
    state.leader_contact_at = now
    restored = max(
        log.snapshot_index, min(saved_commit_index, log.last_index())
    )
    state.commit_index = restored
    state.applied_index = restored
    state.synced_index = log.last_index()
    state.membership = log.membership_at(log.last_index())
    state.boot_id = boot_id
    state.started_at = now
    election.reset_election_timer(state)
    return state


def step(state: node.Node, event: node.Input) -> list[node.Effect]:
    """Apply one input to the state and return the effects in order.

    The state is modified in place; only this reducer may change it.
    """
    effects: list[node.Effect] = []
    _INPUTS[type(event)](state, event, effects)
    replication.commit_and_apply(state, effects)
    return effects


def _receive(
    state: node.Node, event: node.Received, effects: list[node.Effect]
) -> None:
    body = event.body
    is_pre_vote = isinstance(
        body, message.PreVoteRequest | message.PreVoteReply
    )
    if body.term > state.term and not is_pre_vote:
        if election.is_vote_refused_by_lease(state, body):
            return
        election.become_follower(state, body.term, effects)
    _MESSAGES[type(body)](state, event.sender, body, effects)


def _tick(
    state: node.Node, event: node.Tick, effects: list[node.Effect]
) -> None:
    state.now = max(state.now, event.now)
    if state.role is node.Role.LEADER:
        leadership.maintain_leadership(state, effects)
    elif state.now >= state.election_due_at:
        election.start_pre_vote(state, effects)


_INPUTS: MappingProxyType[Any, Callable[..., None]] = MappingProxyType(
    {
        node.Tick: _tick,
        node.Received: _receive,
        node.Synced: replication.handle_synced,
        node.Proposed: leadership.propose,
        node.MembershipProposed: leadership.propose_membership,
        node.HandoverProposed: leadership.start_handover,
        node.Compacted: replication.handle_compacted,
    }
)

_MESSAGES: MappingProxyType[Any, Callable[..., None]] = MappingProxyType(
    {
        message.PreVoteRequest: election.handle_pre_vote_request,
        message.PreVoteReply: election.handle_pre_vote_reply,
        message.VoteRequest: election.handle_vote_request,
        message.VoteReply: election.handle_vote_reply,
        message.HandoverRequest: election.handle_handover_request,
        message.AppendRequest: replication.handle_append_request,
        message.AppendReply: leadership.handle_append_reply,
        message.SnapshotRequest: replication.handle_snapshot_request,
    }
)
