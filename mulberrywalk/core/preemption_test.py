"""Preemption of attempts in favour of urgencies below their floor."""

import itertools

import msgspec

from . import cell_test, effect, job


def test_flood_is_preempted_for_a_class_below_its_floor():
    cell = cell_test.Cell(targets=4)
    cell.submit(cell_test.specify(1, count=40, urgency=job.Urgency.CRITICAL))
    cell.dispatch()
    assert len(cell.tables.attempts) == 12
    low = cell.submit(cell_test.specify(2, urgency=job.Urgency.LOW))
    cell.dispatch(1000)
    stopping = [
        attempt for attempt in cell.tables.attempts.values() if attempt.stopping
    ]
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
        for emitted in effects:
            if isinstance(emitted, effect.StopAttempt):
                cell.report(emitted.attempt, job.EndReason.STOPPED)
                stopped += 1
    assert cell.task(gang.job).state is job.TaskState.PLACED
    assert stopped <= 6


def with_estimate(specification, estimate_ms):
    tasks = tuple(
        msgspec.structs.replace(needs, estimate_ms=estimate_ms)
        for needs in specification.tasks
    )
    return msgspec.structs.replace(specification, tasks=tasks)


def test_preemption_for_a_gang_spares_work_that_ends_before_it_starts():
    cell = cell_test.Cell(targets=4)
    urgent = {'urgency': job.Urgency.CRITICAL}
    long = cell_test.specify(1, count=60, team='night', **urgent)
    cell.submit(with_estimate(long, 60_000))
    cell.dispatch()
    cell.submit(cell_test.specify(2, job.Kind.GANG, count=6, team='press'))
    effects = [cell.dispatch(50) for _ in range(45)]
    stops = [
        emitted
        for emitted in itertools.chain.from_iterable(effects)
        if isinstance(emitted, effect.StopAttempt)
    ]
    cell.report(stops[0].attempt, job.EndReason.STOPPED)
    short = cell_test.specify(3, job.Kind.REQUEST, team='counter', **urgent)
    backfilled = cell.submit(with_estimate(short, 100))
    for _ in range(4):
        cell.dispatch(10)
    task = cell.task(backfilled.job)
    assert task.state is job.TaskState.PLACED
    assert cell.tables.attempts[task.attempt].stopping is None
