"""Questions to the adviser, spread over the entries that may ask.

An adviser serves each asking instance one call at a time, so an entry is
given one question at a time, and the most urgent is asked first. The load that
this answers: many slow questions of patient queues at once, behind which the
quick ones of urgent queues would stand.
"""

from __future__ import annotations

import dataclasses

from ..core import effect, identity, job
from ..telemetry import clock
from ..transport import wire
from . import link

# Of so many entries, one is kept for the most urgent questions.
_ONE_KEPT_OF = 3
# An entry that has not answered by then is given the next question.
_PATIENCE_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class OpenRequest:
    """An open question: who asks it, and until when it is waited for."""

    wanted: effect.AskAdvice
    entry: link.Link
    until: int


class AdviceQueue:
    """The open questions while this replica leads."""

    def __init__(self, links: link.Links) -> None:
        """Start without questions."""
        self._links = links
        self._waiting: dict[identity.StepId, effect.AskAdvice] = {}
        self._open: dict[identity.StepId, OpenRequest] = {}

    def add(self, wanted: effect.AskAdvice) -> None:
        """Ask a question as soon as an entry is free for it."""
        if wanted.step not in self._open:
            self._waiting[wanted.step] = wanted
        self.send_waiting()

    def complete(self, step: identity.StepId) -> None:
        """Forget a question that was answered; its entry is free again."""
        self._open.pop(step, None)
        self.send_waiting()

    def send_waiting(self) -> None:
        """Ask what waits, the most urgent first."""
        now = clock.monotonic_ms()
        self._forget(now)
        ordered = sorted(
            self._waiting.values(), key=lambda one: job.rank(one.urgency)
        )
        for wanted in ordered:
            chosen = self._choose(wanted)
            if chosen is not None:
                self._send(wanted, chosen, now)

    def _send(
        self, wanted: effect.AskAdvice, chosen: link.Link, now: int
    ) -> None:
        self._waiting.pop(wanted.step)
        until = now + wanted.expected_ms + _PATIENCE_MS
        self._open[wanted.step] = OpenRequest(wanted, chosen, until)
        chosen.send(wire.AdviceRequest(wanted.step, wanted.targets))

    def _choose(self, wanted: effect.AskAdvice) -> link.Link | None:
        entries = [
            one for one in self._links.open.values() if not one.is_stopping
        ]
        busy = {asked.entry.process for asked in self._open.values()}
        free = [one for one in entries if one.process not in busy]
        kept = len(entries) // _ONE_KEPT_OF if job.rank(wanted.urgency) else 0
        if len(free) <= kept:
            return None
        return min(free, key=lambda one: one.process)

    def _forget(self, now: int) -> None:
        """Give up what was not answered; ask again what an entry lost."""
        lost = {
            step: asked.wanted
            for step, asked in self._open.items()
            if not self._is_linked(asked.entry)
        }
        self._waiting = {**self._waiting, **lost}
        self._open = {
            step: asked
            for step, asked in self._open.items()
            if asked.until > now and self._is_linked(asked.entry)
        }

    def _is_linked(self, entry: link.Link) -> bool:
        # A question is lost with the link, even if a new one follows.
        return self._links.open.get(entry.process) is entry
