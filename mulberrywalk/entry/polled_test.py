"""An entry's calls to a target, whose answers come late, twice or never."""

import anyio
import msgspec
import pytest

from ..core import event, identity, job
from ..telemetry import clock, cost, journal
from ..transport import wire
from . import polled, session, target_client, upstream

TARGET = identity.TargetId('t1')
SESSION = identity.SessionId('s1')
FIRST = identity.AttemptId('j.0.0.0/1')
SECOND = identity.AttemptId('j.0.0.1/1')
BORN = 100


class FakeLeader(upstream.Upstream):
    """Keeps what an entry sends."""

    def __init__(self):
        lines = journal.Journal(journal.Origin('e', 'd'))
        super().__init__(('a:1',), lines, cost.Meter())
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def reports(self, field):
        return [
            one
            for message in self.sent
            if isinstance(message, wire.Report)
            for one in getattr(message, field)
        ]


class FakeTarget(target_client.TargetClient):
    """Answers looks from lists, and orders by what it was told to say."""

    def __init__(self):
        self.running = []
        self.ended = []
        self.glances = []
        self.starts = []
        self.stops = []
        self.paces = []
        self.answer = target_client.CallResult.DONE
        self.born_at = BORN

    async def poll(self, destination, glance):
        await anyio.sleep(0.002)
        self.glances.append(glance)
        ended = [one for one in self.ended if one.number > glance.acknowledged]
        return target_client.PollResult(
            clock.monotonic_ms(),
            self.born_at,
            tuple(self.running),
            tuple(ended),
        )

    async def start(self, destination, command, until, term):
        self.starts.append((command.attempt, until, term))
        return self.answer

    async def stop(self, destination, attempt, term):
        self.stops.append(attempt)
        return target_client.CallResult.DONE

    async def pace(self, destination, attempt, percent, term):
        self.paces.append((attempt, percent))
        return target_client.CallResult.DONE


class PartlyFailingTarget(FakeTarget):
    """Passes looks on, but for those at one target, which raise."""

    def __init__(self, good, fault):
        super().__init__()
        self.good = good
        self.fault = fault

    async def poll(self, destination, glance):
        if destination.target == 'odd':
            raise self.fault
        return await self.good.poll(destination, glance)


def only(found):
    assert len(found) == 1, found
    return found[0]


def assignment(term=7, **more):
    return wire.Assignment(
        session=SESSION,
        target=TARGET,
        address='a:1',
        born_at=BORN,
        term=term,
        lease_ms=8000,
        **more,
    )


def command(attempt, **more):
    return wire.StartCommand(
        attempt=attempt,
        task=attempt.split('/')[0],
        millicores=1,
        memory_bytes=1,
        accelerators=0,
        estimate_ms=1,
        payload='',
        **more,
    )


def play(target, scenario, **more):
    """Run a session against a target while the scenario acts upon it."""
    leader = FakeLeader()
    sessions = session.Sessions(leader)
    lines = journal.Journal(journal.Origin('e', 'd'))

    async def run():
        carried = polled.PolledSession(
            assignment(**more), target, leader, sessions, lines
        )
        sessions.add(SESSION, carried)
        async with anyio.create_task_group() as group:
            group.start_soon(carried.run)
            await anyio.sleep(0.02)
            carried.renew(clock.monotonic_ms())
            await scenario(carried, leader)
            carried.end()

    anyio.run(run)
    return leader


def test_ends_below_the_lowest_listed_one_count_as_acknowledged():
    target = FakeTarget()
    target.ended = [
        target_client.EndedAttempt(57, FIRST, job.EndReason.COMPLETED, ''),
        target_client.EndedAttempt(58, SECOND, job.EndReason.COMPLETED, ''),
    ]

    async def scenario(carried, leader):
        commands = wire.Commands(SESSION, acknowledge=(FIRST, SECOND), term=7)
        carried.command(commands)
        await anyio.sleep(0.5)

    leader = play(target, scenario)
    assert target.glances[-1].acknowledged == 58
    ended = [one.attempt for one in leader.reports('ended')]
    assert ended == [FIRST, SECOND]


def test_end_is_not_acknowledged_before_those_that_came_earlier():
    target = FakeTarget()
    target.ended = [
        target_client.EndedAttempt(1, FIRST, job.EndReason.COMPLETED, ''),
        target_client.EndedAttempt(2, SECOND, job.EndReason.COMPLETED, ''),
    ]

    async def scenario(carried, leader):
        carried.command(wire.Commands(SESSION, acknowledge=(SECOND,), term=7))
        await anyio.sleep(0.5)

    play(target, scenario)
    assert target.glances[-1].acknowledged == 0


def test_a_fenced_entry_looks_no_more():
    target = FakeTarget()
    looks = []

    async def refuse(destination, glance):
        looks.append(glance)
        return target_client.CallResult.FENCED

    async def scenario(carried, leader):
        target.poll = refuse
        await anyio.sleep(1.5)

    play(target, scenario)
    assert len(looks) == 1


