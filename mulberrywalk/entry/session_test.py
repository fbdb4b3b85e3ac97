"""Leases are renewed by the first leader after an absence of all leaders.

A target that answers while there is no leader must not wait for a second answer
after the next leader has linked: its lease may run out before.
"""

import anyio
import pytest

from ..telemetry import clock
from ..transport import wire
from . import session

INTERVAL_S = 0.002


class FakeLeader:
    """The stream to the leader; records what is sent while it is open."""

    def __init__(self):
        self.target_handlers = None
        self.link_count = 1
        self.is_open = True
        self.sent = []

    def send(self, message):
        if self.is_open:
            self.sent.append(message)

    def close(self):
        self.is_open = False

    def link(self):
        self.is_open = True
        self.link_count += 1


@pytest.fixture
def now(monkeypatch):
    """Return the time in a list, which a test advances."""
    current = [1000]
    monkeypatch.setattr(clock, 'monotonic_ms', lambda: current[0])
    return current


@pytest.fixture
def leader():
    return FakeLeader()


@pytest.fixture
def sessions(leader, now, monkeypatch):
    monkeypatch.setattr(session, '_RENEWAL_INTERVAL_S', INTERVAL_S)
    return session.Sessions(leader)


def send_renewals(sessions, now):
    """Let the session send batches for a while, 100 ms later."""
    now[0] += 100

    async def run():
        with anyio.move_on_after(20 * INTERVAL_S):
            await sessions.send_renewals()

    anyio.run(run)


def test_request_without_a_leader_is_sent_to_the_next(sessions, leader, now):
    leader.close()
    sessions.request_renewal('s1', 900)
    send_renewals(sessions, now)
    assert not leader.sent
    leader.link()
    send_renewals(sessions, now)
    send_renewals(sessions, now)
    assert leader.sent == [wire.Renewals((('s1', 900),))]


def test_answered_request_is_not_sent_to_the_next_leader(sessions, leader, now):
    sessions.request_renewal('s1', 900)
    sessions.request_renewal('s2', 901)
    send_renewals(sessions, now)
    leader.target_handlers.renew(wire.RenewedSessions((('s1', 900),)))
    leader.target_handlers.end(wire.EndedSessions(('s2',)))
    leader.link()
    send_renewals(sessions, now)
    assert leader.sent == [wire.Renewals((('s1', 900), ('s2', 901)))]


def test_answer_to_an_earlier_request_keeps_the_later(sessions, leader, now):
    sessions.request_renewal('s1', 900)
    send_renewals(sessions, now)
    sessions.request_renewal('s1', 950)
    leader.target_handlers.renew(wire.RenewedSessions((('s1', 900),)))
    leader.link()
    send_renewals(sessions, now)
    assert leader.sent[-1] == wire.Renewals((('s1', 950),))


def test_request_of_a_target_that_fell_silent_is_dropped(sessions, leader, now):
    leader.close()
    sessions.request_renewal('s1', 900)
    now[0] += 1001
    leader.link()
    send_renewals(sessions, now)
    assert not leader.sent
