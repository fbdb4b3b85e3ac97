"""A late heartbeat brings no target back that has left for good."""

import pytest

from . import cell_test, departure, event, outcome, snapshot

ADDRESS = '10.0.0.1:1'
BORN_AT = 100


@pytest.fixture
def cell():
    return cell_test.Cell()


def announce(cell, born_at=BORN_AT):
    announced = cell_test.announce(
        0, f'0-{born_at}', born_at=born_at, address=ADDRESS
    )
    return cell.apply(event.SessionOpened, announced)[0].outcome


def leave(cell, session):
    cell.apply(event.DepartureAnnounced, session, 2000)
    cell.apply(event.SessionExpired, session)
    assert not cell.tables.targets


def restart(cell):
    cell.tables = snapshot.decode(snapshot.encode(cell.tables))


def test_target_that_has_left_stays_away_after_a_restart(cell):
    leave(cell, announce(cell).session)
    restart(cell)
    assert isinstance(announce(cell), outcome.NotRun)
    assert not cell.tables.targets


def test_later_incarnation_of_a_target_that_has_left_is_used(cell):
    leave(cell, announce(cell).session)
    assert isinstance(announce(cell, BORN_AT + 1), outcome.SessionGranted)
    assert isinstance(announce(cell), outcome.NotRun)


def test_target_that_only_lost_its_session_is_used_again(cell):
    cell.apply(event.SessionExpired, announce(cell).session)
    assert isinstance(announce(cell), outcome.SessionGranted)


def test_departures_are_forgotten_after_a_while(cell):
    leave(cell, announce(cell).session)
    cell.now += departure.RETENTION_MS + 1
    other = cell_test.announce(1, 'n', born_at=1, address='10.0.0.2:1')
    opened = cell.apply(event.SessionOpened, other)[0].outcome
    leave(cell, opened.session)
    assert list(cell.tables.departed) == [other.target]