def test_start_carries_a_lease_that_ends_before_the_leader_counts():
    target = FakeTarget()
    asked_at = []

    async def scenario(carried, leader):
        asked_at.append(clock.monotonic_ms())
        carried.command(wire.Commands(SESSION, start=(command(FIRST),), term=7))
        await anyio.sleep(0.05)

    leader = play(target, scenario)
    attempt, until, term = only(target.starts)
    assert (attempt, term) == (FIRST, 7)
    # The clock of the fake is the own one, so the lease can be compared.
    assert asked_at[0] < until <= asked_at[0] + assignment().lease_ms
    assert [one.attempt for one in leader.reports('started')] == [FIRST]


def test_start_waits_for_a_lease():
    target = FakeTarget()
    leader = FakeLeader()
    sessions = session.Sessions(leader)
    lines = journal.Journal(journal.Origin('e', 'd'))

    async def run():
        carried = polled.PolledSession(
            assignment(), target, leader, sessions, lines
        )
        async with anyio.create_task_group() as group:
            group.start_soon(carried.run)
            await anyio.sleep(0.01)
            carried.command(
                wire.Commands(SESSION, start=(command(FIRST),), term=7)
            )
            await anyio.sleep(0.05)
            assert not target.starts
            carried.renew(clock.monotonic_ms())
            await anyio.sleep(0.05)
            assert target.starts
            carried.end()

    anyio.run(run)


@pytest.mark.parametrize(
    ('answer', 'reason'),
    [
        (target_client.CallResult.NO_CAPACITY, job.EndReason.NEVER_STARTED),
        (target_client.CallResult.NO_TICKET, job.EndReason.NEVER_STARTED),
        (target_client.CallResult.UNHEALTHY, job.EndReason.REFUSED),
    ],
)
def test_refused_start_is_barred_before_it_counts_as_not_started(
    answer, reason
):
    target = FakeTarget()
    target.answer = answer

    async def scenario(carried, leader):
        carried.command(wire.Commands(SESSION, start=(command(FIRST),), term=7))
        with anyio.fail_after(5):
            while not leader.reports('ended'):
                await anyio.sleep(0.01)
        await anyio.sleep(0.05)

    leader = play(target, scenario)
    assert target.stops == [FIRST]
    ended = only(leader.reports('ended'))
    assert ended.reason is reason
    assert ended.detail == answer.value


def test_stopped_attempt_that_still_runs_is_not_reported_as_ended():
    target = FakeTarget()
    target.running = [target_client.RunningAttempt(FIRST, '', 0)]

    async def scenario(carried, leader):
        carried.command(
            wire.Commands(
                SESSION,
                stop=(wire.StopCommand(FIRST, is_checkpointed=False),),
                term=7,
            )
        )
        await anyio.sleep(0.1)

    leader = play(target, scenario)
    assert target.stops == [FIRST]
    assert not leader.reports('ended')


def test_start_without_an_answer_is_given_again_at_once():
    target = FakeTarget()
    target.answer = target_client.CallResult.NO_REPLY

    async def scenario(carried, leader):
        carried.command(wire.Commands(SESSION, start=(command(FIRST),), term=7))
        await anyio.sleep(0.05)

    play(target, scenario)
    assert len(target.starts) > 1


def test_unanswered_start_is_found_by_a_look():
    target = FakeTarget()
    target.answer = target_client.CallResult.NO_REPLY

    async def scenario(carried, leader):
        carried.command(wire.Commands(SESSION, start=(command(FIRST),), term=7))
        await anyio.sleep(0.02)
        assert not leader.reports('started')
        target.running = [target_client.RunningAttempt(FIRST, '', 0)]
        await anyio.sleep(0.1)

    leader = play(target, scenario)
    assert [one.attempt for one in leader.reports('started')] == [FIRST]


def test_look_at_another_life_tells_nothing():
    target = FakeTarget()
    target.born_at = BORN + 1
    target.ended = [
        target_client.EndedAttempt(1, FIRST, job.EndReason.FAILED, '')
    ]

    async def scenario(carried, leader):
        await anyio.sleep(0.05)

    leader = play(target, scenario)
    assert not leader.reports('ended')


def test_commands_of_an_earlier_term_are_ignored():
    target = FakeTarget()

    async def scenario(carried, leader):
        carried.command(wire.Commands(SESSION, start=(command(FIRST),), term=6))
        await anyio.sleep(0.05)

    play(target, scenario)
    assert not target.starts


def test_filler_is_slowed_beside_a_task_over_its_latency_target():
    target = FakeTarget()
    target.running = [
        target_client.RunningAttempt(FIRST, '', 250),
        target_client.RunningAttempt(SECOND, '', 900),
    ]

    async def scenario(carried, leader):
        await anyio.sleep(0.05)

    play(
        target,
        scenario,
        shares=(
            wire.Share(FIRST, 200, is_filler=False),
            wire.Share(SECOND, 0, is_filler=True),
        ),
    )
    assert target.paces == [(SECOND, 0)]


