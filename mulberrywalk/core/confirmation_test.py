"""Starts that are not confirmed in time are stopped, gangs as a whole."""

import pytest

from . import cell_test, confirmation, effect, event, job, snapshot


@pytest.fixture
def cell():
    cell = cell_test.Cell(targets=3)
    needs = cell_test.step(3, is_gang=True)
    cell.submit(cell_test.specify(1, job.Kind.WORKFLOW, steps=(needs,)))
    cell.dispatch()
    return cell


def stopped_attempts(effects):
    return [
        one.attempt.attempt
        for one in effects
        if isinstance(one, effect.StopAttempt)
    ]


def test_gang_with_an_unconfirmed_member_is_stopped_as_a_whole(cell):
    attempts = list(cell.tables.attempts.values())
    for attempt in attempts[:2]:
        cell.start(attempt)
    assert not stopped_attempts(
        cell.dispatch(confirmation.GANG_START_TIMEOUT_MS - 1)
    )
    effects = cell.dispatch(1)
    assert len(stopped_attempts(effects)) == 3
    assert not stopped_attempts(cell.dispatch(1000))
    cell.report(attempts[2], job.EndReason.NEVER_STARTED)
    for attempt in attempts[:2]:
        cell.report(attempt, job.EndReason.STOPPED)
    cell.dispatch(1000)
    assert {one.number for one in cell.tables.attempts.values()} == {2}


def test_gang_with_all_members_started_is_left_alone(cell):
    for attempt in list(cell.tables.attempts.values()):
        cell.start(attempt)
    assert not stopped_attempts(
        cell.dispatch(10 * confirmation.GANG_START_TIMEOUT_MS)
    )


def test_restored_state_keeps_the_unconfirmed_starts(cell):
    cell.start(next(iter(cell.tables.attempts.values())))
    restored = snapshot.decode(snapshot.encode(cell.tables))
    assert len(restored.unconfirmed) == 2
    assert restored.unconfirmed == cell.tables.unconfirmed


def lasting_cell(targets=2):
    cell = cell_test.Cell(targets)
    needs = cell_test.step(1, is_lasting=True)
    cell.submit(cell_test.specify(1, job.Kind.WORKFLOW, steps=(needs,)))
    cell.dispatch()
    return cell


def test_unconfirmed_start_is_stopped_and_retried_elsewhere():
    cell = lasting_cell()
    first = cell_test.only(cell.tables.attempts.values())
    assert not stopped_attempts(
        cell.dispatch(confirmation.START_TIMEOUT_MS - 1)
    )
    assert stopped_attempts(cell.dispatch(1)) == [first.attempt]
    cell.report(first, job.EndReason.NEVER_STARTED)
    cell.dispatch(1000)
    again = cell_test.only(cell.tables.attempts.values())
    assert again.target != first.target


def test_unconfirmed_start_on_a_silent_target_is_not_stopped():
    cell = lasting_cell()
    attempt = cell_test.only(cell.tables.attempts.values())
    cell.apply(event.SilenceNoted, attempt.session, 1400)
    assert not stopped_attempts(cell.dispatch(confirmation.START_TIMEOUT_MS))
    cell.apply(event.SilenceNoted, attempt.session, 0)
    assert not stopped_attempts(
        cell.dispatch(confirmation.START_TIMEOUT_MS - 1)
    )
    assert stopped_attempts(cell.dispatch(1)) == [attempt.attempt]


def test_start_timeout_begins_again_with_a_new_leader():
    cell = lasting_cell()
    attempt = cell_test.only(cell.tables.attempts.values())
    cell.now += 10 * confirmation.START_TIMEOUT_MS
    cell.apply(event.LeadershipBegun)
    assert not stopped_attempts(
        cell.dispatch(confirmation.START_TIMEOUT_MS - 1)
    )
    restored = snapshot.decode(snapshot.encode(cell.tables))
    assert restored.leader_since == cell.tables.leader_since
    assert stopped_attempts(cell.dispatch(1)) == [attempt.attempt]


@pytest.mark.parametrize('reason', ['unconfirmed', 'refused', 'expired'])
def test_target_that_fails_to_start_attempts_is_used_last(reason):
    cell = lasting_cell()
    first = cell_test.only(cell.tables.attempts.values())
    end = job.EndReason.REFUSED
    if reason == 'expired':
        end = job.EndReason.START_EXPIRED
    if reason == 'unconfirmed':
        cell.dispatch(confirmation.START_TIMEOUT_MS)
        end = job.EndReason.NEVER_STARTED
    cell.report(first, end)
    cell.dispatch(1000)
    needs = cell_test.step(1, is_lasting=True)
    cell.submit(cell_test.specify(2, job.Kind.WORKFLOW, steps=(needs,)))
    cell.dispatch()
    targets = [one.target for one in cell.tables.attempts.values()]
    assert len(targets) == 2
    assert first.target not in targets


def start_all_but(cell, target):
    for attempt in list(cell.tables.attempts.values()):
        if attempt.target != target:
            cell.start(attempt)


def test_gang_avoids_a_target_that_fails_to_start_attempts():
    cell = cell_test.Cell(targets=2)
    needs = cell_test.step(2, is_gang=True)
    cell.submit(cell_test.specify(1, job.Kind.WORKFLOW, steps=(needs,)))
    cell.dispatch()
    for _ in range(4):
        attempts = list(cell.tables.attempts.values())
        if 't0' not in {one.target for one in attempts}:
            return
        start_all_but(cell, 't0')
        cell.dispatch(confirmation.GANG_START_TIMEOUT_MS)
        for attempt in attempts:
            cell.report(attempt, job.EndReason.NEVER_STARTED)
        cell.dispatch(1000)
    targets = [one.target for one in cell.tables.attempts.values()]
    assert 't0' not in targets


def test_starts_lost_on_all_targets_at_once_do_not_close_the_pool():
    cell = cell_test.Cell(targets=3)
    needs = cell_test.step(9, is_lasting=True)
    cell.submit(cell_test.specify(1, job.Kind.WORKFLOW, steps=(needs,)))
    cell.dispatch()
    attempts = list(cell.tables.attempts.values())
    assert len(attempts) == 9
    cell.dispatch(confirmation.START_TIMEOUT_MS)
    for attempt in attempts:
        cell.report(attempt, job.EndReason.NEVER_STARTED)
    cell.dispatch(1000)
    assert cell.tables.attempts


def test_confirmed_start_clears_earlier_unconfirmed_ones():
    cell = lasting_cell(targets=1)
    for _ in range(3):
        attempt = cell_test.only(cell.tables.attempts.values())
        cell.dispatch(confirmation.START_TIMEOUT_MS)
        cell.report(attempt, job.EndReason.NEVER_STARTED)
        cell.dispatch(1000)
        again = cell_test.only(cell.tables.attempts.values())
        cell.start(again)
        cell.dispatch(3_600_000)
        cell.report(again, job.EndReason.LEASE_LAPSED)
        cell.dispatch(1000)
    assert cell_test.only(cell.tables.attempts.values()).target == 't0'
