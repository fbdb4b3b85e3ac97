"""Paces the fillers (best-effort attempts) of one target."""

from __future__ import annotations

from collections.abc import Iterable

from ..core import identity
from ..transport import wire
from . import pacing, target_client


class FillerPacer:
    """The attempts on a target and the pace last sent to each filler."""

    def __init__(self, shares: Iterable[wire.AttemptSharing]) -> None:
        """Start with the attempts that the leader lists for the target."""
        self._shares = {one.attempt: one for one in shares}
        self._pacer = pacing.Pacer()
        # The percentage last sent to each filler; absent when an earlier
        # entry started the filler or when the call got no reply.
        self._sent_percent: dict[identity.AttemptId, int] = {}

    def add(self, start: wire.StartCommand) -> None:
        """Add an attempt that is being started; it starts at full speed."""
        self._shares[start.attempt] = wire.AttemptSharing(
            start.attempt, start.latency_target_ms, start.is_filler
        )
        self._sent_percent.setdefault(start.attempt, pacing.FULL_PERCENT)

    def remove(self, attempt: identity.AttemptId) -> None:
        """Remove an attempt that has ended."""
        self._shares.pop(attempt, None)
        self._sent_percent.pop(attempt, None)

    def forget_pace(self, attempt: identity.AttemptId) -> None:
        """Forget the pace of a filler that may not have received it."""
        self._sent_percent.pop(attempt, None)

    def is_idle(self) -> bool:
        """Return whether no attempt is known on the target."""
        return not self._shares

    def has_filler(self) -> bool:
        """Return whether any attempt is a filler."""
        return any(one.is_filler for one in self._shares.values())

    def decide(
        self, running: Iterable[target_client.RunningAttempt], now: int
    ) -> list[tuple[identity.AttemptId, int]]:
        """Return the fillers to send a new pace to, in percent.

        now is a monotonic time in milliseconds.
        """
        known = [
            (one, self._shares[one.attempt])
            for one in running
            if one.attempt in self._shares
        ]
        readings = [
            pacing.LatencyReading(share.latency_target_ms, one.gauge)
            for one, share in known
            if share.latency_target_ms
        ]
        percent = self._pacer.decide(readings, now)
        changed = [
            one.attempt
            for one, share in known
            if share.is_filler
            and self._sent_percent.get(one.attempt) != percent
        ]
        self._sent_percent.update(dict.fromkeys(changed, percent))
        return [(attempt, percent) for attempt in changed]
