"""What an entry tells of calls that no leader has answered."""

import pytest

from ..core import identity
from ..transport import wire
from . import pending

ASKED = wire.GetState(identity.JobId('j1'))


@pytest.fixture
def calls():
    return pending.PendingCalls()


def test_a_call_that_never_left_is_refused_with_when_to_return(calls):
    with calls.open(ASKED) as call:
        told = call.reply_or_refusal()
    assert told['reason'] == 'not_ready'
    assert told['retry_after_ms'] > 0


def test_a_call_that_left_may_have_been_taken(calls):
    with calls.open(ASKED) as call:
        assert calls.mark_sent(call.message)
        assert call.reply_or_refusal() is None


def test_a_call_that_was_given_up_is_not_sent_later(calls):
    with calls.open(ASKED) as call:
        message = call.message
    assert not calls.mark_sent(message)


def test_a_new_leader_is_asked_what_waits(calls):
    with calls.open(ASKED), calls.open(ASKED) as second:
        calls.complete(wire.Reply(second.message.ticket, {'outcome': 'job'}))
        assert second.done.is_set()
        assert second.reply_or_refusal() == {'outcome': 'job'}
        assert len(calls.unanswered()) == 2
    assert not calls.unanswered()
