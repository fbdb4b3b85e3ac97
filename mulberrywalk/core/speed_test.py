"""Targets are known by what they did, and urgent work goes to the fast."""

from . import cell_test, job, speed

TASKS = 4
USUAL_MS = 1000


def finish(cell, attempts):
    for attempt in attempts:
        cell.report(attempt, job.EndReason.COMPLETED)


def run_step(cell, slow, times=7):
    """Run steps of one task a target, of which one takes many times."""
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
        cell.now += USUAL_MS
        finish(cell, [one for one in attempts if one.target != slow])
        cell.now += (times - 1) * USUAL_MS
        finish(cell, [one for one in attempts if one.target == slow])


def place(cell, urgency):
    """Return the targets of a step that has a choice."""
    number = next(cell.numbers)
    needs = cell_test.step(1, 1000)
    specification = cell_test.specify(
        number, job.Kind.WORKFLOW, steps=(needs,), urgency=urgency
    )
    cell.submit(specification)
    cell.dispatch()
    return cell_test.only(cell.tables.attempts.values()).target


def test_a_target_that_takes_long_is_known_as_slow():
    cell = cell_test.Cell(targets=TASKS)
    run_step(cell, 't1')
    assert speed.slowness_of(cell.tables, 't1') > speed.SLOW_THRESHOLD
    assert speed.slowness_of(cell.tables, 't0') < speed.AVERAGE_SLOWNESS


def test_what_was_learned_counts_less_with_time():
    cell = cell_test.Cell(targets=TASKS)
    run_step(cell, 't1')
    before = speed.slowness_of(cell.tables, 't1')
    cell.dispatch(60_000)
    after = speed.slowness_of(cell.tables, 't1')
    assert speed.AVERAGE_SLOWNESS < after < before // 2 + speed.AVERAGE_SLOWNESS


def test_urgent_work_goes_to_fast_targets_and_patient_work_leaves_them():
    for urgency in (job.Urgency.CRITICAL, job.Urgency.LOW):
        cell = cell_test.Cell(targets=TASKS)
        run_step(cell, 't0', times=2)
        chosen = place(cell, urgency)
        assert (chosen == 't0') == (urgency is job.Urgency.LOW)


def test_a_slow_target_is_taken_for_what_fits_nowhere_else():
    cell = cell_test.Cell(targets=TASKS)
    run_step(cell, 't0')
    assert place(cell, job.Urgency.LOW) != 't0'
    needs = cell_test.step(TASKS, 4000)
    number = next(cell.numbers)
    cell.submit(cell_test.specify(number, job.Kind.WORKFLOW, steps=(needs,)))
    cell.dispatch()
    assert 't0' in {one.target for one in cell.tables.attempts.values()}
