"""Tests the replacement of unresponsive voters."""

import msgspec
import pytest

from . import log, message, node, repair

TIMEOUT_MS = 3000
NOW_MS = 100_000


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
    return repair.plan_membership_change(
        state, voter_count=3, timeout_ms=TIMEOUT_MS
    )


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
