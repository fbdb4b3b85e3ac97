"""Choice of the voters, one membership change at a time.

Any replica that has a successor may be removed for good at any moment, together
with any others that have one. The voters are therefore chosen from all replicas
that have the log, so that a majority of them outlives each such removal
(docs/DESIGN.md).
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

import msgspec

from . import leadership, message, node

# A learner counts as caught up if it lags behind the commit index by at most
# this many entries.
_MAX_LEARNER_LAG_ENTRIES = 200
# A silent learner is removed after this many times the timeout for voters.
_LEARNER_TIMEOUT_FACTOR = 10
_MIN_LEARNER_TIMEOUT_MS = 30_000
# A learner that has not answered for longer than this is not promoted.
_MAX_LEARNER_SILENCE_MS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What the choice of voters keeps to.

    voter_count is the least number of voters. A voter that has not answered
    for more than timeout_ms is replaced, as are those that are leaving.
    """

    voter_count: int
    timeout_ms: int
    leaving: frozenset[message.ReplicaId] = frozenset()

    def max_voters(self) -> int:
        """Return the largest number of voters.

        It is odd, and all but one of the least number of voters may have been
        removed together while a majority of it is left.
        """
        return 2 * self.voter_count - 1


def plan_membership_change(
    state: node.Node, terms: Terms
) -> message.Membership | None:
    """Return the next membership to propose, or None.

    A silent voter is removed first if enough others are left, then learners
    are promoted, then voters removed: so a majority of each membership between
    outlives the same removals. None is proposed unless those of its voters
    that answer at present form a quorum.
    """
    if not leadership.can_change_membership(state):
        return None
    wanted = choose_voters(state, terms)
    silent = _find_silent(state, terms.timeout_ms)
    surplus = _find_surplus(state, wanted, silent)
    has_spare_voters = len(state.membership.voters()) > terms.voter_count
    is_removal_first = has_spare_voters and not silent.isdisjoint(surplus)
    planned = None if is_removal_first else _promote(state, wanted)
    planned = planned or _remove(state, surplus, silent)
    if planned is None:
        limit_ms = max(
            terms.timeout_ms * _LEARNER_TIMEOUT_FACTOR, _MIN_LEARNER_TIMEOUT_MS
        )
        return _remove_silent_learner(state, limit_ms)
    answering = [
        voter
        for voter in planned.voters()
        if voter not in silent and _is_answering(state, voter)
    ]
    return planned if len(answering) >= planned.quorum() else None


def choose_voters(state: node.Node, terms: Terms) -> list[message.ReplicaId]:
    """Return the voters that the leader's membership should have.

    Their number is odd, at least voter_count and less than twice that. While
    there are fewer fit replicas, unfit voters are kept beside them. Members
    are in the order in which they joined, so a successor comes after the
    replica that it may replace. If there are more fit replicas than voters
    are allowed, the newest are chosen; otherwise voters are kept, the oldest
    given up first, and the leader last.
    """
    unfit = _find_silent(state, terms.timeout_ms) | terms.leaving
    members = [
        member
        for member in state.membership.members
        if member.voter or _is_caught_up(state, member, terms.timeout_ms)
    ]
    fit = [one for one in members if one.identity not in unfit]
    max_count = terms.max_voters()
    if len(fit) > max_count:
        return [one.identity for one in fit[-max_count:]]
    unfit_voters = [
        one for one in members if one.voter and one.identity in unfit
    ]
    # Least wanted first; the sort keeps the order of equals.
    fit.sort(key=lambda one: (one.identity == state.identity, one.voter))
    ranked = [one.identity for one in (*unfit_voters, *fit)]
    odd_count = len(fit) - 1 + len(fit) % 2
    return ranked[-max(terms.voter_count, odd_count) :]


def should_hand_over(state: node.Node, terms: Terms) -> bool:
    """Return whether this leader is the only voter that should not be one."""
    if not leadership.can_change_membership(state):
        return False
    wanted = set(choose_voters(state, terms))
    voters = set(state.membership.voters())
    return voters.difference(wanted) == {state.identity} and wanted <= voters


def is_released(
    state: node.Node, replica: message.ReplicaId, terms: Terms
) -> bool:
    """Return whether a leaving replica is no voter, or has to remain one.

    It is no voter once that is committed. It remains one if too few others
    could be voters.
    """
    committed = state.log.membership_at(state.commit_index)
    if committed == state.membership and replica not in committed.voters():
        return True
    return replica in choose_voters(state, terms)


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


def _find_silent(
    state: node.Node, timeout_ms: int
) -> frozenset[message.ReplicaId]:
    """Return the members that are silent or superseded."""
    return frozenset(
        replica
        for replica in state.membership.identities()
        if is_superseded(state, replica)
        or is_silent(state, replica, timeout_ms)
    )


def _promote(
    state: node.Node, wanted: list[message.ReplicaId]
) -> message.Membership | None:
    """Return the membership with the newest wanted learner as a voter."""
    learner = next(
        (
            member
            for member in reversed(state.membership.members)
            if not member.voter and member.identity in wanted
        ),
        None,
    )
    if learner is None:
        return None
    return state.membership.replace(
        msgspec.structs.replace(learner, voter=True)
    )


def _find_surplus(
    state: node.Node,
    wanted: list[message.ReplicaId],
    silent: Collection[message.ReplicaId],
) -> list[message.ReplicaId]:
    """Return the voters that should not be, silent ones first.

    A leader never removes itself.
    """
    surplus = [
        voter
        for voter in state.membership.voters()
        if voter not in wanted and voter != state.identity
    ]
    return sorted(surplus, key=lambda voter: voter not in silent)


def _remove(
    state: node.Node,
    surplus: list[message.ReplicaId],
    silent: Collection[message.ReplicaId],
) -> message.Membership | None:
    """Return the membership without the vote of the first surplus voter.

    A voter that answers goes on as a learner.
    """
    removed = state.membership.find(surplus[0]) if surplus else None
    if removed is None:
        return None
    if removed.identity in silent:
        return state.membership.remove(removed.identity)
    return state.membership.replace(
        msgspec.structs.replace(removed, voter=False)
    )


def _is_answering(state: node.Node, replica: message.ReplicaId) -> bool:
    """Return whether a replica has lately answered this leader in its term."""
    if replica == state.identity:
        return True
    acknowledged_at = state.progress[replica].acknowledged_at
    quiet_ms = state.now - acknowledged_at
    is_recent = quiet_ms <= state.timing.election_timeout_ms
    return is_recent and acknowledged_at > state.leader_since


def _is_caught_up(
    state: node.Node, member: message.Member, timeout_ms: int
) -> bool:
    if is_silent(
        state, member.identity, min(timeout_ms, _MAX_LEARNER_SILENCE_MS)
    ):
        return False
    # One that has ended has no entry of this leader's term.
    least_match = max(
        state.commit_index - _MAX_LEARNER_LAG_ENTRIES, state.term_start_index
    )
    return state.progress[member.identity].match_index >= least_match


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
