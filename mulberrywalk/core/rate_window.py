"""A recent rate, from the amounts of two successive intervals."""

from __future__ import annotations

import msgspec

# Long enough for the ends of many tasks, short enough to follow a burst.
INTERVAL_MS = 5000


class RateWindow(msgspec.Struct, frozen=True, gc=False):
    """The amounts since a time and in the interval before it."""

    since: int
    amount: int = 0
    earlier: int = 0


def add(window: RateWindow, amount: int, now: int) -> RateWindow:
    """Return the window with an amount added at a time."""
    moved = _move(window, now)
    return RateWindow(moved.since, moved.amount + amount, moved.earlier)


def per_ms(window: RateWindow, now: int) -> int:
    """Return the average amount per millisecond of the window up to now."""
    moved = _move(window, now)
    elapsed_ms = INTERVAL_MS + now - moved.since
    return (moved.amount + moved.earlier) // elapsed_ms


def _move(window: RateWindow, now: int) -> RateWindow:
    intervals = max(0, now - window.since) // INTERVAL_MS
    if not intervals:
        return window
    earlier = window.amount if intervals == 1 else 0
    return RateWindow(window.since + intervals * INTERVAL_MS, 0, earlier)
