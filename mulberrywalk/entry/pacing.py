"""How fast the fillers of a target may work beside tasks that serve users.

The load that this answers: fillers that take what serving tasks leave unused
and disturb them by amounts that change within seconds. The share falls fast
while a serving task is slow, and grows slowly again; between the two marks
it stays, so that it does not swing.
"""

from __future__ import annotations

import dataclasses

FULL_PERCENT = 100
# Parts of a latency target, in percent, between which a share stays.
_SLOW_PERCENT = 70
_FAST_PERCENT = 45
_RAISE_AFTER_MS = 1500
_RAISE_BY = 15
_LEAST_STEP = 10


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyReading:
    """The tail of a serving task's response times, in milliseconds."""

    latency_target_ms: int
    latency_ms: int


@dataclasses.dataclass(slots=True)
class Pacer:
    """The share of the fillers on one target, in percent."""

    share: int = FULL_PERCENT
    low_pressure_since: int | None = None

    def decide(self, readings: list[LatencyReading], now: int) -> int:
        """Return the share of the fillers after a look at the target."""
        pressure = max(
            (
                one.latency_ms * FULL_PERCENT // one.latency_target_ms
                for one in readings
            ),
            default=0,
        )
        if pressure >= _SLOW_PERCENT:
            self.low_pressure_since = None
            self.share = _lower(self.share, pressure)
        elif pressure > _FAST_PERCENT:
            self.low_pressure_since = None
        elif self.low_pressure_since is None:
            self.low_pressure_since = now
        elif now - self.low_pressure_since >= _RAISE_AFTER_MS:
            self.low_pressure_since = now
            self.share = min(FULL_PERCENT, self.share + _RAISE_BY)
        return self.share


def _lower(share: int, pressure: int) -> int:
    if pressure >= FULL_PERCENT or share <= _LEAST_STEP:
        return 0
    return share // 2
