"""Proof that no leader holds a lease because all voters have restarted.

A voter that starts may have granted a lease shortly before it stopped, so it
waits for an election timeout before it votes. The wait is unnecessary if all
voters have restarted, since the former leader no longer leads. A candidate
that learns this from the pre-vote replies of every voter includes their boot
IDs in its vote request as a proof, and they vote immediately.

Why this is safe: suppose that a leader holds a lease. A quorum has answered
it within the election timeout, and the candidate needs the votes of a quorum,
so one voter is in both. That voter answered the leader from an earlier
process, because its current process has seen no leader. The earlier process
had ended before the candidate asked, since the current one was already
running then; so the leader was leading before the candidate asked. The leader
is a voter and was asked too, and it replied that its process had seen no
leader, itself included, since it started. This is a contradiction.
"""

from __future__ import annotations

from . import message, node

# A voter that has just started asks after 1/4 of the election timeout.
_EARLY_TIMEOUT_DIVISOR = 4
# A reported uptime is reduced to this percentage, because the voter's clock
# may run faster than the candidate's.
_UPTIME_PERCENT = 90
_PERCENT = 100


def has_seen_no_leader(state: node.Node) -> bool:
    """Return whether this process has neither led nor seen a leader.

    False if the process has no boot ID.
    """
    return bool(state.boot_id) and not state.has_seen_leader


def uses_early_timeout(state: node.Node) -> bool:
    """Return whether to ask the voters before the election timeout ends."""
    timeout_at = state.started_at + state.timing.election_timeout_ms
    return has_seen_no_leader(state) and state.now < timeout_at


def early_timeout(state: node.Node) -> int:
    """Return the delay before the next early pre-vote in milliseconds."""
    return node.election_timeout(state) // _EARLY_TIMEOUT_DIVISOR


def start_round(state: node.Node) -> None:
    """Start a pre-vote round and discard the replies to earlier ones."""
    state.pre_vote_sent_at = state.now
    state.restarted_voters = {}
    if has_seen_no_leader(state):
        state.restarted_voters = {state.identity: state.boot_id}


def reply_fields(
    state: node.Node, request: message.PreVoteRequest
) -> tuple[int, int, int]:
    """Return the boot ID, uptime and asked_at of a pre-vote reply.

    Uptime is in milliseconds; asked_at echoes the request. Boot ID and uptime
    are zero if this process has seen a leader.
    """
    if not has_seen_no_leader(state):
        return 0, 0, request.asked_at
    return state.boot_id, state.now - state.started_at, request.asked_at


def record_reply(
    state: node.Node, sender: message.ReplicaId, body: message.PreVoteReply
) -> None:
    """Record a voter's boot ID if the voter was running when asked."""
    if not body.boot or body.asked_at != state.pre_vote_sent_at:
        return
    # state.now was read at the last tick, before the reply arrived: a
    # heartbeat interval is added for the time since.
    elapsed_ms = (
        state.now - state.pre_vote_sent_at + state.timing.heartbeat_interval_ms
    )
    if body.uptime_ms * _UPTIME_PERCENT // _PERCENT >= elapsed_ms:
        state.restarted_voters[sender] = body.boot


def is_proof_complete(state: node.Node) -> bool:
    """Return whether every voter has replied that it has seen no leader."""
    voters = set(state.membership.voters())
    return has_seen_no_leader(state) and voters <= state.restarted_voters.keys()


def is_valid_proof(state: node.Node, body: message.VoteRequest) -> bool:
    """Return whether the proof in a vote request is valid for this voter."""
    proof = dict(body.restarted)
    voters = set(state.membership.voters())
    is_own_boot = proof.get(state.identity) == state.boot_id
    return has_seen_no_leader(state) and is_own_boot and voters <= proof.keys()
