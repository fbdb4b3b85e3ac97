"""Gangs, target reservations and backfill."""

from . import cell_test, job


def test_gang_waits_for_room_for_all():
    cell = cell_test.Cell(targets=1)
    cell.submit(cell_test.specify(1, job.Kind.GANG, count=5))
    cell.dispatch()
    assert not cell.tables.attempts
    cell.open_session(1)
    cell.dispatch(300)
    assert len(cell.tables.attempts) == 5


def test_gang_gets_a_reservation_against_a_stream_of_small_tasks():
    cell = cell_test.Cell(targets=2)
    small = [
        cell.submit(cell_test.specify(number, urgency=job.Urgency.CRITICAL)).job
        for number in range(6)
    ]
    cell.dispatch()
    gang = cell.submit(cell_test.specify(99, job.Kind.GANG, count=6)).job
    for number in range(100, 140):
        cell.submit(cell_test.specify(number, urgency=job.Urgency.CRITICAL))
        cell.dispatch(500)
        oldest = min(
            cell.tables.attempts.values(), key=lambda attempt: attempt.placed_at
        )
        if cell.task(gang).state is job.TaskState.WAITING:
            cell.report(oldest, job.EndReason.COMPLETED)
    assert small
    assert cell.task(gang).state is not job.TaskState.WAITING
