"""Heartbeats of polled targets: recorded, outdated or of unknown pools."""

import dataclasses

import anyio
import msgspec

from ..core import cell_test, configuration, event, identity, job, outcome
from . import registry

TARGET = identity.TargetId('t0')


class FakeEngine:
    """Applies proposed events at once."""

    def __init__(self):
        self.cell = cell_test.Cell()
        self.proposed = []

    @property
    def tables(self):
        return self.cell.tables

    def time(self):
        return self.cell.now

    async def propose_and_wait(self, new_event):
        self.proposed.append(type(new_event))
        fields = [
            getattr(new_event, name) for name in new_event.__struct_fields__
        ]
        return self.cell.apply(type(new_event), *fields[1:])[0].outcome


def heartbeat(sequence=1, born_at=100, *, is_leaving=False):
    announced = cell_test.announce(
        0, str(born_at), born_at=born_at, address='a:1'
    )
    return event.TargetHeartbeat(announced, sequence, is_leaving)


def process(*heartbeats):
    replica_engine = FakeEngine()
    target_registry = registry.Registry(replica_engine)

    async def run():
        return [
            await target_registry.process_heartbeat(beat) for beat in heartbeats
        ]

    return replica_engine, anyio.run(run)


def test_first_heartbeat_opens_a_session_and_second_changes_nothing():
    replica_engine, _ = process(heartbeat(1), heartbeat(2))
    assert replica_engine.proposed == [event.SessionOpened]


def test_departure_is_recorded_once():
    replica_engine, _ = process(
        heartbeat(1),
        heartbeat(2, is_leaving=True),
        heartbeat(3, is_leaving=True),
    )
    assert replica_engine.proposed == [
        event.SessionOpened,
        event.DepartureAnnounced,
    ]
    assert replica_engine.tables.targets[TARGET].is_leaving


def test_delayed_heartbeat_does_not_undo_a_departure():
    replica_engine, outcomes = process(
        heartbeat(1), heartbeat(5, is_leaving=True), heartbeat(4)
    )
    assert isinstance(outcomes[-1], outcome.Recorded)
    assert replica_engine.tables.targets[TARGET].is_leaving


def test_heartbeat_of_an_earlier_incarnation_is_outdated():
    replica_engine, _ = process(
        heartbeat(1, born_at=200), heartbeat(9, born_at=100)
    )
    assert replica_engine.proposed == [event.SessionOpened]


def test_new_incarnation_opens_a_new_session():
    replica_engine, outcomes = process(
        heartbeat(9, born_at=100), heartbeat(1, born_at=200)
    )
    assert outcomes[0].session != outcomes[1].session
    assert replica_engine.tables.targets[TARGET].session == outcomes[1].session


def test_unknown_leaving_target_opens_no_session():
    replica_engine, _ = process(heartbeat(1, is_leaving=True))
    assert not replica_engine.proposed


class Departed:
    """A target that has announced its end, and what it is heard from."""

    def __init__(self, born_at=100):
        self.registry = registry.Registry(FakeEngine())
        self.heard_at = 0
        beats = (
            heartbeat(1, born_at=born_at),
            heartbeat(2, born_at=born_at, is_leaving=True),
        )
        for beat in beats:
            anyio.run(self.registry.process_heartbeat, beat)

    def gone(self, now):
        return self.registry.take_gone(now, lambda _: self.heard_at)


def test_deregistration_counts_only_after_a_departure():
    replica_engine = FakeEngine()
    target_registry = registry.Registry(replica_engine)
    anyio.run(target_registry.process_heartbeat, heartbeat(1))
    target_registry.deregister(TARGET, 0, 1000)
    assert not target_registry.take_gone(10_000, lambda _: 0)
    anyio.run(target_registry.process_heartbeat, heartbeat(2, is_leaving=True))
    target_registry.deregister(TARGET, 0, 10_000)
    gone_at = 10_000 + registry.GONE_MS
    assert not target_registry.take_gone(gone_at - 1, lambda _: 0)
    session = replica_engine.tables.targets[TARGET].session
    assert target_registry.take_gone(gone_at, lambda _: 0) == [session]
    assert not target_registry.take_gone(gone_at, lambda _: 0)


