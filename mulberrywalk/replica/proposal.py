"""Proposed events and the callbacks that receive their outcomes."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Callable, Iterable

import msgspec

from ..core import outcome

MAX_BATCH_EVENTS = 256

# Called with None when this replica cannot tell whether the event was
# committed.
OutcomeCallback = Callable[[outcome.Outcome | None], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """An encoded event and the callback that receives its outcome."""

    encoded: msgspec.Raw
    callback: OutcomeCallback


def ignore_outcome(event_outcome: outcome.Outcome | None) -> None:
    """Discard the outcome of an event that nobody waits for."""


class Proposals:
    """The events waiting to be proposed and those pending in the log."""

    def __init__(self) -> None:
        """Start with no events."""
        self._waiting: list[Proposal] = []
        self._pending: dict[int, list[Proposal]] = {}

    def add(self, encoded: msgspec.Raw, callback: OutcomeCallback) -> None:
        """Queue an event for the next batch."""
        self._waiting.append(Proposal(encoded, callback))

    def count_waiting(self) -> int:
        """Return the number of events waiting to be proposed."""
        return len(self._waiting)

    def take_batch(self, index: int) -> list[msgspec.Raw]:
        """Return the next events, to be stored in the log entry at index."""
        batch = self._waiting[:MAX_BATCH_EVENTS]
        self._waiting = self._waiting[MAX_BATCH_EVENTS:]
        self._pending[index] = batch
        return [proposal.encoded for proposal in batch]

    def resolve(self, index: int, outcomes: Iterable[outcome.Outcome]) -> None:
        """Pass the outcomes of an applied entry to the callbacks.

        The entry may contain further events, after the proposed ones.
        """
        resolved = self._pending.pop(index, [])
        for proposal, event_outcome in zip(resolved, outcomes, strict=False):
            proposal.callback(event_outcome)

    def abandon_all(self) -> None:
        """Report an unknown outcome for every waiting and pending event.

        Another leader may still commit the pending ones.
        """
        pending = itertools.chain.from_iterable(self._pending.values())
        abandoned = [*pending, *self._waiting]
        self._pending.clear()
        self._waiting.clear()
        for proposal in abandoned:
            proposal.callback(None)
