"""Events on their way through the log, and who is told their outcomes."""

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
    """An event as it stands in the log, and who is told its outcome."""

    encoded: msgspec.Raw
    callback: OutcomeCallback


def ignore_outcome(told: outcome.Outcome | None) -> None:
    """Take an outcome that nobody waits for."""


class Proposals:
    """The events that wait for the log, and those that stand in it."""

    def __init__(self) -> None:
        """Start without events."""
        self._waiting: list[Proposal] = []
        self._pending: dict[int, list[Proposal]] = {}

    def add(self, encoded: msgspec.Raw, callback: OutcomeCallback) -> None:
        """Let an event wait for the log."""
        self._waiting.append(Proposal(encoded, callback))

    def count_waiting(self) -> int:
        """Return how many events wait for the log."""
        return len(self._waiting)

    def take_batch(self, index: int) -> list[msgspec.Raw]:
        """Return the next events, which are to stand in the entry of index."""
        batch = self._waiting[:MAX_BATCH_EVENTS]
        self._waiting = self._waiting[MAX_BATCH_EVENTS:]
        self._pending[index] = batch
        return [proposal.encoded for proposal in batch]

    def resolve(self, index: int, outcomes: Iterable[outcome.Outcome]) -> None:
        """Tell the outcomes of an entry that was applied.

        The entry may hold more events than were proposed.
        """
        settled = self._pending.pop(index, [])
        for proposal, told in zip(settled, outcomes, strict=False):
            proposal.callback(told)

    def abandon_all(self) -> None:
        """Tell that nobody knows what becomes of all that was proposed.

        Another leader may yet commit it.
        """
        pending = itertools.chain.from_iterable(self._pending.values())
        abandoned = [*pending, *self._waiting]
        self._pending.clear()
        self._waiting.clear()
        for proposal in abandoned:
            proposal.callback(None)
