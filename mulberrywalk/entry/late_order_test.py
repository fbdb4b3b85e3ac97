"""Orders to a target that are executed late, twice or not at all."""

import anyio

from ..transport import wire
from . import polled_test, target_client


def test_start_is_not_sent_again_after_the_stop_of_its_attempt():
    target = polled_test.IgnoringTarget()
    sent = []

    async def start(destination, command, deadline_ms, term):
        sent.append('start')
        await anyio.sleep(0.1)
        return target_client.CallResult.NO_REPLY

    async def scenario(polled_session, leader):
        target.start = start
        polled_test.send_start(polled_session)
        with anyio.fail_after(5):
            while not sent:
                await anyio.sleep(0.001)
        stop = wire.StopCommand(polled_test.FIRST, is_checkpointed=False)
        polled_session.command(
            wire.Commands(polled_test.SESSION, stop=(stop,), term=7)
        )
        await anyio.sleep(0.5)

    polled_test.run_session(target, scenario)
    assert len(sent) == 1


def test_start_that_waits_for_a_lease_is_not_sent_after_its_stop():
    target = polled_test.IgnoringTarget()
    is_blocked = [True]
    poll = target.poll

    async def poll_when_open(destination, request):
        if is_blocked[0]:
            return target_client.CallResult.NO_REPLY
        return await poll(destination, request)

    async def scenario(polled_session, leader):
        polled_test.send_start(polled_session)
        stop = wire.StopCommand(polled_test.FIRST, is_checkpointed=False)
        polled_session.command(
            wire.Commands(polled_test.SESSION, stop=(stop,), term=7)
        )
        is_blocked[0] = False
        await anyio.sleep(0.8)

    target.poll = poll_when_open
    polled_test.run_session(target, scenario)
    assert not target.starts
