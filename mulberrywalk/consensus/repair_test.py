"""Replacement of silent voters."""

import msgspec
import pytest

from . import log, message, node, repair

PATIENCE = 3000
NOW = 100_000


def member(name, *, voter=True):
    return message.Member(message.ReplicaId(name), name, 'dc', voter)


@pytest.fixture
def leader():
    """Return a leader a with voters b and c and the spare d, all current."""
    members = message.Membership(
        (member('a'), member('b'), member('c'), member('d', voter=False))
    )
    held = log.Log(10, 1, members)
    state = node.Node(message.ReplicaId('a'), held, node.Timing())
    state.role = node.Role.LEADER
    state.membership = members
    state.now = NOW
    state.commit_index = 10
    state.term_start_index = 5
    for name in 'bcd':
        state.progress[message.ReplicaId(name)] = node.Progress(
            11, match_index=10, acknowledged_at=NOW
        )
    return state


def plan(state):
    return repair.plan_membership_change(
        state, voter_count=3, timeout_ms=PATIENCE
    )


def commit_membership(state, membership):
    state.membership = membership
    state.log = log.Log(10, 1, membership)


def silence(state, *names):
    for name in names:
        state.progress[name].acknowledged_at = NOW - PATIENCE - 1


def test_plan_changes_nothing_while_all_answer(leader):
    assert plan(leader) is None


def test_plan_promotes_a_spare_before_it_removes(leader):
    silence(leader, 'c')
    larger = plan(leader)
    assert set(larger.voters()) == {'a', 'b', 'c', 'd'}
    leader.membership = larger
    leader.log.snapshot_membership = larger
    assert set(plan(leader).voters()) == {'a', 'b', 'd'}


def test_plan_waits_for_the_spare_to_catch_up(leader):
    silence(leader, 'c')
    leader.commit_index = 1000
    leader.log.snapshot_index = 1000
    assert plan(leader) is None


def test_plan_keeps_a_quorum_that_answers(leader):
    silence(leader, 'b', 'c')
    assert plan(leader) is None


def test_plan_waits_for_the_change_under_way(leader):
    silence(leader, 'c')
    leader.membership = leader.membership.remove('d')
    assert plan(leader) is None


def test_plan_forgets_a_spare_that_is_long_gone(leader):
    leader.progress['d'].acknowledged_at = NOW - PATIENCE * 11
    assert plan(leader).find('d') is None


def test_admit_takes_a_newcomer_once(leader):
    admitted = repair.add_learner(leader, member('e'))
    assert not admitted.find('e').voter
    assert repair.add_learner(leader, member('b')) is None


def test_plan_replaces_a_voter_whose_disk_is_lost_without_waiting(leader):
    reborn = msgspec.structs.replace(member('b-2', voter=False), address='b')
    commit_membership(leader, leader.membership.remove('d').replace(reborn))
    leader.progress['b'].acknowledged_at = NOW - 1
    leader.progress['b-2'] = node.Progress(
        11, match_index=10, acknowledged_at=NOW
    )
    larger = plan(leader)
    assert set(larger.voters()) == {'a', 'b', 'c', 'b-2'}
    commit_membership(leader, larger)
    assert set(plan(leader).voters()) == {'a', 'c', 'b-2'}
