"""Gangs, target reservations and backfill."""

import pytest

from . import cell_test, event, job, reducer, snapshot


@pytest.fixture
def reserved_cell():
    """Return a cell of two targets, both reserved for a gang."""
    cell = cell_test.Cell(targets=2)
    for number in range(6):
        cell.submit(cell_test.specify(number))
    cell.dispatch()
    urgency = job.Urgency.HIGH
    gang = cell_test.specify(99, job.Kind.GANG, count=6, urgency=urgency)
    cell.submit(gang)
    cell.dispatch(cell.tables.configuration.document.gang_reservation_ms)
    assert cell.tables.reservation.targets == ('t0', 't1')
    return cell


def reserved_targets(tables):
    loads = tables.fleet.loads.values()
    return sorted(load.target for load in loads if load.reserved_for)


def copy_by_snapshot(tables):
    return snapshot.decode(snapshot.encode(tables))


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


def test_reservation_ends_with_the_target_that_it_names(reserved_cell):
    reserved_cell.apply(
        event.SessionExpired, reserved_cell.tables.targets['t0'].session
    )
    assert reserved_cell.tables.reservation is None
    assert not reserved_targets(reserved_cell.tables)
    copy_by_snapshot(reserved_cell.tables)


def test_target_that_leaves_and_returns_in_one_entry_is_not_reserved(
    reserved_cell,
):
    reserved_cell.apply(
        event.SessionExpired, reserved_cell.tables.targets['t0'].session
    )
    reserved_cell.open_session(0)
    assert not reserved_targets(reserved_cell.tables)
    assert not reserved_targets(copy_by_snapshot(reserved_cell.tables))


def test_target_that_starts_again_stays_reserved(reserved_cell):
    reserved_cell.open_session(0)
    restored = copy_by_snapshot(reserved_cell.tables)
    assert reserved_targets(reserved_cell.tables) == ['t0', 't1']
    assert reserved_targets(restored) == ['t0', 't1']


def test_replica_restored_from_a_snapshot_places_like_the_others(reserved_cell):
    """The snapshot is taken after a pass that doesn't try the gang."""
    live = reserved_cell.tables
    limits = {'teams': {'a': {'quota': 0}}}
    reserved_cell.apply(event.ConfigurationPatched, 'p1', 1, limits)
    reserved_cell.open_session(0)
    reserved_cell.dispatch()
    restored = copy_by_snapshot(live)
    ended = [
        event.AttemptEnd(one.attempt, job.EndReason.COMPLETED, live.time)
        for one in live.attempts.values()
        if one.target == 't0'
    ]
    session = live.attempts[ended[0].attempt].session
    small = cell_test.specify(100, team='b')
    entry = (
        event.ReportReceived(live.time, session, ended=tuple(ended)),
        event.JobSubmitted(live.time, small, 'd'),
        event.TimePassed(live.time),
    )
    for tables in (live, restored):
        for occurred in entry:
            reducer.reduce(tables, occurred)
    assert snapshot.encode(restored) == snapshot.encode(live)