def test_deregistered_target_that_is_heard_from_is_not_gone():
    """It works on for some seconds if the answer is lost."""
    scene = Departed()
    scene.registry.deregister(TARGET, 0, 1000)
    for now in range(1400, 5000, 500):
        scene.heard_at = now
        assert not scene.gone(now + 499)
    assert scene.gone(scene.heard_at + registry.GONE_MS)


def test_repeated_deregistration_does_not_delay_the_end():
    scene = Departed()
    for now in (1000, 1500):
        scene.registry.deregister(TARGET, 0, now)
    assert scene.gone(1000 + registry.GONE_MS)


def test_deregistration_of_an_earlier_life_ends_no_session():
    """It was held up on its way, and the target leaves again meanwhile."""
    scene = Departed(born_at=200)
    scene.registry.deregister(TARGET, 100, 1000)
    assert not scene.gone(10_000)
    scene.registry.deregister(TARGET, 200, 10_000)
    assert scene.gone(20_000)


def configure(replica_engine, *pools):
    named = tuple(map(configuration.PoolSettings, pools))
    routing = configuration.Routing(1, (), named)
    replica_engine.cell.apply(event.ConfigurationReplaced, routing)


def with_pool(pool, original):
    announced = msgspec.structs.replace(
        original.announcement, pool=identity.Pool(pool)
    )
    return dataclasses.replace(original, announcement=announced)


def test_heartbeat_with_an_unknown_pool_affects_no_other_target():
    replica_engine = FakeEngine()
    target_registry = registry.Registry(replica_engine)
    configure(replica_engine, 'p')
    other = heartbeat(2**60, born_at=200)
    other_target = msgspec.structs.replace(
        other.announcement, target=identity.TargetId('t9')
    )

    async def run():
        await target_registry.process_heartbeat(with_pool('p', heartbeat(1)))
        for unknown in (
            other,
            dataclasses.replace(other, announcement=other_target),
        ):
            assert target_registry.has_unknown_pool(with_pool('odd', unknown))
            outcomes = await target_registry.process_heartbeat(
                with_pool('odd', unknown)
            )
            assert isinstance(outcomes, outcome.Recorded)
        await target_registry.process_heartbeat(
            with_pool('p', heartbeat(2, is_leaving=True))
        )

    anyio.run(run)
    assert replica_engine.proposed == [
        event.SessionOpened,
        event.DepartureAnnounced,
    ]
    assert list(replica_engine.tables.targets) == [TARGET]


def test_departure_from_a_removed_pool_is_recorded():
    replica_engine = FakeEngine()
    target_registry = registry.Registry(replica_engine)

    async def run():
        await target_registry.process_heartbeat(with_pool('p', heartbeat(1)))
        configure(replica_engine, 'other')
        await target_registry.process_heartbeat(
            with_pool('p', heartbeat(2, is_leaving=True))
        )

    anyio.run(run)
    assert replica_engine.tables.targets[TARGET].is_leaving


def test_pool_that_only_a_job_needs_is_known():
    replica_engine = FakeEngine()
    target_registry = registry.Registry(replica_engine)
    configure(replica_engine, 'other')
    needs = (job.StepSpecification(1),)
    submitted = job.Specification(
        'r', 'a', job.Kind.WORKFLOW, steps=needs, pool='p'
    )
    replica_engine.cell.apply(event.JobSubmitted, submitted, 'd')
    assert not target_registry.has_unknown_pool(with_pool('p', heartbeat(1)))
    assert target_registry.has_unknown_pool(with_pool('q', heartbeat(1)))


def test_pool_is_known_while_none_is_configured_and_when_it_is_itself():
    replica_engine = FakeEngine()
    target_registry = registry.Registry(replica_engine)
    assert not target_registry.has_unknown_pool(with_pool('p', heartbeat(1)))
    configure(replica_engine, 'other')
    assert target_registry.has_unknown_pool(with_pool('p', heartbeat(1)))
    assert not target_registry.has_unknown_pool(
        with_pool('other', heartbeat(1))
    )
