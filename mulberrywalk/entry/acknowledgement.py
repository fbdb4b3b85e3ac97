"""Tracks which attempt ends a target has listed and may discard."""

from __future__ import annotations

import itertools

from ..core import identity

_REPORT_INTERVAL_MS = 1000


class EndTracker:
    """The ends listed by one incarnation of a target, by sequence number.

    The target may discard all ends up to the number acknowledged.
    """

    def __init__(self) -> None:
        """Start with no listed ends."""
        self.acknowledged = 0
        self._numbers: dict[identity.AttemptId, int] = {}
        self._reported_at: dict[identity.AttemptId, int] = {}
        self._committed: set[int] = set()

    def is_acknowledged(self) -> bool:
        """Return whether every listed end is acknowledged."""
        return not self._numbers

    def skip_below(self, lowest: int) -> None:
        """Treat all ends below the lowest listed number as acknowledged.

        The target discarded them when another entry acknowledged them.
        """
        self.acknowledged = max(self.acknowledged, lowest - 1)

    def track(self, attempt: identity.AttemptId, number: int, now: int) -> bool:
        """Record a listed end; return whether to report it to the leader now.

        An unacknowledged end is reported again after _REPORT_INTERVAL_MS. now
        is a monotonic time in milliseconds.
        """
        self._numbers[attempt] = number
        reported_at = self._reported_at.get(attempt)
        if reported_at is not None and now - reported_at < _REPORT_INTERVAL_MS:
            return False
        self._reported_at[attempt] = now
        return True

    def reset_reports(self) -> None:
        """Report every listed end again after the next poll."""
        self._reported_at.clear()

    def acknowledge(self, attempts: tuple[identity.AttemptId, ...]) -> None:
        """Acknowledge committed ends.

        acknowledged advances only over consecutive numbers, so an end is not
        discarded before the ones that came earlier.
        """
        for attempt in attempts:
            self._reported_at.pop(attempt, None)
            number = self._numbers.pop(attempt, None)
            if number is not None:
                self._committed.add(number)
        for following in itertools.count(self.acknowledged + 1):
            if following not in self._committed:
                return
            self._committed.discard(following)
            self.acknowledged = following
