"""Clocks: monotonic, wall, and the hybrid logical clock of the time line."""

from __future__ import annotations

import time

_COUNTER_BITS = 16
_NANOSECONDS_PER_MS = 1_000_000
_MAX_SLEW_RATE = 0.1
# A stamp that is further ahead of the wall clock is of no clock: one day.
_MAX_AHEAD_MS = 86_400_000


def monotonic_ms() -> int:
    """Return a clock in milliseconds that never runs back.

    It counts the time in which the machine was suspended, so that a lease
    cannot outlast a suspension.
    """
    now = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    return now // _NANOSECONDS_PER_MS


def wall_ms() -> int:
    """Return the wall clock in milliseconds since 1970."""
    return time.time_ns() // _NANOSECONDS_PER_MS


class SlewedClock:
    """The wall clock without its jumps, in milliseconds since 1970.

    It runs on with the monotonic clock and approaches the wall clock by at
    most a tenth of the time that passes.
    """

    def __init__(self) -> None:
        """Start at the wall clock."""
        self._read_at = monotonic_ms()
        self._shown = float(wall_ms())

    def read(self) -> int:
        """Return the time; it never runs back."""
        now = monotonic_ms()
        passed = now - self._read_at
        self._read_at = now
        self._shown += passed
        most = passed * _MAX_SLEW_RATE
        offset = wall_ms() - self._shown
        self._shown += max(-most, min(most, offset))
        return int(self._shown)

    def advance(self, at_least: int) -> None:
        """Go on from a later time that is known to have passed."""
        # What has passed since the last reading counts before, not after.
        self.read()
        self._shown = max(self._shown, float(at_least))


class HybridClock:
    """A hybrid logical clock: wall milliseconds and a counter in one number.

    A stamp read after receiving a message is larger than the stamp that the
    message carried, whatever the wall clocks say, unless these differ by more
    than a day.
    """

    def __init__(self) -> None:
        """Start at the wall clock."""
        self._latest = 0

    def read(self) -> int:
        """Return a stamp larger than all before."""
        wall = wall_ms() << _COUNTER_BITS
        self._latest = max(self._latest + 1, wall)
        return self._latest

    def observe(self, stamp: int) -> None:
        """Take note of a stamp that another process has sent.

        One that is out of all proportion would be handed on to every process,
        and none of them would ever show the time again.
        """
        if wall_of(stamp) <= wall_ms() + _MAX_AHEAD_MS:
            self._latest = max(self._latest, stamp)


def wall_of(stamp: int) -> int:
    """Return the milliseconds since 1970 within a stamp."""
    return stamp >> _COUNTER_BITS