def test_filler_of_an_earlier_entry_is_told_its_share_until_it_answers():
    target = FakeTarget()
    target.running = [target_client.RunningAttempt(FIRST, '', 0)]
    answers = iter(
        (target_client.CallResult.NO_REPLY, target_client.CallResult.DONE)
    )

    async def pace(destination, attempt, percent, term):
        target.paces.append((attempt, percent))
        return next(answers)

    async def scenario(carried, leader):
        await anyio.sleep(0.1)

    target.pace = pace
    play(target, scenario, shares=(wire.Share(FIRST, 0, is_filler=True),))
    assert target.paces == [(FIRST, 100), (FIRST, 100)]


def test_what_a_lost_leader_may_not_have_kept_is_told_to_the_next():
    target = FakeTarget()
    target.running = [target_client.RunningAttempt(FIRST, 'saved', 0)]
    target.ended = [
        target_client.EndedAttempt(1, SECOND, job.EndReason.COMPLETED, '')
    ]

    async def scenario(carried, leader):
        await anyio.sleep(0.05)
        told = len(leader.reports('started'))
        carried.update_assignment(assignment(term=8))
        carried.command(wire.Commands(SESSION, term=7, start=(command(FIRST),)))
        await anyio.sleep(1.1)
        assert len(leader.reports('started')) == told + 1

    leader = play(target, scenario)
    assert [one.attempt for one in leader.reports('saved')] == [FIRST, FIRST]
    assert {one.attempt for one in leader.reports('ended')} == {SECOND}
    assert {one.term for one in target.glances} == {7, 8}
    assert not target.starts


def test_an_entry_tells_which_targets_it_calls():
    async def scenario(carried, leader):
        assert leader.target_handlers.list_polled() == (SESSION,)
        carried.end()
        assert not leader.target_handlers.list_polled()

    play(FakeTarget(), scenario)


def test_checkpoints_are_reported_when_they_change():
    target = FakeTarget()
    target.running = [target_client.RunningAttempt(FIRST, 'a', 0)]

    async def scenario(carried, leader):
        await anyio.sleep(0.05)
        target.running = [target_client.RunningAttempt(FIRST, 'b', 0)]
        await anyio.sleep(0.05)

    leader = play(target, scenario)
    assert leader.reports('saved') == [
        event.AttemptCheckpoint(FIRST, 'a'),
        event.AttemptCheckpoint(FIRST, 'b'),
    ]


def play_targets(target, scenario):
    """Run what an entry calls while the scenario acts; return its lines."""
    leader = FakeLeader()
    sessions = session.Sessions(leader)
    lines = journal.Journal(journal.Origin('e', 'd'))

    async def run():
        targets = polled.PolledTargets(target, leader, sessions, lines)
        async with anyio.create_task_group() as group:
            group.start_soon(targets.run)
            await anyio.sleep(0.01)
            await scenario(targets, leader, sessions)
            group.cancel_scope.cancel()

    anyio.run(run)
    return lines


@pytest.mark.parametrize('fault', [OverflowError, ValueError, RecursionError])
def test_target_whose_answers_raise_ends_no_session_but_its_own(fault):
    good = FakeTarget()

    async def scenario(targets, leader, sessions):
        targets.assign(assignment())
        odd = {'session': identity.SessionId('s2'), 'target': 'odd'}
        targets.assign(msgspec.structs.replace(assignment(), **odd))
        await anyio.sleep(0.05)
        looks = len(good.glances)
        sessions.open[SESSION].renew(clock.monotonic_ms())
        await anyio.sleep(0.05)
        assert len(good.glances) > looks
        assert set(sessions.open) == {SESSION}

    lines = play_targets(PartlyFailingTarget(good, fault), scenario)
    assert lines.find(journal.Filter(target='odd'))


def test_order_for_a_session_that_has_failed_raises_nothing():
    leader = FakeLeader()
    lines = journal.Journal(journal.Origin('e', 'd'))
    target = FakeTarget()

    async def fail(destination, glance):
        raise ValueError

    async def run():
        target.poll = fail
        carried = polled.PolledSession(
            assignment(), target, leader, session.Sessions(leader), lines
        )
        with pytest.raises(ExceptionGroup):
            await carried.run()
        carried.command(wire.Commands(SESSION, start=(command(FIRST),), term=7))

    anyio.run(run)
    assert not target.starts


def test_orders_that_come_with_an_assignment_are_carried_out():
    target = FakeTarget()

    async def scenario(targets, leader, sessions):
        # The leader sends both at once: they arrive in one batch.
        targets.assign(assignment())
        stop = wire.StopCommand(FIRST, is_checkpointed=False)
        leader.target_handlers.command(
            wire.Commands(SESSION, stop=(stop,), term=7)
        )
        await anyio.sleep(0.1)

    play_targets(target, scenario)
    assert target.stops == [FIRST]


def test_a_target_that_is_taken_back_at_once_is_not_looked_at():
    target = FakeTarget()

    async def scenario(targets, leader, sessions):
        targets.assign(assignment())
        leader.target_handlers.end(wire.Gone((SESSION,)))
        await anyio.sleep(0.1)

    play_targets(target, scenario)
    assert not target.glances
