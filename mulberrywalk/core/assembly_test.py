"""Gangs come together soon, or are stopped and run again together."""

import pytest

from . import assembly, cell_test, effect, job, snapshot


@pytest.fixture
def cell():
    cell = cell_test.Cell(targets=3)
    needs = cell_test.step(3, is_gang=True)
    cell.submit(cell_test.specify(1, job.Kind.WORKFLOW, steps=(needs,)))
    cell.dispatch()
    return cell


def stopped(effects):
    return [
        one.attempt.attempt
        for one in effects
        if isinstance(one, effect.StopAttempt)
    ]


def test_a_gang_with_a_member_missing_is_stopped_as_a_whole(cell):
    attempts = list(cell.tables.attempts.values())
    for attempt in attempts[:2]:
        cell.start(attempt)
    assert not stopped(cell.dispatch(assembly.PATIENCE_MS - 1))
    effects = cell.dispatch(1)
    assert len(stopped(effects)) == 3
    assert not stopped(cell.dispatch(1000))
    cell.report(attempts[2], job.EndReason.NEVER_STARTED)
    for attempt in attempts[:2]:
        cell.report(attempt, job.EndReason.STOPPED)
    cell.dispatch(1000)
    assert {one.number for one in cell.tables.attempts.values()} == {2}


def test_a_gang_that_has_come_together_is_left_alone(cell):
    for attempt in list(cell.tables.attempts.values()):
        cell.start(attempt)
    assert not stopped(cell.dispatch(10 * assembly.PATIENCE_MS))


def test_a_restored_state_knows_which_gangs_come_together(cell):
    cell.start(next(iter(cell.tables.attempts.values())))
    restored = snapshot.decode(snapshot.encode(cell.tables))
    assert len(restored.assembling) == 2
    assert restored.assembling == cell.tables.assembling
