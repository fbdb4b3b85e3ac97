"""Target speed is measured, and urgent work goes to fast targets."""

from . import cell_test, job, speed

TASKS = 4
NORMAL_MS = 1000


def finish(cell, attempts):
    for attempt in attempts:
        cell.report(attempt, job.EndReason.COMPLETED)


def run_step(cell, slow, factor=7):
    """Run steps with one task per target; the slow target takes a multiple."""
    for _ in range(TASKS):
        number = next(cell.numbers)
        needs = cell_test.step(TASKS, 4000)
        cell.submit(
            cell_test.specify(number, job.Kind.WORKFLOW, steps=(needs,))
        )
        cell.dispatch()
        attempts = list(cell.tables.attempts.values())
        for attempt in attempts:
            cell.start(attempt)
        cell.now += NORMAL_MS
        finish(cell, [one for one in attempts if one.target != slow])
        cell.now += (factor - 1) * NORMAL_MS
        finish(cell, [one for one in attempts if one.target == slow])


def place(cell, urgency):
    """Place a step of one task and return its target."""
    number = next(cell.numbers)
    needs = cell_test.step(1, 1000)
    specification = cell_test.specify(
        number, job.Kind.WORKFLOW, steps=(needs,), urgency=urgency
    )
    cell.submit(specification)
    cell.dispatch()
    return cell_test.only(cell.tables.attempts.values()).target


def test_target_with_long_durations_is_slow():
    cell = cell_test.Cell(targets=TASKS)
    run_step(cell, 't1')
    assert speed.slowness_of(cell.tables, 't1') > speed.SLOW_THRESHOLD
    assert speed.slowness_of(cell.tables, 't0') < speed.AVERAGE_SLOWNESS


def test_measured_slowness_decays_with_time():
    cell = cell_test.Cell(targets=TASKS)
    run_step(cell, 't1')
    before = speed.slowness_of(cell.tables, 't1')
    cell.dispatch(60_000)
    after = speed.slowness_of(cell.tables, 't1')
    assert speed.AVERAGE_SLOWNESS < after < before // 2 + speed.AVERAGE_SLOWNESS


def test_urgent_work_goes_to_fast_targets_and_other_work_leaves_them():
    for urgency in (job.Urgency.CRITICAL, job.Urgency.LOW):
        cell = cell_test.Cell(targets=TASKS)
        run_step(cell, 't0', factor=2)
        chosen = place(cell, urgency)
        assert (chosen == 't0') == (urgency is job.Urgency.LOW)


def test_slow_target_is_used_for_work_that_fits_nowhere_else():
    cell = cell_test.Cell(targets=TASKS)
    run_step(cell, 't0')
    assert place(cell, job.Urgency.LOW) != 't0'
    needs = cell_test.step(TASKS, 4000)
    number = next(cell.numbers)
    cell.submit(cell_test.specify(number, job.Kind.WORKFLOW, steps=(needs,)))
    cell.dispatch()
    assert 't0' in {attempt.target for attempt in cell.tables.attempts.values()}
