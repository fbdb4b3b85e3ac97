"""Monotonic and wall clocks, and the timeline's hybrid logical clock."""

from __future__ import annotations

import time

_COUNTER_BITS = 16
_NANOSECONDS_PER_MS = 1_000_000
_MAX_SLEW_RATE = 0.1
# Timestamps further ahead of the wall clock than this, one day, are ignored.
_MAX_AHEAD_MS = 86_400_000


def monotonic_ms() -> int:
    """Return the time of a clock that never runs backwards, in milliseconds.

    The clock includes time in which the machine was suspended, so that a lease
    also expires during a suspension.
    """
    now = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    return now // _NANOSECONDS_PER_MS


def wall_ms() -> int:
    """Return the wall-clock time in milliseconds since 1970."""
    return time.time_ns() // _NANOSECONDS_PER_MS


class SlewedClock:
    """A wall clock without jumps, in milliseconds since 1970.

    It advances with the monotonic clock and is corrected towards the wall clock
    by at most a tenth of the elapsed time.
    """

    def __init__(self) -> None:
        """Start at the current wall-clock time."""
        self._read_at = monotonic_ms()
        self._time_ms = float(wall_ms())

    def read(self) -> int:
        """Return the time; it never runs backwards."""
        now = monotonic_ms()
        elapsed = now - self._read_at
        self._read_at = now
        self._time_ms += elapsed
        max_correction = elapsed * _MAX_SLEW_RATE
        offset = wall_ms() - self._time_ms
        self._time_ms += max(-max_correction, min(max_correction, offset))
        return int(self._time_ms)

    def advance(self, at_least: int) -> None:
        """Advance to at_least, a time known to have passed, if it is later."""
        # Accounts for the time elapsed since the last reading, which the next
        # reading would otherwise add to at_least.
        self.read()
        self._time_ms = max(self._time_ms, float(at_least))


class HybridClock:
    """A hybrid logical clock: wall-clock milliseconds and a counter combined.

    A timestamp read after a message was observed is larger than the timestamp
    of that message whatever the wall clocks show, unless they differ by more
    than a day.
    """

    def __init__(self) -> None:
        """Start with no timestamp issued or observed."""
        self._latest = 0

    def read(self) -> int:
        """Return a timestamp larger than all earlier ones."""
        wall = wall_ms() << _COUNTER_BITS
        self._latest = max(self._latest + 1, wall)
        return self._latest

    def observe(self, timestamp: int) -> None:
        """Advance past a timestamp received from another process.

        Timestamps too far in the future are ignored: they would spread to every
        process and keep all clocks from following the time again.
        """
        if wall_of(timestamp) <= wall_ms() + _MAX_AHEAD_MS:
            self._latest = max(self._latest, timestamp)


def wall_of(timestamp: int) -> int:
    """Return the milliseconds since 1970 that a timestamp holds."""
    return timestamp >> _COUNTER_BITS
