"""Room is chosen at intervals and withheld in all passes in between.

A busy leader makes many passes a second, and the choice is most of their work.
"""

import pytest

from . import job, reclaim, snapshot, step_reservation
from . import step_reservation_test as load_test

PASS_MS = 20


@pytest.fixture
def searches(monkeypatch):
    """Count the targets that are searched for room."""
    searched = []
    find_option = reclaim.find_option

    def count(tables, task, load):
        searched.append(load.target)
        return find_option(tables, task, load)

    monkeypatch.setattr(reclaim, 'find_option', count)
    return searched


@pytest.fixture
def cell(monkeypatch):
    monkeypatch.setattr(load_test, 'PASS_MS', PASS_MS)
    cell = load_test.lose_lasting_task(job.Urgency.CRITICAL)
    # Nothing ends, so that the task stays overdue.
    cell.ends_at = dict.fromkeys(cell.ends_at, cell.now + 60_000)
    cell.pass_time(step_reservation.RESERVE_AFTER_MS + 200)
    assert cell.tables.withheld
    return cell


def pass_until_a_choice(cell):
    while cell.tables.withheld_at != cell.now:
        cell.pass_time(PASS_MS)


def test_passes_between_two_choices_search_no_target(cell, searches):
    pass_until_a_choice(cell)
    searches.clear()
    cell.pass_time(step_reservation.CHOICE_INTERVAL_MS - PASS_MS)
    assert not searches
    cell.pass_time(PASS_MS)
    assert searches


def test_room_that_becomes_free_between_two_choices_is_kept(cell):
    pass_until_a_choice(cell)
    chosen = cell.tables.withheld[0].target
    load = cell.tables.fleet.loads[chosen]
    before = set(load.attempts)
    first = min(before)
    cell.ends_at[first] = cell.now
    cell.pass_time(PASS_MS)
    assert load.attempts == before - {first}


def test_restored_state_withholds_the_same_room(cell):
    pass_until_a_choice(cell)
    restored = snapshot.decode(snapshot.encode(cell.tables))
    kept = step_reservation.reserve(cell.tables)
    again = step_reservation.reserve(restored)
    assert [one.load.target for one in again] == [
        one.load.target for one in kept
    ]
    assert kept


@pytest.mark.parametrize('urgency', [job.Urgency.CRITICAL, job.Urgency.LOW])
def test_lasting_task_returns_in_time_with_many_passes(urgency, monkeypatch):
    monkeypatch.setattr(load_test, 'PASS_MS', PASS_MS)
    cell = load_test.lose_lasting_task(urgency)
    cell.pass_time(load_test.LOST_AFTER_MS)
    assert cell.lasting().state is job.TaskState.RUNNING
