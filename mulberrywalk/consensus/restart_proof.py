"""Proof that no leader holds a lease, after all voters have started anew.

A voter that starts may have promised a lease shortly before, so it waits for
an election timeout. That is in vain when all voters have started: whoever
led leads no more. A candidate that hears so from every voter shows what they
said, and they vote at once.

Why that is safe: a leader that holds a lease has answers of a quorum that
are younger than the timeout, and the candidate needs votes of a quorum, so
that one voter is in both. Its answer to the leader came from an earlier
process, for the present one has heard of no leader. That process had ended
before the candidate asked, since the voter was up by then; so the leader led
before it was asked, and it was asked, being a voter. But it answered that it
had heard of no leader since its start, itself included.
"""

from __future__ import annotations

from . import message, node

# The part of the election timeout after which a voter that starts asks.
_EARLY_PART = 4
# A voter's clock may run fast by so much against the candidate's.
_SURE_PERCENT = 90
_PERCENT = 100


def has_seen_no_leader(state: node.Node) -> bool:
    """Return whether this process has led or heard no leader so far."""
    return bool(state.boot_id) and not state.has_seen_leader


def uses_early_timeout(state: node.Node) -> bool:
    """Return whether to ask the voters before the timeout is over."""
    timeout_over = state.started_at + state.timing.election_timeout_ms
    return has_seen_no_leader(state) and state.now < timeout_over


def early_timeout(state: node.Node) -> int:
    """Return when to ask for the first time, or again, in milliseconds."""
    return node.election_timeout(state) // _EARLY_PART


def start_round(state: node.Node) -> None:
    """Begin to ask the voters; what was heard before counts no more."""
    state.pre_vote_sent_at = state.now
    state.restarted_voters = {}
    if has_seen_no_leader(state):
        state.restarted_voters = {state.identity: state.boot_id}


def reply_fields(
    state: node.Node, asked: message.PreVoteRequest
) -> tuple[int, int, int]:
    """Return boot, uptime in milliseconds, and what the asker goes by."""
    if not has_seen_no_leader(state):
        return 0, 0, asked.asked_at
    return state.boot_id, state.now - state.started_at, asked.asked_at


def record_reply(
    state: node.Node, sender: message.ReplicaId, body: message.PreVoteReply
) -> None:
    """Keep what a voter has said, if it was up when it was asked."""
    if not body.boot or body.asked_at != state.pre_vote_sent_at:
        return
    # The own clock was read a moment ago, the answer came meanwhile.
    passed = (
        state.now - state.pre_vote_sent_at + state.timing.heartbeat_interval_ms
    )
    if body.uptime_ms * _SURE_PERCENT // _PERCENT >= passed:
        state.restarted_voters[sender] = body.boot


def is_complete(state: node.Node) -> bool:
    """Return whether every voter has said that it has started anew."""
    voters = set(state.membership.voters())
    return has_seen_no_leader(state) and voters <= state.restarted_voters.keys()


def is_valid(state: node.Node, body: message.VoteRequest) -> bool:
    """Return whether a candidate's proof holds for this voter."""
    proof = dict(body.restarted)
    voters = set(state.membership.voters())
    is_own = proof.get(state.identity) == state.boot_id
    return has_seen_no_leader(state) and is_own and voters <= proof.keys()
