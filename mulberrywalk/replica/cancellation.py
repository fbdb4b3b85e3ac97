"""Cancels that wait for their answer until nothing of the job runs any more.

A caller takes an answered cancel as done. Between the decision and the stop of
the last attempt the leader may be lost; unanswered, the cancel is then repeated
at the next one, which answers once the stops have taken effect.
"""

from __future__ import annotations

import dataclasses

from ..core import identity
from . import link

# A cancel is answered after this time whatever still runs: a target may be
# silent, and callers wait for some seconds only.
MAX_WAIT_MS = 1500


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingCancel:
    """A call of an entry; answer_at is in monotonic milliseconds."""

    job: identity.JobId
    origin: link.Link
    ticket: int
    answer_at: int


class WaitingCancels:
    """The cancels that are recorded and not answered yet."""

    def __init__(self) -> None:
        """Start with none."""
        self._waiting: dict[identity.JobId, list[WaitingCancel]] = {}

    def add(
        self, job: identity.JobId, origin: link.Link, ticket: int, now: int
    ) -> None:
        """Add a cancel that was recorded at the monotonic time now."""
        cancel = WaitingCancel(job, origin, ticket, now + MAX_WAIT_MS)
        self._waiting.setdefault(job, []).append(cancel)

    def take_ended(self, job: identity.JobId) -> list[WaitingCancel]:
        """Remove and return the cancels of a job that has ended."""
        return self._waiting.pop(job, [])

    def take_overdue(self, now: int) -> list[WaitingCancel]:
        """Remove and return the cancels that wait no longer."""
        overdue = [
            cancel
            for cancels in self._waiting.values()
            for cancel in cancels
            if cancel.answer_at <= now
        ]
        for cancel in overdue:
            remaining = self._waiting.pop(cancel.job)
            remaining.remove(cancel)
            if remaining:
                self._waiting[cancel.job] = remaining
        return overdue
