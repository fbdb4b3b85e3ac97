"""Metrics by statsd; without an address they go nowhere."""

from __future__ import annotations

import collections
from typing import Protocol

import statsd
from hdrh import histogram

_MIN_DURATION_MS = 1
_MAX_DURATION_MS = 3_600_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50, 90, 99, 99.9)


class Metrics(Protocol):
    """Counters, gauges and timings of a process."""

    def incr(self, stat: str, count: int = 1, /) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, amount: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float, /) -> None:
        """Record a duration in milliseconds."""


class NoMetrics:
    """Takes metrics and drops them."""

    def incr(self, stat: str, count: int = 1, /) -> None:
        """Do nothing."""

    def gauge(self, stat: str, amount: float) -> None:
        """Do nothing."""

    def timing(self, stat: str, delta: float, /) -> None:
        """Do nothing."""


def connect(address: str, prefix: str) -> Metrics:
    """Return a client for a statsd address, host:port; empty for none."""
    if not address:
        return NoMetrics()
    host, _, port = address.rpartition(':')
    client: Metrics = statsd.StatsClient(host, int(port), prefix=prefix)
    return client


class Exposition:
    """Keeps metrics and shows them as text, beside passing them on.

    Durations are kept in histograms of milliseconds.
    """

    def __init__(self, passed_on: Metrics) -> None:
        """Start at nothing."""
        self._passed_on = passed_on
        self._counters: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._timings: dict[str, histogram.HdrHistogram] = {}

    def incr(self, stat: str, count: int = 1, /) -> None:
        """Add to a counter."""
        self._counters[stat] += count
        self._passed_on.incr(stat, count)

    def gauge(self, stat: str, amount: float) -> None:
        """Set a gauge."""
        self._gauges[stat] = amount
        self._passed_on.gauge(stat, amount)

    def timing(self, stat: str, delta: float, /) -> None:
        """Record a duration in milliseconds."""
        if stat not in self._timings:
            self._timings[stat] = histogram.HdrHistogram(
                _MIN_DURATION_MS, _MAX_DURATION_MS, _SIGNIFICANT_DIGITS
            )
        self._timings[stat].record_value(int(max(_MIN_DURATION_MS, delta)))
        self._passed_on.timing(stat, delta)

    def render(self) -> str:
        """Return one line for each counter, gauge and percentile."""
        counters = [
            f'{stat}_total {count}' for stat, count in self._counters.items()
        ]
        gauges = [f'{stat} {amount}' for stat, amount in self._gauges.items()]
        timings = [
            line
            for stat, kept in self._timings.items()
            for line in _render_timing(stat, kept)
        ]
        lines = sorted((*counters, *gauges, *timings))
        return ''.join(f'{line}\n' for line in lines)


def _render_timing(stat: str, kept: histogram.HdrHistogram) -> list[str]:
    percentiles = [
        f'{stat}_ms{{percentile="{part}"}} {kept.get_value_at_percentile(part)}'
        for part in _PERCENTILES
    ]
    return [*percentiles, f'{stat}_ms_count {kept.get_total_count()}']
