"""Deadlines of starts, which prove that an attempt can no longer start.

A target refuses a start that arrives after its deadline, a time on the target's
clock. Once the clock has passed the deadlines of all copies of a start, a poll
that shows the attempt neither as running nor as ended proves that it has not
started and cannot start, even if the target executes no stop.

Other entries may have sent copies too. They carry deadlines within a lease that
was granted before the target was assigned to this entry, and the leader accepts
the proof only from the entry that the target is assigned to.
"""

from __future__ import annotations

from ..core import identity
from . import target_client

# Longer than it takes to send a start three times, at 0.3 s each.
START_WINDOW_MS = 1500
# A start is sent only if at least this much of the lease remains.
_MIN_LEASE_MS = 300
# A start is sent only if at least this much time remains until its deadline.
_MIN_WINDOW_MS = 50
# Added to a wait, so that the clock has passed the deadline afterwards.
_WAIT_MARGIN_MS = 20
# Deadline of an attempt that was stopped before this entry sent its start.
_NOT_SENT = 0


class StartDeadlines:
    """The deadlines of the attempts that one target has not confirmed.

    Deadlines are milliseconds on the target's clock.
    """

    def __init__(self, lease: target_client.Lease) -> None:
        """Start without attempts; lease has the readings of the clock."""
        self._lease = lease
        # The latest deadline sent for each attempt, None before the first.
        self._deadlines: dict[identity.AttemptId, int | None] = {}
        self._reported: set[identity.AttemptId] = set()
        # Attempts whose start is not sent any more.
        self._stopped: set[identity.AttemptId] = set()
        # All attempts that were returned as absent.
        self._proved: set[identity.AttemptId] = set()
        # When the starts of other entries have expired, None if unknown.
        self._others_until: int | None = None

    def reset_others(self) -> None:
        """Handle a new assignment: other entries may have sent starts."""
        self._others_until = None

    def update_others(self, clock_ms: int, *, is_first: bool) -> None:
        """Handle the reading of a poll that was sent since the assignment.

        is_first tells that no other entry has had the session.
        """
        if self._others_until is None:
            others_ms = 0 if is_first else self._lease.longest_ms()
            self._others_until = clock_ms + others_ms

    def add_start(self, attempt: identity.AttemptId) -> None:
        """Track an attempt that the leader asks to start."""
        self._deadlines.setdefault(attempt, None)
        self._reported.discard(attempt)

    def add_stop(self, attempt: identity.AttemptId) -> None:
        """Track an attempt that the leader asks to stop.

        Its start is not sent again: it could arrive after the stop was lost.
        """
        self._stopped.add(attempt)
        sent = self._deadlines.get(attempt)
        self._deadlines[attempt] = _NOT_SENT if sent is None else sent
        self._reported.discard(attempt)

    def remove(self, attempt: identity.AttemptId) -> None:
        """Stop tracking an attempt that has started or ended."""
        self._deadlines.pop(attempt, None)
        self._stopped.discard(attempt)
        self._reported.discard(attempt)

    def next_deadline(
        self, attempt: identity.AttemptId, now: int
    ) -> int | None:
        """Return the deadline to send a start with, None if not to send it.

        A repeated start gets a later deadline only if that does not delay the
        proof that the attempt cannot start. Without a lease, the leader
        resends the start.
        """
        clock_ms = self._lease.clock_at(now)
        lease_until_ms = self._lease.expires_at()
        if clock_ms is None or lease_until_ms is None:
            return None
        if not self._may_send(attempt) or not self._has_lease(now):
            return None
        latest = min(clock_ms + START_WINDOW_MS, lease_until_ms)
        sent = self._deadlines[attempt]
        if sent is not None and self._others_until is not None:
            latest = min(latest, max(sent, self._others_until))
        if latest < clock_ms + _MIN_WINDOW_MS:
            return None
        self._deadlines[attempt] = max(latest, sent or 0)
        return latest

    def find_expired(self) -> frozenset[identity.AttemptId]:
        """Return the attempts whose starts have all expired.

        A poll that is sent afterwards shows whether they have started.
        """
        clock_ms = self._lease.clock_sample_ms
        if clock_ms is None:
            return frozenset()
        return frozenset(
            attempt
            for attempt in self._unreported()
            if (expires_at := self._expires_at(attempt)) is not None
            and expires_at < clock_ms
        )

    def take_absent(
        self,
        expired: frozenset[identity.AttemptId],
        poll_result: target_client.PollResult,
    ) -> list[identity.AttemptId]:
        """Return the expired attempts that a later poll does not show.

        Each is returned once, and again if the leader repeats a command for
        it. Attempts that the poll shows are no longer tracked.
        """
        for present in poll_result.attempts():
            self.remove(present)
        if not poll_result.is_complete:
            return []
        absent = sorted(expired.intersection(self._unreported()))
        self._reported.update(absent)
        self._proved.update(absent)
        return absent

    def find_contradictions(
        self, poll_result: target_client.PollResult
    ) -> list[identity.AttemptId]:
        """Return attempts that run although they could not start, once each."""
        running = {one.attempt for one in poll_result.running}
        found = sorted(self._proved & running)
        self._proved.difference_update(found)
        return found

    def wait_ms(self, now: int) -> int | None:
        """Return how long until the next attempt expires, None without one."""
        clock_ms = self._lease.clock_at(now)
        if clock_ms is None or not self._deadlines:
            return None
        expiries = map(self._expires_at, self._unreported())
        waits = [
            max(0, expires_at - clock_ms + _WAIT_MARGIN_MS)
            for expires_at in expiries
            if expires_at is not None
        ]
        return min(waits, default=None)

    def _may_send(self, attempt: identity.AttemptId) -> bool:
        """Return whether a start is wanted and not proved to have expired.

        The leader may have taken the proof, also if it assigns the target
        anew since.
        """
        is_over = attempt in self._stopped or attempt in self._proved
        return attempt in self._deadlines and not is_over

    def _has_lease(self, now: int) -> bool:
        lease = self._lease
        return lease.is_held and lease.remaining_ms(now) >= _MIN_LEASE_MS

    def _unreported(self) -> list[identity.AttemptId]:
        return [one for one in self._deadlines if one not in self._reported]

    def _expires_at(self, attempt: identity.AttemptId) -> int | None:
        """Return when all copies of a start expire, None if unknown."""
        sent = self._deadlines[attempt]
        if sent is None or self._others_until is None:
            return None
        return max(sent, self._others_until)
