"""The leader's side of the log: proposals, appends, hand-over."""

from __future__ import annotations

import msgspec

from . import election, message, node, replication

_HANDOVER_MS = 1000
_SNAPSHOT_RETRY_MS = 1000


def maintain_leadership(state: node.Node, effects: list[node.Effect]) -> None:
    """Send heartbeats, and step down when a quorum stays silent."""
    silent_ms = state.now - node.quorum_contact_at(state)
    patience_ms = (
        state.timing.election_timeout_ms
        + 2 * state.timing.heartbeat_interval_ms
    )
    if silent_ms >= patience_ms:
        election.become_follower(state, state.term, effects)
        state.leader = None
        return
    if state.handover_to is not None and state.now >= state.handover_until:
        # The request may still arrive, so the lease of this term is void.
        election.become_follower(state, state.term, effects)
        state.leader = None
        return
    if state.now >= state.heartbeat_due_at:
        state.heartbeat_due_at = state.now + state.timing.heartbeat_interval_ms
        for peer in state.peers():
            _probe_again(state, peer)
            _send_heartbeat(state, peer, effects)


def propose(
    state: node.Node, entered: node.Proposed, effects: list[node.Effect]
) -> None:
    """Append commands and send them on; a follower ignores them."""
    if state.role is not node.Role.LEADER or state.handover_to is not None:
        return
    first = state.log.last_index() + 1
    entries = tuple(
        message.LogEntry(
            first + offset, state.term, message.EntryKind.COMMAND, payload
        )
        for offset, payload in enumerate(entered.payloads)
    )
    _append(state, entries, effects)


def propose_membership(
    state: node.Node,
    entered: node.MembershipProposed,
    effects: list[node.Effect],
) -> None:
    """Append a membership that differs by one replica.

    Refused while another change is uncommitted or before the leader has
    committed an entry of its own term, for two changes at once can give two
    quorums that do not meet.
    """
    if not can_change_membership(state):
        return
    if not _differs_by_one(state.membership, entered.membership):
        return
    entry = message.LogEntry(
        state.log.last_index() + 1,
        state.term,
        message.EntryKind.MEMBERSHIP,
        msgspec.msgpack.encode(entered.membership),
    )
    _append(state, (entry,), effects)


def can_change_membership(state: node.Node) -> bool:
    """Return whether a membership change may start now."""
    if state.role is not node.Role.LEADER or state.handover_to is not None:
        return False
    if state.commit_index < state.term_start_index:
        return False
    committed = state.log.membership_at(state.commit_index)
    return committed == state.membership


def start_handover(
    state: node.Node,
    entered: node.HandoverProposed,
    effects: list[node.Effect],
) -> None:
    """Choose the most complete voter and let it stand for election."""
    if state.role is not node.Role.LEADER or state.handover_to is not None:
        return
    voters = [one for one in state.membership.voters() if one in state.progress]
    if not voters:
        return
    chosen = max(
        voters,
        key=lambda voter: (
            state.progress[voter].match_index,
            state.progress[voter].acknowledged_at,
        ),
    )
    state.handover_to = chosen
    state.handover_until = state.now + _HANDOVER_MS
    _send_append(state, chosen, effects)
    _finish_handover(state, effects)


def handle_append_reply(
    state: node.Node,
    sender: message.ReplicaId,
    body: message.AppendReply,
    effects: list[node.Effect],
) -> None:
    """Note how far a replica's log agrees and send what it lacks."""
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
        _finish_handover(state, effects)
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
    _adopt_membership(state, entries)
    for peer in state.peers():
        if not state.progress[peer].is_probing:
            _send_append(state, peer, effects)


def _adopt_membership(
    state: node.Node, entries: tuple[message.LogEntry, ...]
) -> None:
    # A membership is in force as soon as it stands in the log.
    if any(one.kind is message.EntryKind.MEMBERSHIP for one in entries):
        replication.refresh_membership(state)


def _differs_by_one(old: message.Membership, new: message.Membership) -> bool:
    return len(set(old.voters()) ^ set(new.voters())) <= 1


def _probe_again(state: node.Node, peer: message.ReplicaId) -> None:
    # Messages may have been lost: after silence, restart from what is known.
    progress = state.progress[peer]
    if state.now - progress.acknowledged_at > state.timing.election_timeout_ms:
        progress.is_probing = True
        progress.next_index = progress.match_index + 1


def _send_heartbeat(
    state: node.Node, peer: message.ReplicaId, effects: list[node.Effect]
) -> None:
    progress = state.progress[peer]
    sent = len(effects)
    _send_append(state, peer, effects)
    if len(effects) > sent:
        return
    # A snapshot is under way: its receiver still has to hear the leader.
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
    previous = progress.next_index - 1
    previous_term = state.log.term_at(previous)
    if previous_term is None:
        _send_snapshot(state, peer, effects)
        return
    entries: tuple[message.LogEntry, ...] = ()
    # A newcomer knows nobody to answer to before it has the first entries.
    if not progress.is_probing or progress.next_index == 1:
        entries = state.log.slice(
            progress.next_index, state.timing.max_batch_entries
        )
    request = message.AppendRequest(
        state.term,
        previous,
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
    if state.now >= progress.snapshot_sent_at + _SNAPSHOT_RETRY_MS:
        progress.snapshot_sent_at = state.now
        effects.append(node.SendSnapshot(peer, state.term, state.now))


def _finish_handover(state: node.Node, effects: list[node.Effect]) -> None:
    chosen = state.handover_to
    if chosen is None:
        return
    if state.progress[chosen].match_index == state.log.last_index():
        request = message.HandoverRequest(state.term)
        effects.append(node.Send(chosen, request, is_after_sync=False))
