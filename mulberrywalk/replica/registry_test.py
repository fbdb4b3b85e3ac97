"""Announcements of called targets: what is recorded, and what is late."""

import anyio

from ..core import cell_test, event, identity, outcome
from . import registry

TARGET = identity.TargetId('t0')


class FakeEngine:
    """Applies events at once."""

    def __init__(self):
        self.cell = cell_test.Cell()
        self.decided = []

    @property
    def tables(self):
        return self.cell.tables

    def time(self):
        return self.cell.now

    async def decide(self, occurred):
        self.decided.append(type(occurred))
        fields = [
            getattr(occurred, name) for name in occurred.__struct_fields__
        ]
        return self.cell.apply(type(occurred), *fields[1:])[0].outcome


def sight(sequence=1, born_at=100, *, is_leaving=False):
    announced = cell_test.announce(
        0, str(born_at), born_at=born_at, address='a:1'
    )
    return registry.Sighting(announced, sequence, is_leaving)


def announce(*sightings):
    running = FakeEngine()
    heard = registry.Registry(running)

    async def run():
        return [await heard.announce(one) for one in sightings]

    return running, anyio.run(run)


def test_first_announcement_opens_a_session_and_a_second_changes_nothing():
    running, _ = announce(sight(1), sight(2))
    assert running.decided == [event.SessionOpened]


def test_departure_is_recorded_once():
    running, _ = announce(
        sight(1), sight(2, is_leaving=True), sight(3, is_leaving=True)
    )
    assert running.decided == [event.SessionOpened, event.DepartureAnnounced]
    assert running.tables.targets[TARGET].is_leaving


def test_late_announcement_does_not_undo_a_departure():
    running, told = announce(sight(1), sight(5, is_leaving=True), sight(4))
    assert isinstance(told[-1], outcome.Recorded)
    assert running.tables.targets[TARGET].is_leaving


def test_announcement_of_an_earlier_life_is_late():
    running, _ = announce(sight(1, born_at=200), sight(9, born_at=100))
    assert running.decided == [event.SessionOpened]


def test_new_life_opens_a_session_of_its_own():
    running, told = announce(sight(9, born_at=100), sight(1, born_at=200))
    assert told[0].session != told[1].session
    assert running.tables.targets[TARGET].session == told[1].session


def test_leaving_target_that_is_not_known_opens_no_session():
    running, _ = announce(sight(1, is_leaving=True))
    assert not running.decided


def test_farewell_counts_only_after_a_departure(monkeypatch):
    monkeypatch.setattr(registry, '_FAREWELL_S', 0)
    running = FakeEngine()
    heard = registry.Registry(running)

    async def run():
        await heard.announce(sight(1))
        await heard.farewell(TARGET)
        assert TARGET in running.tables.targets
        await heard.announce(sight(2, is_leaving=True))
        await heard.farewell(TARGET)
        assert TARGET not in running.tables.targets

    anyio.run(run)
