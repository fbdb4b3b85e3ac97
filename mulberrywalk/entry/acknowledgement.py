"""The ends that a target lists, and which of them it may forget."""

from __future__ import annotations

import itertools

from ..core import identity

_REPORT_AGAIN_MS = 1000


class EndTracker:
    """The listed ends of one life of a target, by their numbers.

    acknowledged is the number up to which the target may forget them.
    """

    def __init__(self) -> None:
        """Start with nothing listed."""
        self.acknowledged = 0
        self._numbers: dict[identity.AttemptId, int] = {}
        self._reported_at: dict[identity.AttemptId, int] = {}
        self._done: set[int] = set()

    def is_acknowledged(self) -> bool:
        """Return whether all ends that were listed are acknowledged."""
        return not self._numbers

    def skip_below(self, lowest: int) -> None:
        """Take note of the lowest number that is listed.

        Lower ones were forgotten when another entry acknowledged them.
        """
        self.acknowledged = max(self.acknowledged, lowest - 1)

    def track(self, attempt: identity.AttemptId, number: int, now: int) -> bool:
        """Take a listed end; return whether it is to be reported now.

        now is a monotonic time in milliseconds.
        """
        self._numbers[attempt] = number
        reported_at = self._reported_at.get(attempt)
        if reported_at is not None and now - reported_at < _REPORT_AGAIN_MS:
            return False
        self._reported_at[attempt] = now
        return True

    def reset_reports(self) -> None:
        """Let all that is listed be reported at the next look."""
        self._reported_at.clear()

    def acknowledge(self, attempts: tuple[identity.AttemptId, ...]) -> None:
        """Let ends be forgotten that are committed, in their order."""
        for attempt in attempts:
            self._reported_at.pop(attempt, None)
            number = self._numbers.pop(attempt, None)
            if number is not None:
                self._done.add(number)
        for following in itertools.count(self.acknowledged + 1):
            if following not in self._done:
                return
            self._done.discard(following)
            self.acknowledged = following
