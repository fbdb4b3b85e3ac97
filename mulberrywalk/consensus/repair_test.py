"""Tests the replacement of unresponsive voters."""

import itertools

import msgspec
import pytest

from . import log, message, node, repair

TIMEOUT_MS = 3000
NOW_MS = 100_000
TERMS = repair.Terms(voter_count=3, timeout_ms=TIMEOUT_MS)


def member(name, *, voter=True):
    return message.Member(message.ReplicaId(name), name, 'dc', voter)


@pytest.fixture
def leader():
    """Return leader a with voters b and c and learner d, all up to date."""
    members = message.Membership(
        (member('a'), member('b'), member('c'), member('d', voter=False))
    )
    leader_log = log.Log(10, 1, members)
    state = node.Node(message.ReplicaId('a'), leader_log, node.Timing())
    state.role = node.Role.LEADER
    state.membership = members
    state.now = NOW_MS
    state.commit_index = 10
    state.term_start_index = 5
    for name in 'bcd':
        state.progress[message.ReplicaId(name)] = node.Progress(
            11, match_index=10, acknowledged_at=NOW_MS
        )
    return state


def plan(state):
    return repair.plan_membership_change(state, TERMS)


def commit_membership(state, membership):
    state.membership = membership
    state.log = log.Log(10, 1, membership)


def mark_silent(state, *names):
    for name in names:
        state.progress[name].acknowledged_at = NOW_MS - TIMEOUT_MS - 1


def test_plan_returns_none_while_all_replicas_answer(leader):
    assert plan(leader) is None


def test_plan_promotes_a_learner_before_removing_a_silent_voter(leader):
    mark_silent(leader, 'c')
    enlarged = plan(leader)
    assert set(enlarged.voters()) == {'a', 'b', 'c', 'd'}
    leader.membership = enlarged
    leader.log.snapshot_membership = enlarged
    assert set(plan(leader).voters()) == {'a', 'b', 'd'}


def test_plan_waits_for_the_learner_to_catch_up(leader):
    mark_silent(leader, 'c')
    leader.commit_index = 1000
    leader.log.snapshot_index = 1000
    assert plan(leader) is None


def test_plan_returns_none_without_an_answering_quorum(leader):
    mark_silent(leader, 'b', 'c')
    assert plan(leader) is None


def test_plan_waits_for_the_change_in_progress(leader):
    mark_silent(leader, 'c')
    leader.membership = leader.membership.remove('d')
    assert plan(leader) is None


def test_plan_removes_a_learner_after_a_long_silence(leader):
    leader.progress['d'].acknowledged_at = NOW_MS - TIMEOUT_MS * 11
    assert plan(leader).find('d') is None


def test_add_learner_ignores_an_existing_member(leader):
    enlarged = repair.add_learner(leader, member('e'))
    assert not enlarged.find('e').voter
    assert repair.add_learner(leader, member('b')) is None


def test_plan_replaces_a_voter_with_a_lost_disk_without_waiting(leader):
    replacement = msgspec.structs.replace(
        member('b-2', voter=False), address='b'
    )
    commit_membership(
        leader, leader.membership.remove('d').replace(replacement)
    )
    leader.progress['b'].acknowledged_at = NOW_MS - 1
    leader.progress['b-2'] = node.Progress(
        11, match_index=10, acknowledged_at=NOW_MS
    )
    enlarged = plan(leader)
    assert set(enlarged.voters()) == {'a', 'b', 'c', 'b-2'}
    commit_membership(leader, enlarged)
    assert set(plan(leader).voters()) == {'a', 'c', 'b-2'}


def test_lagging_learner_is_described_until_it_has_caught_up(leader):
    assert not repair.describe_lagging_learners(leader, TIMEOUT_MS)
    leader.progress['d'].match_index = 0
    leader.progress['d'].acknowledged_at = NOW_MS - 700
    leader.commit_index = 1000
    assert repair.describe_lagging_learners(leader, TIMEOUT_MS) == [
        ('d', 'holds 0 of 1000 entries, last answered 700 ms ago')
    ]
    leader.role = node.Role.FOLLOWER
    assert not repair.describe_lagging_learners(leader, TIMEOUT_MS)


