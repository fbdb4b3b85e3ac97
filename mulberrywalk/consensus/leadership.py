"""The leader's side of replication: proposals, appends and handover."""

from __future__ import annotations

import msgspec

from . import election, message, node, replication

_HANDOVER_TIMEOUT_MS = 1000
_SNAPSHOT_RETRY_INTERVAL_MS = 1000


def maintain_leadership(state: node.Node, effects: list[node.Effect]) -> None:
    """Send heartbeats, or step down if the quorum or a handover timed out."""
    since_quorum_ms = state.now - node.quorum_contact_at(state)
    step_down_ms = (
        state.timing.election_timeout_ms
        + 2 * state.timing.heartbeat_interval_ms
    )
    if since_quorum_ms >= step_down_ms:
        election.become_follower(state, state.term, effects)
        state.leader = None
        return
    if state.handover_to is not None and state.now >= state.handover_until:
        # The handover request may still arrive and start an election that
        # bypasses the lease, so the lease of this term is no longer valid.
        election.become_follower(state, state.term, effects)
        state.leader = None
        return
    if state.now >= state.heartbeat_due_at:
        state.heartbeat_due_at = state.now + state.timing.heartbeat_interval_ms
        for peer in state.peers():
            _probe_if_silent(state, peer)
            _send_heartbeat(state, peer, effects)


def propose(
    state: node.Node, event: node.Proposed, effects: list[node.Effect]
) -> None:
    """Append commands and replicate them.

    Ignored unless this replica is the leader and no handover is in progress.
    """
    if state.role is not node.Role.LEADER or state.handover_to is not None:
        return
    first = state.log.last_index() + 1
    entries = tuple(
        message.LogEntry(
            first + offset, state.term, message.EntryKind.COMMAND, payload
        )
        for offset, payload in enumerate(event.payloads)
    )
    _append(state, entries, effects)


def propose_membership(
    state: node.Node,
    event: node.MembershipProposed,
    effects: list[node.Effect],
) -> None:
    """Append a membership that differs by at most one voter.

    Ignored while another change is uncommitted and until the leader has
    committed an entry of its own term: two concurrent changes can lead to two
    quorums that do not intersect.
    """
    if not can_change_membership(state):
        return
    if not _differs_by_at_most_one_voter(state.membership, event.membership):
        return
    entry = message.LogEntry(
        state.log.last_index() + 1,
        state.term,
        message.EntryKind.MEMBERSHIP,
        msgspec.msgpack.encode(event.membership),
    )
    _append(state, (entry,), effects)


def can_change_membership(state: node.Node) -> bool:
    """Return whether this replica may propose a membership change now."""
    if state.role is not node.Role.LEADER or state.handover_to is not None:
        return False
    if state.commit_index < state.term_start_index:
        return False
    committed = state.log.membership_at(state.commit_index)
    return committed == state.membership


def start_handover(
    state: node.Node,
    event: node.HandoverProposed,
    effects: list[node.Effect],
) -> None:
    """Transfer leadership to the newest voter that answers and can lead soon.

    Older ones may be ending as well: a successor joins after the replica that
    it replaces.
    """
    if state.role is not node.Role.LEADER or state.handover_to is not None:
        return
    voters = [
        voter for voter in state.membership.voters() if voter in state.progress
    ]
    if not voters:
        return
    successor = max(
        voters,
        key=lambda voter: (
            voter not in event.avoided,
            _answers(state, voter),
            state.progress[voter].match_index >= state.commit_index,
            voters.index(voter),
        ),
    )
    state.handover_to = successor
    state.handover_until = state.now + _HANDOVER_TIMEOUT_MS
    _send_append(state, successor, effects)
    _request_handover_if_ready(state, effects)


