"""Leader election: pre-vote, vote and handover."""

from __future__ import annotations

from . import message, node, restart


def become_follower(
    state: node.Node, term: int, effects: list[node.Effect]
) -> None:
    """Become a follower in term; a newer term clears the vote and is saved."""
    if term > state.term:
        state.term = term
        state.vote = None
        effects.append(node.SaveVote(term, None))
        state.leader = None
    set_role(state, node.Role.FOLLOWER, effects)
    reset_election_timer(state)


def set_role(
    state: node.Node, role: node.Role, effects: list[node.Effect]
) -> None:
    """Change the role and report it if it differs from the current one."""
    if state.role is role:
        return
    state.role = role
    state.handover_to = None
    state.progress = {}
    effects.append(node.RoleChanged(role, state.term))


def reset_election_timer(state: node.Node) -> None:
    """Restart the election timer."""
    timeout = node.election_timeout(state)
    if restart.uses_early_timeout(state):
        timeout = restart.early_timeout(state)
    state.election_due_at = state.now + timeout


def may_leader_hold_lease(state: node.Node) -> bool:
    """Return whether a leader seen before may still hold its lease."""
    return (
        state.now < state.leader_contact_at + state.timing.election_timeout_ms
    )


def is_vote_refused_by_lease(state: node.Node, body: message.Message) -> bool:
    """Return whether to ignore a vote request, and its term, due to a lease.

    A removed or partitioned replica must not depose a leader that holds a
    valid lease.
    """
    if not isinstance(body, message.VoteRequest) or body.handover:
        return False
    if state.role is node.Role.LEADER:
        return node.holds_lease(state, state.now)
    return may_leader_hold_lease(state) and not restart.is_valid_proof(
        state, body
    )


def start_pre_vote(state: node.Node, effects: list[node.Effect]) -> None:
    """Ask the other voters for a pre-vote."""
    state.election_attempts += 1
    reset_election_timer(state)
    if not state.is_voter():
        return
    set_role(state, node.Role.PRE_CANDIDATE, effects)
    state.leader = None
    state.votes_granted = {state.identity}
    restart.start_round(state)
    if _has_won(state):
        start_election(state, effects, handover=False)
        return
    request = message.PreVoteRequest(
        state.term + 1,
        state.log.last_index(),
        state.log.last_term(),
        state.pre_vote_sent_at,
    )
    _broadcast(state, request, effects, is_after_sync=False)


def start_election(
    state: node.Node, effects: list[node.Effect], *, handover: bool
) -> None:
    """Start a new term, vote for this replica and request votes."""
    proof = state.restarted_voters if restart.is_proof_complete(state) else {}
    state.term += 1
    state.vote = state.identity
    state.leader = None
    effects.append(node.SaveVote(state.term, state.vote))
    set_role(state, node.Role.CANDIDATE, effects)
    state.votes_granted = {state.identity}
    reset_election_timer(state)
    if _has_won(state):
        become_leader(state, effects)
        return
    request = message.VoteRequest(
        state.term,
        state.log.last_index(),
        state.log.last_term(),
        handover,
        tuple(sorted(proof.items())),
    )
    _broadcast(state, request, effects, is_after_sync=True)


def become_leader(state: node.Node, effects: list[node.Effect]) -> None:
    """Become the leader and append a no-op entry.

    A leader must not commit entries of earlier terms by counting replicas;
    they are committed together with the no-op entry of its own term.
    """
    set_role(state, node.Role.LEADER, effects)
    state.has_seen_leader = True
    state.leader = state.identity
    state.leader_since = state.now
    state.term_start_index = state.log.last_index() + 1
    state.heartbeat_due_at = state.now
    for peer in state.peers():
        track_progress(state, peer)
    entry = message.LogEntry(
        state.term_start_index, state.term, message.EntryKind.NOOP, b''
    )
    state.log.append(entry)
    effects.append(node.SaveEntries((entry,)))


def track_progress(
    state: node.Node, peer: message.ReplicaId, *, is_new: bool = False
) -> None:
    """Start tracking the replication progress of another replica.

    is_new is set for a replica just added to the membership: its log may be
    empty, so replication starts at the first index.
    """
    if peer not in state.progress:
        state.progress[peer] = node.Progress(
            next_index=1 if is_new else state.log.last_index() + 1,
            acknowledged_at=state.leader_since,
        )


