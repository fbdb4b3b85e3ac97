"""What every replica does with the log: take entries, commit, compact."""

from __future__ import annotations

from . import election, message, node
from . import log as replica_log


def handle_synced(
    state: node.Node, entered: node.Synced, effects: list[node.Effect]
) -> None:
    """Count the own disk; a stale report of replaced entries is ignored."""
    if state.log.term_at(entered.index) == entered.term:
        state.synced_index = max(state.synced_index, entered.index)


def handle_compacted(
    state: node.Node, entered: node.Compacted, effects: list[node.Effect]
) -> None:
    """Drop the entries that a snapshot on the disk covers."""
    if state.log.snapshot_index < entered.index <= state.applied_index:
        state.log.compact(entered.index, state.log.membership_at(entered.index))


def handle_append_request(
    state: node.Node,
    sender: message.ReplicaId,
    body: message.AppendRequest,
    effects: list[node.Effect],
) -> None:
    """Take the leader's entries, or say where the logs may agree."""
    if body.term < state.term:
        _refuse(state, sender, body, effects, state.log.last_index() + 1)
        return
    _hear(state, sender, effects)
    known = state.log.term_at(body.previous_index)
    if body.previous_index < state.log.snapshot_index:
        known = body.previous_term
    if known != body.previous_term:
        retry_at = min(body.previous_index, state.log.last_index() + 1)
        _refuse(state, sender, body, effects, retry_at)
        return
    _take_entries(state, body.entries, effects)
    match = body.previous_index + len(body.entries)
    state.commit_index = max(state.commit_index, min(body.commit, match))
    reply = message.AppendReply(
        state.term, succeeded=True, match=match, sent_at=body.sent_at
    )
    effects.append(node.Send(sender, reply, is_after_sync=True))


def handle_snapshot_request(
    state: node.Node,
    sender: message.ReplicaId,
    body: message.SnapshotRequest,
    effects: list[node.Effect],
) -> None:
    """Replace state and log by the leader's snapshot when it is newer."""
    if body.term < state.term:
        return
    _hear(state, sender, effects)
    received = body.snapshot
    if received.index > state.commit_index:
        _install(state, received, effects)
    reply = message.AppendReply(
        state.term,
        succeeded=True,
        match=received.index,
        sent_at=body.sent_at,
    )
    effects.append(node.Send(sender, reply, is_after_sync=True))


def commit_and_apply(state: node.Node, effects: list[node.Effect]) -> None:
    """Advance the commit index and hand out what became committed.

    Only an entry of the leader's own term is counted by replicas; earlier
    ones follow with it.
    """
    if state.role is node.Role.LEADER:
        agreed = _agreed_index(state)
        is_own_term = state.log.term_at(agreed) == state.term
        if agreed > state.commit_index and is_own_term:
            state.commit_index = agreed
    # A follower applies only what its own disk holds.
    ready = min(state.commit_index, state.synced_index)
    if ready > state.applied_index:
        first = state.applied_index + 1
        entries = state.log.slice(first, ready - state.applied_index)
        effects.extend(map(node.Apply, entries))
        state.applied_index = ready
        _leave_if_removed(state, effects)


def _leave_if_removed(state: node.Node, effects: list[node.Effect]) -> None:
    if state.role is node.Role.LEADER and not state.is_voter():
        committed = state.log.membership_at(state.commit_index)
        if committed == state.membership:
            election.become_follower(state, state.term, effects)
            state.leader = None


def _agreed_index(state: node.Node) -> int:
    matches = sorted(
        (
            state.synced_index
            if voter == state.identity
            else state.progress[voter].match_index
            for voter in state.membership.voters()
        ),
        reverse=True,
    )
    return matches[state.membership.quorum() - 1]


def refresh_membership(state: node.Node) -> None:
    """Take the latest membership of the log; a leader follows all of it."""
    state.membership = state.log.membership_at(state.log.last_index())
    if state.role is node.Role.LEADER:
        for peer in state.peers():
            election.track_progress(state, peer, is_new=True)


def _hear(
    state: node.Node,
    sender: message.ReplicaId,
    effects: list[node.Effect],
) -> None:
    if state.role is not node.Role.FOLLOWER:
        election.become_follower(state, state.term, effects)
    state.has_seen_leader = True
    state.leader = sender
    state.leader_contact_at = state.now
    election.reset_election_timer(state)


def _refuse(
    state: node.Node,
    sender: message.ReplicaId,
    body: message.AppendRequest,
    effects: list[node.Effect],
    retry_at: int,
) -> None:
    reply = message.AppendReply(
        state.term, succeeded=False, match=retry_at, sent_at=body.sent_at
    )
    effects.append(node.Send(sender, reply, is_after_sync=True))


def _take_entries(
    state: node.Node,
    entries: tuple[message.LogEntry, ...],
    effects: list[node.Effect],
) -> None:
    fresh = tuple(
        entry
        for entry in entries
        if entry.index > state.log.snapshot_index
        and state.log.term_at(entry.index) != entry.term
    )
    if not fresh:
        return
    first = fresh[0].index
    if first <= state.commit_index:
        raise AssertionError(f'committed entry {first} would be replaced')
    fresh = tuple(entry for entry in entries if entry.index >= first)
    state.log.truncate(first)
    state.synced_index = min(state.synced_index, first - 1)
    for entry in fresh:
        state.log.append(entry)
    refresh_membership(state)
    effects.append(node.SaveEntries(fresh))


def _install(
    state: node.Node,
    received: message.Snapshot,
    effects: list[node.Effect],
) -> None:
    state.log = replica_log.Log(
        received.index, received.term, received.membership
    )
    state.membership = received.membership
    state.commit_index = received.index
    state.applied_index = received.index
    state.synced_index = received.index
    effects.append(node.InstallSnapshot(received))
