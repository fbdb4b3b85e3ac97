"""A completion that a lost session left unreported is not run again."""

import pytest

from . import cell_test, event, job, workflow_test


def lose_target(cell, attempt):
    """End the session of a target that goes on, and open it another one."""
    cell.start(attempt)
    cell.apply(event.SessionExpired, attempt.session)
    number = int(attempt.target.removeprefix('t'))
    announced = cell_test.announce(number, 'the same life')
    return cell.apply(event.SessionOpened, announced)[0].outcome.session


def report_end(cell, session, attempt, reason=job.EndReason.COMPLETED):
    ended = event.AttemptEnd(attempt.attempt, reason, cell.now, '')
    return cell.apply(event.ReportReceived, session, ended=(ended,))


def place(cell, *steps, **more):
    cell.submit(workflow_test.workflow(*steps, **more))
    return workflow_test.started_attempts(cell.dispatch())[0]


def test_task_that_was_completed_before_its_session_was_lost_runs_once():
    cell = cell_test.Cell(targets=1)
    first = place(cell, cell_test.step(1), cell_test.step(1, after=(0,)))
    session = lose_target(cell, first)
    report_end(cell, session, first)
    started = cell_test.only(workflow_test.started_attempts(cell.dispatch()))
    # The step that waited for the task begins.
    assert started.task == f'{workflow_test.PREFIX}.0.1.0'


def test_task_that_was_lost_runs_again():
    cell = cell_test.Cell(targets=1)
    first = place(cell, cell_test.step(1))
    session = lose_target(cell, first)
    report_end(cell, session, first, job.EndReason.LEASE_LAPSED)
    started = cell_test.only(workflow_test.started_attempts(cell.dispatch()))
    assert started.task == first.task


def test_attempt_that_was_placed_meanwhile_goes_on():
    cell = cell_test.Cell(targets=1)
    first = place(cell, cell_test.step(1))
    session = lose_target(cell, first)
    second = cell_test.only(workflow_test.started_attempts(cell.dispatch()))
    report_end(cell, session, first)
    assert cell.tables.tasks[first.task].attempt == second.attempt


@pytest.mark.parametrize('changes', [{'is_lasting': True}, {'is_gang': True}])
def test_lasting_task_and_gang_run_again(changes):
    cell = cell_test.Cell(targets=1)
    first = place(cell, cell_test.step(1, **changes))
    session = lose_target(cell, first)
    report_end(cell, session, first)
    started = cell_test.only(workflow_test.started_attempts(cell.dispatch()))
    assert started.task == first.task
