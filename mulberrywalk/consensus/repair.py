"""Replacement of voters that have fallen silent, one change at a time."""

from __future__ import annotations

import msgspec

from . import leadership, message, node

# A spare this many entries behind the commit counts as caught up.
_CAUGHT_UP_ENTRIES = 200
# A silent spare is forgotten after this many times the voters' patience.
_SPARE_PATIENCE = 10
# A spare that has not answered for this long is not promoted.
_SPARE_SILENCE_MS = 2000


def plan_membership_change(
    state: node.Node, *, voter_count: int, timeout_ms: int
) -> message.Membership | None:
    """Return the next membership to propose, or None.

    A spare is promoted before the silent voter is removed, and only when the
    voters that answer and the newcomer are a quorum of the new membership.
    """
    if not leadership.can_change_membership(state):
        return None
    silent = [
        voter
        for voter in state.membership.voters()
        if is_superseded(state, voter) or is_silent(state, voter, timeout_ms)
    ]
    count = len(state.membership.voters())
    if silent and count > voter_count:
        return _remove_voter(state, silent)
    if silent or count < voter_count:
        return _promote(state, silent, timeout_ms)
    return _forget_spare(state, timeout_ms * _SPARE_PATIENCE)


def is_superseded(state: node.Node, replica: message.ReplicaId) -> bool:
    """Return whether another replica answers at a replica's address.

    It has another identity because the disk of the earlier one is lost, so
    that one need not be waited for.
    """
    member = state.membership.find(replica)
    if member is None or replica == state.identity:
        return False
    heard_at = state.progress[replica].acknowledged_at
    return any(
        state.progress[other.identity].acknowledged_at > heard_at
        for other in state.membership.members
        if other.address == member.address
        and other.identity not in {replica, state.identity}
    )


def is_silent(
    state: node.Node, replica: message.ReplicaId, timeout_ms: int
) -> bool:
    """Return whether another replica has not answered for that long."""
    if replica == state.identity:
        return False
    acknowledged_at = state.progress[replica].acknowledged_at
    return state.now - acknowledged_at > timeout_ms


def add_learner(
    state: node.Node, newcomer: message.Member
) -> message.Membership | None:
    """Return the membership with a newcomer as a spare, or None.

    None while another change is under way, or when it is a member already.
    """
    if not leadership.can_change_membership(state):
        return None
    if state.membership.find(newcomer.identity) is not None:
        return None
    return state.membership.replace(
        msgspec.structs.replace(newcomer, voter=False)
    )


def _remove_voter(
    state: node.Node, silent: list[message.ReplicaId]
) -> message.Membership | None:
    smaller = state.membership.remove(silent[0])
    answering = len(smaller.voters()) - len(silent) + 1
    return smaller if answering >= smaller.quorum() else None


def _promote(
    state: node.Node, silent: list[message.ReplicaId], timeout_ms: int
) -> message.Membership | None:
    spare = next(
        (
            member
            for member in state.membership.members
            if not member.voter and _is_caught_up(state, member, timeout_ms)
        ),
        None,
    )
    if spare is None:
        return None
    larger = state.membership.replace(
        msgspec.structs.replace(spare, voter=True)
    )
    answering = len(larger.voters()) - len(silent)
    return larger if answering >= larger.quorum() else None


def _is_caught_up(
    state: node.Node, member: message.Member, timeout_ms: int
) -> bool:
    if is_silent(state, member.identity, min(timeout_ms, _SPARE_SILENCE_MS)):
        return False
    match = state.progress[member.identity].match_index
    return match >= state.commit_index - _CAUGHT_UP_ENTRIES


def _forget_spare(
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
