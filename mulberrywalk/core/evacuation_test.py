"""Work that would not end before its target leaves runs elsewhere."""

import pytest

from . import cell_test, effect, event, job

ESTIMATE_MS = 1000


def start_step(cell, **more):
    """Start a step of one task and return its attempt."""
    needs = cell_test.step(1, estimate_ms=ESTIMATE_MS, **more)
    number = next(cell.numbers)
    cell.submit(cell_test.specify(number, job.Kind.WORKFLOW, steps=(needs,)))
    cell.dispatch()
    attempt = cell_test.only(cell.tables.attempts.values())
    cell.start(attempt)
    return attempt


def announce_departure(cell, attempt, remaining_ms):
    effects = cell.apply(
        event.DepartureAnnounced, attempt.session, remaining_ms
    )
    return [
        emitted
        for emitted in effects
        if isinstance(emitted, effect.StopAttempt)
    ]


@pytest.mark.parametrize(
    ('remaining_ms', 'passed_ms', 'count'),
    [(500, 0, 1), (2000, 0, 0), (500, 900, 1), (700, 900, 0), (None, 0, 0)],
)
def test_work_that_would_not_end_in_time_is_stopped(
    remaining_ms, passed_ms, count
):
    cell = cell_test.Cell(targets=2)
    attempt = start_step(cell)
    cell.now += passed_ms
    assert len(announce_departure(cell, attempt, remaining_ms)) == count


def test_lasting_work_moves_at_once_and_runs_elsewhere():
    cell = cell_test.Cell(targets=2)
    attempt = start_step(cell, is_lasting=True)
    assert announce_departure(cell, attempt, 60_000)
    cell.report(attempt, job.EndReason.STOPPED)
    cell.dispatch(1000)
    moved = cell_test.only(cell.tables.attempts.values())
    assert moved.target != attempt.target


def test_work_that_is_not_idempotent_is_not_stopped():
    cell = cell_test.Cell(targets=2)
    cell.submit(cell_test.specify(1, job.Kind.REQUEST, is_idempotent=False))
    cell.dispatch()
    attempt = cell_test.only(cell.tables.attempts.values())
    cell.start(attempt)
    assert not announce_departure(cell, attempt, 10)
