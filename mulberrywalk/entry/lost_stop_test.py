"""Stops whose calls get no reply."""

import anyio
import pytest

from ..transport import wire
from . import polled_test, target_client


class UnansweringTarget(polled_test.FakeTarget):
    """Leaves some stops without a reply."""

    def __init__(self, unanswered, lost=target_client.CallResult.NO_REPLY):
        super().__init__()
        self.unanswered = unanswered
        self.lost = lost

    async def stop(self, destination, attempt, term):
        self.stops.append((attempt, term))
        if len(self.stops) <= self.unanswered:
            return self.lost
        return target_client.CallResult.DONE


def stop(polled_session, term=7):
    command = wire.StopCommand(polled_test.FIRST, is_checkpointed=False)
    polled_session.command(
        wire.Commands(polled_test.SESSION, stop=(command,), term=term)
    )


async def wait_for_stops(target, count):
    with anyio.fail_after(5):
        while len(target.stops) < count:
            await anyio.sleep(0.01)


@pytest.mark.parametrize(
    'lost',
    [target_client.CallResult.NO_REPLY, target_client.CallResult.UNHEALTHY],
)
def test_stop_is_repeated_until_the_target_has_handled_it(lost):
    target = UnansweringTarget(6, lost)

    async def scenario(polled_session, leader):
        stop(polled_session)
        await wait_for_stops(target, 7)
        await anyio.sleep(0.4)

    polled_test.run_session(target, scenario)
    assert len(target.stops) == 7


def test_resent_stop_adds_no_calls_beside_the_repeated_one():
    target = UnansweringTarget(1000)

    async def scenario(polled_session, leader):
        stop(polled_session)
        await wait_for_stops(target, 3)
        stop(polled_session)
        await anyio.sleep(0.05)

    polled_test.run_session(target, scenario)
    assert len(target.stops) == 3


def test_stop_is_repeated_under_the_term_of_a_new_leader():
    target = UnansweringTarget(4)

    async def scenario(polled_session, leader):
        stop(polled_session)
        await wait_for_stops(target, 3)
        polled_session.update_assignment(polled_test.assignment(term=8))
        await wait_for_stops(target, 5)

    polled_test.run_session(target, scenario)
    assert target.stops[-1] == (polled_test.FIRST, 8)


def test_stop_is_not_repeated_once_the_end_is_acknowledged():
    target = UnansweringTarget(1000)

    async def scenario(polled_session, leader):
        stop(polled_session)
        await wait_for_stops(target, 3)
        polled_session.command(
            wire.Commands(
                polled_test.SESSION, acknowledge=(polled_test.FIRST,), term=7
            )
        )
        await anyio.sleep(0.4)

    polled_test.run_session(target, scenario)
    assert len(target.stops) <= 4


def test_session_that_fails_once_is_followed_by_another_one():
    """Stops sent to the entry meanwhile would be dropped."""
    target = polled_test.FakeTarget()
    poll = target.poll
    failures = [KeyError()]

    async def fail_once(destination, request):
        if failures:
            raise failures.pop()
        return await poll(destination, request)

    async def scenario(targets, leader, sessions):
        target.poll = fail_once
        targets.assign(polled_test.assignment())
        with anyio.fail_after(5):
            while not target.poll_requests:
                await anyio.sleep(0.01)
        stop(sessions.open[polled_test.SESSION])
        await anyio.sleep(0.1)

    polled_test.run_targets(target, scenario)
    assert target.stops == [polled_test.FIRST]
