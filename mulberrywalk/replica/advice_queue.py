"""The queue of requests to the adviser, distributed over the entries.

The adviser serves one call at a time for each calling instance, so each entry
has at most one open request, and the most urgent request is sent first.
Otherwise, many slow requests of queues with low urgency at once would delay
the fast ones of urgent queues.
"""

from __future__ import annotations

import dataclasses

from ..core import effect, identity, job
from ..telemetry import clock
from ..transport import wire
from . import link

# One in this many entries is reserved for the most urgent requests.
_ENTRIES_PER_RESERVED = 3
# For how long an entry that left a request unanswered is used after others.
_AVOID_MS = 10_000
# Grace period after the expected duration of a request, before it is dropped
# and its entry is free again.
_GRACE_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class OpenRequest:
    """A request sent to an entry, and the deadline of its answer."""

    wanted: effect.AskAdvice
    entry: link.Link
    deadline: int


class AdviceQueue:
    """The waiting and open requests while this replica leads."""

    def __init__(self, links: link.Links) -> None:
        """Start with no requests."""
        self._links = links
        self._waiting: dict[identity.StepId, effect.AskAdvice] = {}
        self._open: dict[identity.StepId, OpenRequest] = {}
        # Until when entries that left a request unanswered are used last.
        self._avoided_until: dict[str, int] = {}

    def add(self, wanted: effect.AskAdvice) -> None:
        """Queue a request until an entry is free for it."""
        asked = self._open.get(wanted.step)
        if asked is None or asked.deadline <= clock.monotonic_ms():
            self._waiting[wanted.step] = wanted
        self.send_waiting()

    def complete(
        self, step: identity.StepId, *, has_failed: bool = False
    ) -> None:
        """Remove an answered or failed request; its entry is free again."""
        completed = self._open.pop(step, None)
        if completed is not None and has_failed:
            self._avoid(completed.entry, clock.monotonic_ms())
        elif completed is not None:
            self._avoided_until.pop(completed.entry.process, None)
        self.send_waiting()

    def send_waiting(self) -> None:
        """Send waiting requests to free entries, the most urgent first.

        Equally urgent ones are sent in their order, then as they were added.
        """
        now = clock.monotonic_ms()
        self._remove_expired(now)
        ordered = sorted(
            self._waiting.values(),
            key=lambda waiting: (job.rank(waiting.urgency), waiting.order),
        )
        for wanted in ordered:
            entry = self._choose_entry(wanted, now)
            if entry is not None:
                self._send(wanted, entry, now)

    def _send(
        self, wanted: effect.AskAdvice, entry: link.Link, now: int
    ) -> None:
        self._waiting.pop(wanted.step)
        deadline = now + wanted.expected_ms + _GRACE_MS
        self._open[wanted.step] = OpenRequest(wanted, entry, deadline)
        entry.send(wire.AdviceRequest(wanted.step, wanted.targets))

    def _choose_entry(
        self, wanted: effect.AskAdvice, now: int
    ) -> link.Link | None:
        entries = [
            candidate
            for candidate in self._links.open.values()
            if not candidate.is_stopping
        ]
        busy = {asked.entry.process for asked in self._open.values()}
        free = [
            candidate for candidate in entries if candidate.process not in busy
        ]
        reserved = (
            len(entries) // _ENTRIES_PER_RESERVED
            if job.rank(wanted.urgency)
            else 0
        )
        if len(free) <= reserved:
            return None
        return min(
            free,
            key=lambda candidate: (
                self._avoided_until.get(candidate.process, 0) > now,
                candidate.process,
            ),
        )

    def _remove_expired(self, now: int) -> None:
        """Drop requests past their deadline; requeue those of closed links."""
        lost = {
            step: asked.wanted
            for step, asked in self._open.items()
            if not self._is_linked(asked.entry)
        }
        self._waiting = {**self._waiting, **lost}
        for unanswered in self._open.values():
            if unanswered.deadline <= now:
                self._avoid(unanswered.entry, now)
        self._open = {
            step: asked
            for step, asked in self._open.items()
            if asked.deadline > now and self._is_linked(asked.entry)
        }

    def _avoid(self, entry: link.Link, now: int) -> None:
        """Use an entry after others; it may not reach the adviser."""
        self._avoided_until[entry.process] = now + _AVOID_MS

    def _is_linked(self, entry: link.Link) -> bool:
        # A request is lost with its link, even if the entry links again.
        return self._links.open.get(entry.process) is entry
