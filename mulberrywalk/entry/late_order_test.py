"""Orders to a target that are executed late, twice or not at all."""

import anyio

from ..core import identity, job
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


async def wait_for_ends(leader):
    with anyio.fail_after(5):
        while not leader.reports('ended'):
            await anyio.sleep(0.01)


def test_second_copy_of_a_start_does_not_hide_the_end_of_its_run():
    target = polled_test.FakeTarget()
    target.start_result = target_client.CallResult.BARRED
    target.ended = [
        target_client.EndedAttempt(
            1, polled_test.FIRST, job.EndReason.COMPLETED, ''
        )
    ]

    async def scenario(polled_session, leader):
        polled_test.send_start(polled_session)
        await wait_for_ends(leader)
        await anyio.sleep(0.1)

    leader = polled_test.run_session(target, scenario, is_first=True)
    ended = polled_test.single(leader.reports('ended'))
    assert ended.reason is job.EndReason.COMPLETED


def test_late_stop_of_an_earlier_run_does_not_end_the_newer_one():
    target = polled_test.FakeTarget()
    newer = identity.AttemptId('j.0.0.0/2')
    target.running = [target_client.RunningAttempt(newer, '', 0)]

    async def scenario(polled_session, leader):
        stop = wire.StopCommand(polled_test.FIRST, is_checkpointed=False)
        polled_session.command(
            wire.Commands(polled_test.SESSION, stop=(stop,), term=7)
        )
        await wait_for_ends(leader)
        await anyio.sleep(0.1)

    leader = polled_test.run_session(target, scenario, is_first=True)
    assert target.stops == [polled_test.FIRST]
    assert {one.attempt for one in leader.reports('ended')} == {
        polled_test.FIRST
    }
    assert [one.attempt for one in leader.reports('started')] == [newer]


def test_polls_without_replies_do_not_extend_the_lease():
    target = polled_test.FakeTarget()
    sent = []

    async def lose_reply(destination, request):
        sent.append(request.lease_until_ms)
        return target_client.CallResult.NO_REPLY

    async def scenario(polled_session, leader):
        polled_test.send_start(polled_session)
        await polled_test.wait_for_starts(target)
        target.poll = lose_reply
        await anyio.sleep(1.3)

    polled_test.run_session(target, scenario, is_first=True)
    assert len(sent) > 1
    assert len(set(sent)) == 1
