"""Proofs from deadlines never miss a start that may still be executed."""

import pytest

from ..core import identity
from . import start_deadline, target_client

FIRST = identity.AttemptId('j.0.0.0/1')
WINDOW_MS = start_deadline.START_WINDOW_MS
LEASE_MS = 5500
CLOCK_MS = 100_000


class Scene:
    """The deadlines of a target whose clock shows CLOCK_MS at time 0."""

    def __init__(self, *, is_first=True):
        self.lease = target_client.Lease(LEASE_MS)
        self.deadlines = start_deadline.StartDeadlines(self.lease)
        self.lease.granted_from = 0
        self.lease.is_held = True
        self.read_clock(0)
        self.deadlines.update_others(CLOCK_MS, is_first=is_first)

    def read_clock(self, now, clock_ms=None):
        shown = CLOCK_MS + now if clock_ms is None else clock_ms
        self.lease.sample_clock(shown, now)

    def send(self, now=0):
        self.deadlines.add_start(FIRST)
        return self.deadlines.next_deadline(FIRST, now)

    def expired(self, now):
        self.read_clock(now)
        return self.deadlines.find_expired()


def listing(*attempts, is_complete=True):
    running = tuple(
        target_client.RunningAttempt(attempt, '', 0) for attempt in attempts
    )
    return target_client.PollResult(
        CLOCK_MS, 1, running, (), is_complete=is_complete
    )


def test_start_expires_after_its_deadline_on_the_targets_clock():
    scene = Scene()
    assert scene.send() == CLOCK_MS + WINDOW_MS
    assert not scene.expired(WINDOW_MS)
    assert scene.expired(WINDOW_MS + 1) == {FIRST}


def test_slow_clock_is_not_taken_to_be_at_the_deadline():
    scene = Scene()
    deadline_ms = scene.send()
    scene.read_clock(WINDOW_MS + 20, deadline_ms)
    assert not scene.deadlines.find_expired()
    scene.read_clock(WINDOW_MS + 21, deadline_ms + 1)
    assert scene.deadlines.find_expired()


def test_deadline_is_within_the_granted_lease():
    scene = Scene()
    scene.lease.granted_from = WINDOW_MS - LEASE_MS - 500
    assert scene.send() <= CLOCK_MS + WINDOW_MS - 500


def test_earlier_starts_of_other_entries_may_run_until_their_lease_ends():
    scene = Scene(is_first=False)
    scene.send()
    assert not scene.expired(LEASE_MS * 102 // 100)
    assert scene.expired(LEASE_MS * 102 // 100 + 1) == {FIRST}


def test_new_assignment_starts_the_wait_for_other_entries_again():
    scene = Scene()
    scene.send()
    scene.deadlines.reset_others()
    assert not scene.expired(10 * LEASE_MS)
    scene.deadlines.update_others(CLOCK_MS + LEASE_MS, is_first=False)
    assert not scene.expired(2 * LEASE_MS)
    assert scene.expired(3 * LEASE_MS) == {FIRST}


def test_repeated_start_is_not_sent_past_the_first_deadline():
    scene = Scene()
    first = scene.send()
    assert scene.send(500) == first
    assert scene.send(WINDOW_MS) is None


def test_repeated_start_gets_a_later_deadline_if_the_proof_is_later_anyway():
    scene = Scene(is_first=False)
    first = scene.send()
    assert scene.send(1000) == first + 980
    assert not scene.expired(WINDOW_MS + 1)


def test_start_is_not_sent_before_the_target_holds_a_lease():
    scene = Scene()
    scene.lease.is_held = False
    assert scene.send() is None
    scene.lease.is_held = True
    assert scene.send(LEASE_MS - 299) is None
    assert scene.send() == CLOCK_MS + WINDOW_MS


def test_start_that_was_not_sent_never_expires():
    scene = Scene()
    scene.deadlines.add_start(FIRST)
    assert not scene.expired(10 * LEASE_MS)


def test_start_is_not_sent_after_the_attempt_has_ended():
    scene = Scene()
    scene.send()
    scene.deadlines.remove(FIRST)
    assert scene.deadlines.next_deadline(FIRST, 0) is None


def test_start_is_not_sent_after_its_stop_was_proved():
    scene = Scene()
    scene.deadlines.add_start(FIRST)
    scene.deadlines.add_stop(FIRST)
    assert scene.expired(1) == {FIRST}
    assert scene.deadlines.next_deadline(FIRST, 1) is None


def test_start_is_not_sent_again_after_its_expiry_was_reported():
    """The leader may have taken it for ended when it assigns anew."""
    scene = Scene()
    scene.send()
    assert scene.deadlines.take_absent(
        scene.expired(2 * WINDOW_MS), listing()
    ) == [FIRST]
    scene.deadlines.reset_others()
    assert scene.deadlines.next_deadline(FIRST, 2 * WINDOW_MS) is None
    scene.deadlines.add_start(FIRST)
    assert scene.deadlines.next_deadline(FIRST, 2 * WINDOW_MS) is None


def test_attempt_that_is_listed_is_not_absent():
    scene = Scene()
    scene.send()
    expired = scene.expired(2 * WINDOW_MS)
    assert not scene.deadlines.take_absent(expired, listing(FIRST))
    assert not scene.deadlines.find_expired()


def test_incomplete_listing_proves_nothing():
    scene = Scene()
    scene.send()
    expired = scene.expired(2 * WINDOW_MS)
    partial = listing(is_complete=False)
    assert not scene.deadlines.take_absent(expired, partial)
    assert scene.deadlines.take_absent(expired, listing()) == [FIRST]


def test_poll_sent_before_the_expiry_proves_nothing():
    scene = Scene()
    scene.send()
    before = scene.expired(WINDOW_MS)
    scene.read_clock(2 * WINDOW_MS)
    assert not scene.deadlines.take_absent(before, listing())


@pytest.mark.parametrize('repeat', ['add_start', 'add_stop'])
def test_proof_is_repeated_only_when_the_leader_asks_again(repeat):
    scene = Scene()
    scene.send()
    expired = scene.expired(2 * WINDOW_MS)
    assert scene.deadlines.take_absent(expired, listing()) == [FIRST]
    assert not scene.deadlines.find_expired()
    getattr(scene.deadlines, repeat)(FIRST)
    assert scene.deadlines.find_expired() == {FIRST}


def test_start_that_runs_after_its_proof_is_told_once():
    scene = Scene()
    scene.send()
    scene.deadlines.take_absent(scene.expired(2 * WINDOW_MS), listing())
    assert scene.deadlines.find_contradictions(listing(FIRST)) == [FIRST]
    assert not scene.deadlines.find_contradictions(listing(FIRST))


def test_wait_ends_when_the_first_start_expires():
    scene = Scene()
    assert scene.deadlines.wait_ms(0) is None
    scene.send()
    assert scene.deadlines.wait_ms(500) == WINDOW_MS - 490 + 20
    assert scene.deadlines.wait_ms(2 * WINDOW_MS) == 0


def test_start_that_waited_out_the_lease_is_not_sent():
    """A process that was paused finds its clock behind the lease's end."""
    scene = Scene()
    scene.deadlines.add_start(FIRST)
    assert scene.deadlines.next_deadline(FIRST, LEASE_MS + 1) is None