def handle_pre_vote_request(
    state: node.Node,
    sender: message.ReplicaId,
    body: message.PreVoteRequest,
    effects: list[node.Effect],
) -> None:
    """Answer a pre-vote request; granting it promises nothing."""
    is_free_of_lease = not (
        state.role is node.Role.LEADER or may_leader_hold_lease(state)
    )
    is_log_up_to_date = _is_log_up_to_date(
        state, body.last_index, body.last_term
    )
    granted = is_free_of_lease and body.term > state.term and is_log_up_to_date
    if not is_log_up_to_date and (
        is_free_of_lease or restart.has_seen_no_leader(state)
    ):
        # The sender's log is behind, so it cannot win this vote: start an
        # election here without waiting for the timeout.
        state.election_due_at = min(state.election_due_at, state.now)
    # A refusal carries the term of this replica. Otherwise a candidate that
    # has the longest log but a lower term would be refused forever.
    reply = message.PreVoteReply(
        body.term if granted else state.term,
        granted,
        *restart.reply_fields(state, body),
    )
    effects.append(node.Send(sender, reply, is_after_sync=False))


def handle_pre_vote_reply(
    state: node.Node,
    sender: message.ReplicaId,
    body: message.PreVoteReply,
    effects: list[node.Effect],
) -> None:
    """Count a pre-vote; start an election on a quorum or a restart proof."""
    if state.role is not node.Role.PRE_CANDIDATE:
        return
    if not body.granted and body.term > state.term:
        become_follower(state, body.term, effects)
        return
    restart.record_reply(state, sender, body)
    if body.granted and body.term == state.term + 1:
        state.votes_granted.add(sender)
    if _has_won(state) or restart.is_proof_complete(state):
        start_election(state, effects, handover=False)


def handle_vote_request(
    state: node.Node,
    sender: message.ReplicaId,
    body: message.VoteRequest,
    effects: list[node.Effect],
) -> None:
    """Vote for at most one candidate per term, if its log is up to date."""
    granted = (
        body.term == state.term
        and state.role is node.Role.FOLLOWER
        and state.vote in {None, sender}
        and _is_log_up_to_date(state, body.last_index, body.last_term)
    )
    if granted and state.vote is None:
        state.vote = sender
        effects.append(node.SaveVote(state.term, sender))
        reset_election_timer(state)
    reply = message.VoteReply(state.term, granted)
    effects.append(node.Send(sender, reply, is_after_sync=True))


def handle_vote_reply(
    state: node.Node,
    sender: message.ReplicaId,
    body: message.VoteReply,
    effects: list[node.Effect],
) -> None:
    """Count a vote and become the leader on a quorum."""
    if state.role is not node.Role.CANDIDATE or body.term != state.term:
        return
    if body.granted:
        state.votes_granted.add(sender)
        if _has_won(state):
            become_leader(state, effects)


def handle_handover_request(
    state: node.Node,
    sender: message.ReplicaId,
    body: message.HandoverRequest,
    effects: list[node.Effect],
) -> None:
    """Start an election immediately if the current leader requested it."""
    is_from_leader = body.term == state.term and state.leader == sender
    if is_from_leader and state.is_voter():
        start_election(state, effects, handover=True)


def _has_won(state: node.Node) -> bool:
    voters = set(state.membership.voters())
    return len(state.votes_granted & voters) >= state.membership.quorum()


def _is_log_up_to_date(
    state: node.Node, last_index: int, last_term: int
) -> bool:
    own_last = (state.log.last_term(), state.log.last_index())
    return (last_term, last_index) >= own_last


def _broadcast(
    state: node.Node,
    body: message.Message,
    effects: list[node.Effect],
    *,
    is_after_sync: bool,
) -> None:
    receivers = [
        voter for voter in state.membership.voters() if voter != state.identity
    ]
    effects.extend(
        node.Send(receiver, body, is_after_sync=is_after_sync)
        for receiver in receivers
    )
