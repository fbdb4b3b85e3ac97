"""The fillers of one target, and what they were told about their pace."""

from __future__ import annotations

from collections.abc import Iterable

from ..core import identity
from ..transport import wire
from . import pacing, target_client


class FillerPacer:
    """Who fills and who serves on a target, and the orders that follow."""

    def __init__(self, shares: Iterable[wire.Share]) -> None:
        """Start with what runs there by the leader's word."""
        self._shares = {one.attempt: one for one in shares}
        self._pacer = pacing.Pacer()
        # What each filler was last told; nothing is known of those that an
        # earlier entry has started, or that gave no answer.
        self._told: dict[identity.AttemptId, int] = {}

    def add(self, start: wire.StartCommand) -> None:
        """Take note of a start; its work begins at the whole pace."""
        self._shares[start.attempt] = wire.Share(
            start.attempt, start.latency_target_ms, start.is_filler
        )
        self._told.setdefault(start.attempt, pacing.FULL_PERCENT)

    def forget(self, attempt: identity.AttemptId) -> None:
        """Drop what has ended."""
        self._shares.pop(attempt, None)
        self._told.pop(attempt, None)

    def forget_pace(self, attempt: identity.AttemptId) -> None:
        """Forget what a filler was told, for it may not have heard it."""
        self._told.pop(attempt, None)

    def is_idle(self) -> bool:
        """Return whether nothing is known to run."""
        return not self._shares

    def has_filler(self) -> bool:
        """Return whether there is any filler."""
        return any(one.is_filler for one in self._shares.values())

    def decide(
        self, running: Iterable[target_client.RunningAttempt], now: int
    ) -> list[tuple[identity.AttemptId, int]]:
        """Return the fillers that have to be told a share, in percent."""
        shared = [
            (one, self._shares[one.attempt])
            for one in running
            if one.attempt in self._shares
        ]
        readings = [
            pacing.LatencyReading(share.latency_target_ms, one.gauge)
            for one, share in shared
            if share.latency_target_ms
        ]
        percent = self._pacer.decide(readings, now)
        changed = [
            one.attempt
            for one, share in shared
            if share.is_filler and self._told.get(one.attempt) != percent
        ]
        self._told.update(dict.fromkeys(changed, percent))
        return [(attempt, percent) for attempt in changed]
