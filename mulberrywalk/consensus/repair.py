"""Replacement of unresponsive voters, one membership change at a time."""

from __future__ import annotations

import msgspec

from . import leadership, message, node

# A learner counts as caught up if it lags behind the commit index by at most
# this many entries.
_MAX_LEARNER_LAG_ENTRIES = 200
# A silent learner is removed after this many times the timeout for voters.
_LEARNER_TIMEOUT_FACTOR = 10
# A learner that has not answered for longer than this is not promoted.
_MAX_LEARNER_SILENCE_MS = 2000


def plan_membership_change(
    state: node.Node, *, voter_count: int, timeout_ms: int
) -> message.Membership | None:
    """Return the next membership to propose, or None.

    voter_count is the desired number of voters; a voter that has not answered
    for more than timeout_ms is replaced. A learner is promoted before the
    silent voter is removed, and only if the answering voters and the learner
    form a quorum of the new membership.
    """
    if not leadership.can_change_membership(state):
        return None
    silent = [
        voter
        for voter in state.membership.voters()
        if is_superseded(state, voter) or is_silent(state, voter, timeout_ms)
    ]
    current_count = len(state.membership.voters())
    if silent and current_count > voter_count:
        return _remove_voter(state, silent)
    if silent or current_count < voter_count:
        return _promote_learner(state, silent, timeout_ms)
    return _remove_silent_learner(state, timeout_ms * _LEARNER_TIMEOUT_FACTOR)


def is_superseded(state: node.Node, replica: message.ReplicaId) -> bool:
    """Return whether a new replica answers at the address of replica.

    The new one has another identity because the disk of the earlier one was
    lost, so the earlier one will not come back.
    """
    member = state.membership.find(replica)
    if member is None or replica == state.identity:
        return False
    last_acknowledged_at = state.progress[replica].acknowledged_at
    return any(
        state.progress[other.identity].acknowledged_at > last_acknowledged_at
        for other in state.membership.members
        if other.address == member.address
        and other.identity not in {replica, state.identity}
    )


def is_silent(
    state: node.Node, replica: message.ReplicaId, timeout_ms: int
) -> bool:
    """Return whether another replica has not answered for over timeout_ms."""
    if replica == state.identity:
        return False
    acknowledged_at = state.progress[replica].acknowledged_at
    return state.now - acknowledged_at > timeout_ms


def describe_lagging_learners(
    state: node.Node, timeout_ms: int
) -> list[tuple[message.ReplicaId, str]]:
    """Return the learners that cannot be promoted yet, and how far they are.

    Nothing on a replica that does not lead; timeout_ms is that of voters.
    """
    if state.role is not node.Role.LEADER:
        return []
    return [
        (member.identity, _describe_progress(state, member.identity))
        for member in state.membership.members
        if not member.voter and not _is_caught_up(state, member, timeout_ms)
    ]


def add_learner(
    state: node.Node, new_member: message.Member
) -> message.Membership | None:
    """Return the membership with a new replica added as a learner, or None.

    None if another change is in progress or the replica is already a member.
    """
    if not leadership.can_change_membership(state):
        return None
    if state.membership.find(new_member.identity) is not None:
        return None
    return state.membership.replace(
        msgspec.structs.replace(new_member, voter=False)
    )


def _remove_voter(
    state: node.Node, silent: list[message.ReplicaId]
) -> message.Membership | None:
    smaller = state.membership.remove(silent[0])
    answering = len(smaller.voters()) - len(silent) + 1
    return smaller if answering >= smaller.quorum() else None


def _promote_learner(
    state: node.Node, silent: list[message.ReplicaId], timeout_ms: int
) -> message.Membership | None:
    learner = next(
        (
            member
            for member in state.membership.members
            if not member.voter and _is_caught_up(state, member, timeout_ms)
        ),
        None,
    )
    if learner is None:
        return None
    larger = state.membership.replace(
        msgspec.structs.replace(learner, voter=True)
    )
    answering = len(larger.voters()) - len(silent)
    return larger if answering >= larger.quorum() else None


def _is_caught_up(
    state: node.Node, member: message.Member, timeout_ms: int
) -> bool:
    if is_silent(
        state, member.identity, min(timeout_ms, _MAX_LEARNER_SILENCE_MS)
    ):
        return False
    match = state.progress[member.identity].match_index
    return match >= state.commit_index - _MAX_LEARNER_LAG_ENTRIES


def _describe_progress(state: node.Node, replica: message.ReplicaId) -> str:
    progress = state.progress[replica]
    silent_ms = state.now - progress.acknowledged_at
    return (
        f'holds {progress.match_index} of {state.commit_index} entries, '
        f'last answered {silent_ms} ms ago'
    )


def _remove_silent_learner(
    state: node.Node, timeout_ms: int
) -> message.Membership | None:
    lost = next(
        (
            member.identity
            for member in state.membership.members
            if not member.voter
            and is_silent(state, member.identity, timeout_ms)
        ),
        None,
    )
    return state.membership.remove(lost) if lost else None