def handle_append_reply(
    state: node.Node,
    sender: message.ReplicaId,
    body: message.AppendReply,
    effects: list[node.Effect],
) -> None:
    """Update a replica's progress and send the entries that it lacks."""
    if state.role is not node.Role.LEADER or body.term != state.term:
        return
    if sender not in state.progress:
        return
    progress = state.progress[sender]
    progress.acknowledged_at = max(progress.acknowledged_at, body.sent_at)
    if body.succeeded:
        progress.is_probing = False
        progress.match_index = max(progress.match_index, body.match)
        progress.next_index = max(progress.next_index, body.match + 1)
        _request_handover_if_ready(state, effects)
    else:
        progress.is_probing = True
        progress.next_index = max(
            progress.match_index + 1, min(body.match, progress.next_index - 1)
        )
    if progress.next_index <= state.log.last_index():
        _send_append(state, sender, effects)


def _append(
    state: node.Node,
    entries: tuple[message.LogEntry, ...],
    effects: list[node.Effect],
) -> None:
    for entry in entries:
        state.log.append(entry)
    effects.append(node.SaveEntries(entries))
    _apply_membership(state, entries)
    for peer in state.peers():
        if not state.progress[peer].is_probing:
            _send_append(state, peer, effects)


def _apply_membership(
    state: node.Node, entries: tuple[message.LogEntry, ...]
) -> None:
    # A membership takes effect when it is appended, before it is committed.
    if any(entry.kind is message.EntryKind.MEMBERSHIP for entry in entries):
        replication.refresh_membership(state)


def _differs_by_at_most_one_voter(
    old: message.Membership, new: message.Membership
) -> bool:
    return len(set(old.voters()) ^ set(new.voters())) <= 1


def _probe_if_silent(state: node.Node, peer: message.ReplicaId) -> None:
    # Messages may have been lost. After an election timeout without a reply,
    # resume from the last index that is known to match.
    progress = state.progress[peer]
    if state.now - progress.acknowledged_at > state.timing.election_timeout_ms:
        progress.is_probing = True
        progress.next_index = progress.match_index + 1


def _send_heartbeat(
    state: node.Node, peer: message.ReplicaId, effects: list[node.Effect]
) -> None:
    progress = state.progress[peer]
    previous_count = len(effects)
    _send_append(state, peer, effects)
    if len(effects) > previous_count:
        return
    # A snapshot transfer is in progress. Its receiver still needs heartbeats,
    # or its election timer would expire.
    log = state.log
    request = message.AppendRequest(
        state.term,
        log.snapshot_index,
        log.snapshot_term,
        (),
        min(state.commit_index, progress.match_index),
        state.now,
    )
    effects.append(node.Send(peer, request, is_after_sync=False))


def _send_append(
    state: node.Node, peer: message.ReplicaId, effects: list[node.Effect]
) -> None:
    progress = state.progress[peer]
    previous_index = progress.next_index - 1
    previous_term = state.log.term_at(previous_index)
    if previous_term is None:
        _send_snapshot(state, peer, effects)
        return
    entries: tuple[message.LogEntry, ...] = ()
    # A new replica has no membership, and so no address to reply to, until
    # it has the first entries: they are sent even while probing.
    if not progress.is_probing or progress.next_index == 1:
        entries = state.log.slice(
            progress.next_index, state.timing.max_batch_entries
        )
    request = message.AppendRequest(
        state.term,
        previous_index,
        previous_term,
        entries,
        state.commit_index,
        state.now,
    )
    if not progress.is_probing:
        progress.next_index += len(entries)
    effects.append(node.Send(peer, request, is_after_sync=False))


def _send_snapshot(
    state: node.Node, peer: message.ReplicaId, effects: list[node.Effect]
) -> None:
    progress = state.progress[peer]
    progress.is_probing = True
    if state.now >= progress.snapshot_sent_at + _SNAPSHOT_RETRY_INTERVAL_MS:
        progress.snapshot_sent_at = state.now
        effects.append(node.SendSnapshot(peer, state.term, state.now))


def _answers(state: node.Node, voter: message.ReplicaId) -> bool:
    quiet_ms = state.now - state.progress[voter].acknowledged_at
    return quiet_ms <= state.timing.election_timeout_ms


def _request_handover_if_ready(
    state: node.Node, effects: list[node.Effect]
) -> None:
    successor = state.handover_to
    if successor is None:
        return
    if state.progress[successor].match_index == state.log.last_index():
        request = message.HandoverRequest(state.term)
        effects.append(node.Send(successor, request, is_after_sync=False))
