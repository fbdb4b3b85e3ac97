"""Election of a leader: pre-vote, vote and hand-over."""

from __future__ import annotations

from . import message, node, restart_proof


def become_follower(
    state: node.Node, term: int, effects: list[node.Effect]
) -> None:
    """Follow in a term; a later term clears the vote and is saved."""
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
    """Take a role and report it when it differs from the present one."""
    if state.role is role:
        return
    state.role = role
    state.handover_to = None
    state.progress = {}
    effects.append(node.RoleChanged(role, state.term))


def reset_election_timer(state: node.Node) -> None:
    """Start the election timeout anew."""
    timeout = node.election_timeout(state)
    if restart_proof.uses_early_timeout(state):
        timeout = restart_proof.early_timeout(state)
    state.election_due_at = state.now + timeout


def may_leader_hold_lease(state: node.Node) -> bool:
    """Return whether a leader that was heard may still hold its lease."""
    return (
        state.now < state.leader_contact_at + state.timing.election_timeout_ms
    )


def is_vote_refused_by_lease(state: node.Node, body: message.Message) -> bool:
    """Return whether a vote request is ignored without taking its term.

    A removed or cut-off replica must not depose a leader whose lease holds.
    """
    if not isinstance(body, message.VoteRequest) or body.handover:
        return False
    if state.role is node.Role.LEADER:
        return node.holds_lease(state, state.now)
    return may_leader_hold_lease(state) and not restart_proof.is_valid(
        state, body
    )


def start_pre_vote(state: node.Node, effects: list[node.Effect]) -> None:
    """Ask the voters whether an election could be won."""
    state.election_attempts += 1
    reset_election_timer(state)
    if not state.is_voter():
        return
    set_role(state, node.Role.PRE_CANDIDATE, effects)
    state.leader = None
    state.votes_granted = {state.identity}
    restart_proof.start_round(state)
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
    """Start a term, vote for this replica and ask the others."""
    proof = state.restarted_voters if restart_proof.is_complete(state) else {}
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
    """Become the leader and append the first entry of the term.

    That entry carries earlier entries to their commit, which a leader may
    not count by replicas alone.
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
    """Start to follow the progress of another replica.

    One that is new to the membership may have an empty log.
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
    """Say whether this replica would vote; nothing is promised."""
    is_free = not (
        state.role is node.Role.LEADER or may_leader_hold_lease(state)
    )
    is_current = _is_current(state, body.last_index, body.last_term)
    granted = is_free and body.term > state.term and is_current
    if not is_current and (is_free or restart_proof.has_seen_no_leader(state)):
        # The sender cannot win and this replica may: it need not wait on.
        state.election_due_at = min(state.election_due_at, state.now)
    # A refusal tells the own term, so that a candidate whose log is the
    # longest but whose term is behind does not ask in vain for ever.
    reply = message.PreVoteReply(
        body.term if granted else state.term,
        granted,
        *restart_proof.reply_fields(state, body),
    )
    effects.append(node.Send(sender, reply, is_after_sync=False))


def handle_pre_vote_reply(
    state: node.Node,
    sender: message.ReplicaId,
    body: message.PreVoteReply,
    effects: list[node.Effect],
) -> None:
    """Count a pre-vote and start the election when a quorum agrees."""
    if state.role is not node.Role.PRE_CANDIDATE:
        return
    if not body.granted and body.term > state.term:
        become_follower(state, body.term, effects)
        return
    restart_proof.record_reply(state, sender, body)
    if body.granted and body.term == state.term + 1:
        state.votes_granted.add(sender)
    if _has_won(state) or restart_proof.is_complete(state):
        start_election(state, effects, handover=False)


def handle_vote_request(
    state: node.Node,
    sender: message.ReplicaId,
    body: message.VoteRequest,
    effects: list[node.Effect],
) -> None:
    """Vote once a term, for a candidate whose log is as complete."""
    granted = (
        body.term == state.term
        and state.role is node.Role.FOLLOWER
        and state.vote in {None, sender}
        and _is_current(state, body.last_index, body.last_term)
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
    """Count a vote and lead when a quorum has voted."""
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
    """Stand for election at once, as the leader asked."""
    is_asked_by_leader = body.term == state.term and state.leader == sender
    if is_asked_by_leader and state.is_voter():
        start_election(state, effects, handover=True)


def _has_won(state: node.Node) -> bool:
    voters = set(state.membership.voters())
    return len(state.votes_granted & voters) >= state.membership.quorum()


def _is_current(state: node.Node, last_index: int, last_term: int) -> bool:
    own = (state.log.last_term(), state.log.last_index())
    return (last_term, last_index) >= own


def _broadcast(
    state: node.Node,
    body: message.Message,
    effects: list[node.Effect],
    *,
    is_after_sync: bool,
) -> None:
    voters = [one for one in state.membership.voters() if one != state.identity]
    effects.extend(
        node.Send(voter, body, is_after_sync=is_after_sync) for voter in voters
    )
