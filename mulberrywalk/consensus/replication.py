"""Log replication on every replica: append, commit, compact, snapshots."""

from __future__ import annotations

from . import election, message, node
from . import log as replica_log


def handle_synced(
    state: node.Node, event: node.Synced, effects: list[node.Effect]
) -> None:
    """Advance synced_index; ignore a report of entries replaced since."""
    if state.log.term_at(event.index) == event.term:
        state.synced_index = max(state.synced_index, event.index)


def handle_compacted(
    state: node.Node, event: node.Compacted, effects: list[node.Effect]
) -> None:
    """Remove the entries that a snapshot on disk covers."""
    if state.log.snapshot_index < event.index <= state.applied_index:
        state.log.compact(event.index, state.log.membership_at(event.index))


def handle_append_request(
    state: node.Node,
    sender: message.ReplicaId,
    body: message.AppendRequest,
    effects: list[node.Effect],
) -> None:
    """Append the leader's entries, or reply with the index to retry from."""
    if body.term < state.term:
        _reject_append(state, sender, body, effects, state.log.last_index() + 1)
        return
    _record_leader_contact(state, sender, effects)
    local_term = state.log.term_at(body.previous_index)
    if body.previous_index < state.log.snapshot_index:
        local_term = body.previous_term
    if local_term != body.previous_term:
        retry_at = min(body.previous_index, state.log.last_index() + 1)
        _reject_append(state, sender, body, effects, retry_at)
        return
    _store_entries(state, body.entries, effects)
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
    """Replace state and log with the leader's snapshot if it is newer."""
    if body.term < state.term:
        return
    _record_leader_contact(state, sender, effects)
    received = body.snapshot
    if received.index > state.commit_index:
        _install_snapshot(state, received, effects)
    reply = message.AppendReply(
        state.term,
        succeeded=True,
        match=received.index,
        sent_at=body.sent_at,
    )
    effects.append(node.Send(sender, reply, is_after_sync=True))


def commit_and_apply(state: node.Node, effects: list[node.Effect]) -> None:
    """Advance the commit index and emit Apply for newly committed entries.

    A leader counts replicas only for entries of its own term; earlier entries
    are committed along with them.
    """
    if state.role is node.Role.LEADER:
        quorum_index = _quorum_match_index(state)
        is_own_term = state.log.term_at(quorum_index) == state.term
        if quorum_index > state.commit_index and is_own_term:
            state.commit_index = quorum_index
    # A replica applies only entries that are synced to its own disk.
    applicable = min(state.commit_index, state.synced_index)
    if applicable > state.applied_index:
        first = state.applied_index + 1
        entries = state.log.slice(first, applicable - state.applied_index)
        effects.extend(map(node.Apply, entries))
        state.applied_index = applicable
        _step_down_if_removed(state, effects)


def _step_down_if_removed(state: node.Node, effects: list[node.Effect]) -> None:
    if state.role is node.Role.LEADER and not state.is_voter():
        committed = state.log.membership_at(state.commit_index)
        if committed == state.membership:
            election.become_follower(state, state.term, effects)
            state.leader = None


def _quorum_match_index(state: node.Node) -> int:
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
    """Set the membership to the latest one in the log, committed or not.

    A leader starts tracking the progress of added replicas.
    """
    state.membership = state.log.membership_at(state.log.last_index())
    if state.role is node.Role.LEADER:
        for peer in state.peers():
            election.track_progress(state, peer, is_new=True)


def _record_leader_contact(
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


def _reject_append(
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


def _store_entries(
    state: node.Node,
    entries: tuple[message.LogEntry, ...],
    effects: list[node.Effect],
) -> None:
    new_entries = tuple(
        entry
        for entry in entries
        if entry.index > state.log.snapshot_index
        and state.log.term_at(entry.index) != entry.term
    )
    if not new_entries:
        return
    first = new_entries[0].index
    if first <= state.commit_index:
        raise AssertionError(f'committed entry {first} would be replaced')
    new_entries = tuple(entry for entry in entries if entry.index >= first)
    state.log.truncate(first)
    state.synced_index = min(state.synced_index, first - 1)
    for entry in new_entries:
        state.log.append(entry)
    refresh_membership(state)
    effects.append(node.SaveEntries(new_entries))


def _install_snapshot(
    state: node.Node,
    snapshot: message.Snapshot,
    effects: list[node.Effect],
) -> None:
    state.log = replica_log.Log(
        snapshot.index, snapshot.term, snapshot.membership
    )
    state.membership = snapshot.membership
    state.commit_index = snapshot.index
    state.applied_index = snapshot.index
    state.synced_index = snapshot.index
    effects.append(node.InstallSnapshot(snapshot))
