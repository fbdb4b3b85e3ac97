"""Questions to the adviser, spread over the entries that may ask.

An adviser serves each asking instance one call at a time, so each question
goes to the entry whose open ones end first.
"""

from __future__ import annotations

import dataclasses

from ..core import effect, identity
from ..telemetry import clock
from ..transport import wire
from . import link


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """An open question: who asks it, and when it should be answered."""

    entry: str
    until: int


class Questions:
    """The open questions while this replica leads."""

    def __init__(self, links: link.Links) -> None:
        """Start without questions."""
        self._links = links
        self._open: dict[identity.StepId, Asked] = {}

    def ask(self, wanted: effect.AskAdvice) -> None:
        """Send a question; without an entry it is asked again later."""
        now = clock.monotonic_ms()
        self._forget(now)
        entries = [
            one for one in self._links.open.values() if not one.is_stopping
        ]
        chosen = min(
            entries,
            key=lambda one: (self._load(one.process, now), one.process),
            default=None,
        )
        if chosen is None:
            return
        until = now + self._load(chosen.process, now) + wanted.expected_ms
        self._open[wanted.step] = Asked(chosen.process, until)
        chosen.send(wire.AdviceWanted(wanted.step, wanted.targets))

    def close(self, step: identity.StepId) -> None:
        """Forget a question that was answered."""
        self._open.pop(step, None)

    def _load(self, entry: str, now: int) -> int:
        """Return for how long an entry is busy with open questions, in ms."""
        ends = (one.until for one in self._open.values() if one.entry == entry)
        return max((end - now for end in ends), default=0)

    def _forget(self, now: int) -> None:
        self._open = {
            step: asked
            for step, asked in self._open.items()
            if asked.until > now
        }
