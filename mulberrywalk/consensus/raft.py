"""The consensus reducer, Raft as published, without input or output.

step takes one input and returns the effects to carry out. Messages marked
is_after_sync may leave only when all SaveVote and SaveEntries effects up to
them are on the disk; the caller then reports Synced.
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
    committed: int = 0,
    boot: int = 0,
) -> node.Node:
    """Return the state of a replica that starts from its disk.

    All entries of the log count as synced. The replica counts as having just
    heard from a leader, because it may have promised one a lease before it
    stopped. committed is the commit index that the disk remembers; entries up
    to it are not handed out again. boot is a number of this process alone; zero
    lets it wait for the whole election timeout.
    """
    state = node.Node(identity=identity, log=log, timing=timing)
    state.term = vote.term
    state.vote = vote.vote
    state.now = now
    state.heard_at = now
    known = max(log.snapshot_index, min(committed, log.last_index()))
    state.commit_index = known
    state.applied_index = known
    state.synced_index = log.last_index()
    state.membership = log.membership_at(log.last_index())
    state.boot = boot
    state.started_at = now
    election.defer(state)
    return state


def step(state: node.Node, entered: node.Input) -> list[node.Effect]:
    """Apply one input to the state and return the effects in order.

    The state is changed in place: it belongs to this reducer alone.
    """
    effects: list[node.Effect] = []
    _INPUTS[type(entered)](state, entered, effects)
    replication.commit(state, effects)
    return effects


def _receive(
    state: node.Node, entered: node.Received, effects: list[node.Effect]
) -> None:
    body = entered.body
    is_trial = isinstance(body, message.PreVoteRequest | message.PreVoteReply)
    if body.term > state.term and not is_trial:
        if election.is_vote_refused_by_lease(state, body):
            return
        election.follow(state, body.term, effects)
    _MESSAGES[type(body)](state, entered.sender, body, effects)


def _tick(
    state: node.Node, entered: node.Tick, effects: list[node.Effect]
) -> None:
    state.now = max(state.now, entered.now)
    if state.role is node.Role.LEADER:
        leadership.lead(state, effects)
    elif state.now >= state.election_at:
        election.stand(state, effects)


_INPUTS: MappingProxyType[Any, Callable[..., None]] = MappingProxyType(
    {
        node.Tick: _tick,
        node.Received: _receive,
        node.Synced: replication.sync,
        node.Proposed: leadership.propose,
        node.MembershipProposed: leadership.propose_membership,
        node.HandoverProposed: leadership.propose_handover,
        node.Compacted: replication.compact,
    }
)

_MESSAGES: MappingProxyType[Any, Callable[..., None]] = MappingProxyType(
    {
        message.PreVoteRequest: election.answer_pre_vote,
        message.PreVoteReply: election.count_pre_vote,
        message.VoteRequest: election.answer_vote,
        message.VoteReply: election.count_vote,
        message.HandoverRequest: election.accept_handover,
        message.AppendRequest: replication.answer_append,
        message.AppendReply: leadership.count_append,
        message.SnapshotRequest: replication.answer_snapshot,
    }
)
