"""Capacity that is taken back."""

from . import cell_test, effect, job


def test_flood_is_preempted_down_for_a_starved_class():
    cell = cell_test.Cell(targets=4)
    cell.submit(cell_test.specify(1, count=40, urgency=job.Urgency.CRITICAL))
    cell.dispatch()
    assert len(cell.tables.attempts) == 12
    low = cell.submit(cell_test.specify(2, urgency=job.Urgency.LOW))
    cell.dispatch(1000)
    stopping = [one for one in cell.tables.attempts.values() if one.stopping]
    assert len(stopping) == 1
    cell.report(stopping[0], job.EndReason.STOPPED)
    cell.dispatch()
    assert cell.task(low.job).state is job.TaskState.PLACED


def test_preemption_for_a_gang_stops_no_more_than_it_needs():
    cell = cell_test.Cell(targets=4)
    cell.submit(
        cell_test.specify(1, count=60, team='night', urgency=job.Urgency.LOW)
    )
    cell.dispatch()
    gang = cell.submit(
        cell_test.specify(2, job.Kind.GANG, count=6, team='press')
    )
    stopped = 0
    for _ in range(100):
        effects = cell.dispatch(50)
        for effected in effects:
            if isinstance(effected, effect.StopAttempt):
                cell.report(effected.attempt, job.EndReason.STOPPED)
                stopped += 1
    assert cell.task(gang.job).state is job.TaskState.PLACED
    assert stopped <= 6
