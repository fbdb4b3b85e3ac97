"""Announcements of called targets: what is recorded, and what is late."""

import dataclasses

import anyio
import msgspec

from ..core import cell_test, configuration, event, identity, job, outcome
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

    async def propose_and_wait(self, occurred):
        self.decided.append(type(occurred))
        fields = [
            getattr(occurred, name) for name in occurred.__struct_fields__
        ]
        return self.cell.apply(type(occurred), *fields[1:])[0].outcome


def sight(sequence=1, born_at=100, *, is_leaving=False):
    announced = cell_test.announce(
        0, str(born_at), born_at=born_at, address='a:1'
    )
    return registry.TargetHeartbeat(announced, sequence, is_leaving)


def announce(*sightings):
    running = FakeEngine()
    heard = registry.Registry(running)

    async def run():
        return [await heard.process_heartbeat(one) for one in sightings]

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
    monkeypatch.setattr(registry, '_DEREGISTER_DELAY_S', 0)
    running = FakeEngine()
    heard = registry.Registry(running)

    async def run():
        await heard.process_heartbeat(sight(1))
        await heard.deregister(TARGET)
        assert TARGET in running.tables.targets
        await heard.process_heartbeat(sight(2, is_leaving=True))
        await heard.deregister(TARGET)
        assert TARGET not in running.tables.targets

    anyio.run(run)


def configure(running, *pools):
    named = tuple(map(configuration.PoolSettings, pools))
    routing = configuration.Routing(1, (), named)
    running.cell.apply(event.ConfigurationReplaced, routing)


def of_pool(pool, sighting):
    announced = msgspec.structs.replace(
        sighting.announcement, pool=identity.Pool(pool)
    )
    return dataclasses.replace(sighting, announcement=announced)


def test_announcement_for_a_pool_that_is_not_named_ends_no_neighbour():
    running = FakeEngine()
    heard = registry.Registry(running)
    configure(running, 'p')
    other = sight(2**60, born_at=200)
    neighbour = msgspec.structs.replace(
        other.announcement, target=identity.TargetId('t9')
    )

    async def run():
        await heard.process_heartbeat(of_pool('p', sight(1)))
        for odd in (other, dataclasses.replace(other, announcement=neighbour)):
            assert heard.has_unknown_pool(of_pool('odd', odd))
            told = await heard.process_heartbeat(of_pool('odd', odd))
            assert isinstance(told, outcome.Recorded)
        await heard.process_heartbeat(of_pool('p', sight(2, is_leaving=True)))

    anyio.run(run)
    assert running.decided == [event.SessionOpened, event.DepartureAnnounced]
    assert list(running.tables.targets) == [TARGET]


def test_departure_from_a_pool_that_is_named_no_more_is_recorded():
    running = FakeEngine()
    heard = registry.Registry(running)

    async def run():
        await heard.process_heartbeat(of_pool('p', sight(1)))
        configure(running, 'other')
        await heard.process_heartbeat(of_pool('p', sight(2, is_leaving=True)))

    anyio.run(run)
    assert running.tables.targets[TARGET].is_leaving


def test_target_of_a_pool_that_only_a_job_needs_is_taken():
    running = FakeEngine()
    heard = registry.Registry(running)
    configure(running, 'other')
    needs = (job.StepSpecification(1),)
    submitted = job.Specification(
        'r', 'a', job.Kind.WORKFLOW, steps=needs, pool='p'
    )
    running.cell.apply(event.JobSubmitted, submitted, 'd')
    assert not heard.has_unknown_pool(of_pool('p', sight(1)))
    assert heard.has_unknown_pool(of_pool('q', sight(1)))


def test_target_is_taken_before_any_pool_is_named_and_once_its_own_is():
    running = FakeEngine()
    heard = registry.Registry(running)
    assert not heard.has_unknown_pool(of_pool('p', sight(1)))
    configure(running, 'other')
    assert heard.has_unknown_pool(of_pool('p', sight(1)))
    assert not heard.has_unknown_pool(of_pool('other', sight(1)))
