"""Leases are renewed by the first leader after an absence of all leaders.

A target that answers while there is no leader must not wait for a second answer
after the next leader has linked: its lease may run out before.
"""

import pytest

from ..telemetry import clock, journal
from ..transport import wire
from . import session


class FakeLeader:
    """The stream to the leader; records what is sent while it is open."""

    def __init__(self):
        self.target_handlers = None
        self.link_count = 1
        self.is_open = True
        self.sent = []

    def send_batch(self):
        if self.is_open:
            self.sent.extend(self.target_handlers.take_renewals())

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
def sessions(leader, now):
    return session.Sessions(leader, journal.Journal(journal.Origin('e', 'd')))


def send_renewals(leader, now):
    """Let the leader's stream send a batch, 100 ms later."""
    now[0] += 100
    leader.send_batch()


def test_request_without_a_leader_is_sent_to_the_next(sessions, leader, now):
    leader.close()
    sessions.request_renewal('s1', 900)
    send_renewals(leader, now)
    assert not leader.sent
    leader.link()
    send_renewals(leader, now)
    send_renewals(leader, now)
    assert leader.sent == [wire.Renewals((('s1', 900),))]


def test_answered_request_is_not_sent_to_the_next_leader(sessions, leader, now):
    sessions.request_renewal('s1', 900)
    sessions.request_renewal('s2', 901)
    send_renewals(leader, now)
    leader.target_handlers.renew(wire.RenewedSessions((('s1', 900),)))
    leader.target_handlers.end(wire.EndedSessions(('s2',)))
    leader.link()
    send_renewals(leader, now)
    assert leader.sent == [wire.Renewals((('s1', 900), ('s2', 901)))]


def test_answer_to_an_earlier_request_keeps_the_later(sessions, leader, now):
    sessions.request_renewal('s1', 900)
    send_renewals(leader, now)
    sessions.request_renewal('s1', 950)
    leader.target_handlers.renew(wire.RenewedSessions((('s1', 900),)))
    leader.link()
    send_renewals(leader, now)
    assert leader.sent[-1] == wire.Renewals((('s1', 950),))


def test_request_of_a_target_that_fell_silent_is_dropped(sessions, leader, now):
    leader.close()
    sessions.request_renewal('s1', 900)
    now[0] += 1001
    leader.link()
    send_renewals(leader, now)
    assert not leader.sent


def test_stop_for_a_session_of_another_entry_is_logged():
    event_log = journal.Journal(journal.Origin('e', 'd'))
    leader = FakeLeader()
    session.Sessions(leader, event_log)
    stop = wire.StopCommand('j.0.0.0/1', is_checkpointed=False)
    leader.target_handlers.command(wire.Commands('s9', stop=(stop,), term=3))
    line = event_log.find(journal.Filter(job='j'))[0]
    assert line.what == 'command dropped'
    assert line.detail == 'stop: session s9 is not open here'
