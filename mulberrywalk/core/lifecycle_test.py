"""Ends of attempts, retries and the final states of tasks."""

from . import cell_test, event, job


def test_lost_session_moves_an_idempotent_task():
    cell = cell_test.Cell(targets=2)
    accepted = cell.submit(cell_test.specify(1))
    cell.dispatch()
    first = next(iter(cell.tables.attempts.values()))
    cell.apply(event.SessionExpired, first.session)
    cell.dispatch()
    second = next(iter(cell.tables.attempts.values()))
    assert second.target != first.target
    assert cell.task(accepted.job).attempts == 2


def test_lost_session_leaves_a_non_idempotent_task_unknown():
    cell = cell_test.Cell(targets=2)
    accepted = cell.submit(cell_test.specify(1, is_idempotent=False))
    cell.dispatch()
    first = next(iter(cell.tables.attempts.values()))
    cell.apply(event.SessionExpired, first.session)
    assert cell.task(accepted.job).state is job.TaskState.UNKNOWN


def lose_targets(cell, count, *, is_started):
    for _ in range(count):
        attempt = next(iter(cell.tables.attempts.values()))
        if is_started:
            cell.start(attempt)
        cell.apply(event.SessionExpired, attempt.session)
        cell.dispatch()


def test_task_that_never_started_is_not_blamed_for_lost_targets():
    cell = cell_test.Cell(targets=8)
    accepted = cell.submit(cell_test.specify(1))
    cell.dispatch()
    lose_targets(cell, 7, is_started=False)
    assert cell.task(accepted.job).state is job.TaskState.PLACED


def test_task_that_loses_several_targets_after_its_start_fails():
    cell = cell_test.Cell(targets=8)
    accepted = cell.submit(cell_test.specify(1))
    cell.dispatch()
    lose_targets(cell, 5, is_started=True)
    assert cell.task(accepted.job).state is job.TaskState.FAILED


def test_answer_too_large_fails_the_task_without_a_retry():
    cell = cell_test.Cell(targets=1)
    accepted = cell.submit(cell_test.specify(1))
    cell.dispatch()
    attempt = next(iter(cell.tables.attempts.values()))
    answer = 'x' * (job.MAX_PAYLOAD_LENGTH + 1)
    end = event.AttemptEnd(
        attempt.attempt, job.EndReason.COMPLETED, cell.now, answer
    )
    cell.apply(event.ReportReceived, attempt.session, ended=(end,))
    task = cell.task(accepted.job)
    assert task.state is job.TaskState.FAILED
    assert 'exceeds' in task.history[-1].detail
    assert not task.answer