def lead(names, voters):
    """Return a leader of members that all answer and have the whole log."""
    members = message.Membership(
        tuple(member(name, voter=name in voters) for name in names)
    )
    state = node.Node(
        message.ReplicaId(names[0]), log.Log(10, 1, members), node.Timing()
    )
    state.role = node.Role.LEADER
    state.membership = members
    state.now = NOW_MS
    state.commit_index = 10
    state.term_start_index = 5
    state.progress = {
        message.ReplicaId(name): node.Progress(
            11, match_index=10, acknowledged_at=NOW_MS
        )
        for name in names
    }
    return state


def settle(state, terms):
    """Carry out all changes; a leader that should hand over does so."""
    for _ in range(40):
        planned = repair.plan_membership_change(state, terms)
        if planned is None:
            if not repair.should_hand_over(state, terms):
                return
            state.identity = state.membership.voters()[-1]
        else:
            commit_membership(state, planned)
    raise AssertionError('the membership does not settle')


@pytest.mark.parametrize('tolerated', [1, 2])
@pytest.mark.parametrize('spares', [0, 1, 2])
@pytest.mark.parametrize('successors', range(8))
def test_quorum_outlives_each_removal_of_replicas_with_successors(
    tolerated, spares, successors
):
    """Guards against a cell lost by removals, one by one or together.

    A replica may be removed once its successor has joined.
    """
    least = 2 * tolerated + 1
    base = [f'f{number}' for number in range(least + spares)]
    added = [f's{number}' for number in range(min(successors, len(base)))]
    names = [*base, *added]
    state = lead(names, base[:least])
    settle(state, repair.Terms(least, TIMEOUT_MS))
    voters = set(state.membership.voters())
    for count in range(len(added) + 1):
        for removed in itertools.combinations(base, count):
            remaining = voters.difference(removed)
            assert len(remaining) >= state.membership.quorum(), removed


@pytest.mark.parametrize('successors', range(1, 4))
def test_quorum_outlives_the_removal_of_successors_that_have_one(successors):
    """Any replica but the newest may have a successor."""
    names = [f'n{number}' for number in range(3 + min(successors, 2))]
    state = lead(names, names[:3])
    settle(state, TERMS)
    voters = set(state.membership.voters())
    for removed in itertools.combinations(names, len(names) - 3):
        remaining = voters.difference(removed)
        assert len(remaining) >= state.membership.quorum(), removed


def test_replica_that_is_ending_is_succeeded_before_it_ends(leader):
    leaving = repair.Terms(3, TIMEOUT_MS, frozenset(('c',)))
    enlarged = repair.plan_membership_change(leader, leaving)
    assert set(enlarged.voters()) == {'a', 'b', 'c', 'd'}
    commit_membership(leader, enlarged)
    smaller = repair.plan_membership_change(leader, leaving)
    assert set(smaller.voters()) == {'a', 'b', 'd'}
    assert not smaller.find('c').voter


def test_replica_may_end_once_it_is_committed_that_it_is_no_voter(leader):
    leaving = repair.Terms(3, TIMEOUT_MS, frozenset(('c',)))
    assert not repair.is_released(leader, 'c', leaving)
    smaller = leader.membership.remove('c').replace(member('d'))
    leader.membership = smaller
    assert not repair.is_released(leader, 'c', leaving)
    commit_membership(leader, smaller)
    assert repair.is_released(leader, 'c', leaving)


def test_replica_that_cannot_be_succeeded_may_end_at_once(leader):
    commit_membership(leader, leader.membership.remove('d'))
    leaving = repair.Terms(3, TIMEOUT_MS, frozenset(('c',)))
    assert repair.plan_membership_change(leader, leaving) is None
    assert repair.is_released(leader, 'c', leaving)


def test_learner_that_is_ending_becomes_no_voter(leader):
    mark_silent(leader, 'c')
    leaving = repair.Terms(3, TIMEOUT_MS, frozenset(('d',)))
    assert repair.plan_membership_change(leader, leaving) is None


@pytest.mark.parametrize('absent', ['b', 'c', 'd'])
def test_voter_that_returns_takes_no_vote_from_another(absent):
    """Otherwise each return of a replica would change the voters twice."""
    others = [name for name in 'abcd' if name != absent]
    assert plan(lead([*others, absent], others)) is None


def test_members_stay_in_the_order_in_which_they_joined(leader):
    promoted = leader.membership.replace(member('b', voter=False))
    assert promoted.identities() == ['a', 'b', 'c', 'd']
    assert promoted.replace(member('e')).identities()[-1] == 'e'
