"""Tests for calls that the leader has not answered."""

import pytest

from ..core import identity
from ..transport import wire
from . import pending

REQUEST = wire.GetState(identity.JobId('j1'))


@pytest.fixture
def calls():
    return pending.PendingCalls()


def test_unsent_call_is_refused_with_a_retry_delay(calls):
    with calls.open(REQUEST) as call:
        reply = call.reply_or_refusal()
    assert reply['reason'] == 'not_ready'
    assert reply['retry_after_ms'] > 0


def test_outcome_of_a_sent_call_is_unknown(calls):
    with calls.open(REQUEST) as call:
        assert calls.mark_sent(call.message)
        assert call.reply_or_refusal() is None


def test_abandoned_call_is_not_sent(calls):
    with calls.open(REQUEST) as call:
        message = call.message
    assert not calls.mark_sent(message)


def test_pending_calls_are_resent_to_a_new_leader(calls):
    with calls.open(REQUEST), calls.open(REQUEST) as second:
        calls.complete(wire.Reply(second.message.ticket, {'outcome': 'job'}))
        assert second.done.is_set()
        assert second.reply_or_refusal() == {'outcome': 'job'}
        assert len(calls.unanswered()) == 2
    assert not calls.unanswered()
