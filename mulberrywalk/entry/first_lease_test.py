"""A target is polled again once the leader has granted its first lease."""

import anyio

from ..telemetry import clock, journal
from . import polled, polled_test, session


def test_target_without_a_lease_is_not_polled_without_pause():
    target = polled_test.FakeTarget()
    leader = polled_test.FakeLeader()
    sessions = session.Sessions(
        leader, journal.Journal(journal.Origin('e', 'd'))
    )
    event_log = journal.Journal(journal.Origin('e', 'd'))

    async def run():
        polled_session = polled.PolledSession(
            polled_test.assignment(), target, leader, sessions, event_log
        )
        async with anyio.create_task_group() as group:
            group.start_soon(polled_session.run)
            await anyio.sleep(0.1)
            polls = len(target.poll_requests)
            polled_session.renew(clock.monotonic_ms())
            with anyio.fail_after(1):
                while len(target.poll_requests) < 2:
                    await anyio.sleep(0)
            polled_session.end()
        return polls

    assert anyio.run(run) == 1
