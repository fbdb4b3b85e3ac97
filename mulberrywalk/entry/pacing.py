"""Controls the speed of fillers beside latency-sensitive tasks.

Fillers use the capacity that serving tasks leave idle, and their interference
with these tasks changes within seconds. The share of the fillers falls fast
while a serving task is slow and recovers slowly. Between the two thresholds it
stays unchanged, so that it does not oscillate.
"""

from __future__ import annotations

import dataclasses

FULL_PERCENT = 100
# Latency as a percentage of the latency target: at or above the first value the
# share is lowered, at or below the second it is raised, in between it is kept.
_LOWER_AT_PERCENT = 70
_RAISE_AT_PERCENT = 45
_RAISE_INTERVAL_MS = 1500
_RAISE_STEP_PERCENT = 15
# A share at or below this falls to zero instead of being halved.
_MIN_SHARE_PERCENT = 10


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyReading:
    """The tail latency of a serving task and its target, in milliseconds."""

    latency_target_ms: int
    latency_ms: int


@dataclasses.dataclass(slots=True)
class Pacer:
    """Controls the share of the fillers on one target, in percent.

    low_pressure_since is a monotonic time in milliseconds.
    """

    share: int = FULL_PERCENT
    low_pressure_since: int | None = None

    def decide(self, readings: list[LatencyReading], now: int) -> int:
        """Update and return the share, given the readings of a poll."""
        pressure = max(
            (
                one.latency_ms * FULL_PERCENT // one.latency_target_ms
                for one in readings
            ),
            default=0,
        )
        if pressure >= _LOWER_AT_PERCENT:
            self.low_pressure_since = None
            self.share = _lower(self.share, pressure)
        elif pressure > _RAISE_AT_PERCENT:
            self.low_pressure_since = None
        elif self.low_pressure_since is None:
            self.low_pressure_since = now
        elif now - self.low_pressure_since >= _RAISE_INTERVAL_MS:
            self.low_pressure_since = now
            self.share = min(FULL_PERCENT, self.share + _RAISE_STEP_PERCENT)
        return self.share


def _lower(share: int, pressure: int) -> int:
    if pressure >= FULL_PERCENT or share <= _MIN_SHARE_PERCENT:
        return 0
    return share // 2
