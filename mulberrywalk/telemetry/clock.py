"""Clocks: monotonic, wall, and the hybrid logical clock of the time line."""

from __future__ import annotations

import time

_COUNTER_BITS = 16
_NANOSECONDS_PER_MS = 1_000_000


def monotonic_ms() -> int:
    """Return the monotonic clock in milliseconds; it never runs back."""
    return time.monotonic_ns() // _NANOSECONDS_PER_MS


def wall_ms() -> int:
    """Return the wall clock in milliseconds since 1970."""
    return time.time_ns() // _NANOSECONDS_PER_MS


class HybridClock:
    """A hybrid logical clock: wall milliseconds and a counter in one number.

    A stamp read after receiving a message is larger than the stamp that the
    message carried, whatever the wall clocks say.
    """

    def __init__(self) -> None:
        """Start at the wall clock."""
        self._latest = 0

    def read(self) -> int:
        """Return a stamp larger than all before."""
        wall = wall_ms() << _COUNTER_BITS
        self._latest = max(self._latest + 1, wall)
        return self._latest

    def witness(self, stamp: int) -> None:
        """Take note of a stamp that another process has sent."""
        self._latest = max(self._latest, stamp)


def wall_of(stamp: int) -> int:
    """Return the milliseconds since 1970 within a stamp."""
    return stamp >> _COUNTER_BITS
