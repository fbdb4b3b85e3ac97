"""Tests of quarantine and of the attribution of failures."""

from . import cell_test, job


def test_failing_target_is_quarantined_and_gets_trial_attempts():
    cell = cell_test.Cell(targets=3)
    for number in range(40):
        cell.submit(cell_test.specify(number))
    for _ in range(60):
        cell.dispatch(300)
        for attempt in list(cell.tables.attempts.values()):
            is_failing = attempt.target == 't0'
            reason = (
                job.EndReason.FAILED if is_failing else job.EndReason.COMPLETED
            )
            cell.report(attempt, reason)
    states = {task.state for task in cell.tables.tasks.values()}
    assert states == {job.TaskState.COMPLETED}
    failures = sum(task.failures for task in cell.tables.tasks.values())
    assert failures <= 3 + 3


def test_job_that_always_fails_does_not_quarantine_its_targets():
    cell = cell_test.Cell(targets=4)
    accepted = cell.submit(cell_test.specify(1, count=12))
    for _ in range(40):
        cell.dispatch(5000)
        for attempt in list(cell.tables.attempts.values()):
            cell.report(attempt, job.EndReason.FAILED)
    assert cell.tables.jobs[accepted.job].state is job.JobState.FAILED
    levels = [record.health.level for record in cell.tables.targets.values()]
    assert sum(level > 0 for level in levels) <= 1
