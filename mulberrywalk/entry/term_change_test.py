"""Calls that are on their way while the leader changes."""

import anyio

from ..transport import wire
from . import lost_stop_test, polled_test, target_client


def test_fenced_poll_of_an_earlier_term_keeps_session():
    """The leader changed while the poll was on its way."""
    target = polled_test.FakeTarget()
    poll = target.poll

    async def refuse_earlier_term(destination, request):
        if request.term == 7:
            await anyio.sleep(0.1)
            return target_client.CallResult.FENCED
        return await poll(destination, request)

    async def scenario(polled_session, leader):
        target.poll = refuse_earlier_term
        with anyio.fail_after(5):
            while target.poll_requests:
                target.poll_requests.clear()
                await anyio.sleep(0.05)
        polled_session.update_assignment(polled_test.assignment(term=8))
        await anyio.sleep(0.4)
        polled_session.command(
            wire.Commands(
                polled_test.SESSION,
                stop=(
                    wire.StopCommand(polled_test.FIRST, is_checkpointed=False),
                ),
                term=8,
            )
        )
        await anyio.sleep(0.1)

    polled_test.run_session(target, scenario)
    assert target.stops == [polled_test.FIRST]


def test_stop_of_a_new_leader_is_sent_beside_a_fenced_earlier_one():
    """The stop of the earlier term is on its way when the leader changes."""
    target = polled_test.FakeTarget()

    async def stop(destination, attempt, term):
        target.stops.append(term)
        if term == 7:
            await anyio.sleep(0.2)
            return target_client.CallResult.FENCED
        return target_client.CallResult.DONE

    async def scenario(polled_session, leader):
        target.stop = stop
        lost_stop_test.stop(polled_session, term=7)
        await lost_stop_test.wait_for_stops(target, 1)
        polled_session.update_assignment(polled_test.assignment(term=8))
        lost_stop_test.stop(polled_session, term=8)
        await anyio.sleep(1.2)

    polled_test.run_session(target, scenario)
    assert 8 in target.stops
