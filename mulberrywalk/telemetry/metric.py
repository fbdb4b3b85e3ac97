"""Metrics, sent to statsd if an address is set and exposed as text."""

from __future__ import annotations

import collections
from typing import Protocol

import statsd
from hdrh import histogram

# The range and precision of the histograms.
_MIN_DURATION_MS = 1
_MAX_DURATION_MS = 3_600_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50, 90, 99, 99.9)


class Metrics(Protocol):
    """The interface to record counters, gauges and timings."""

    def incr(self, stat: str, count: int = 1, /) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, amount: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float, /) -> None:
        """Record a duration in milliseconds."""


class NoMetrics:
    """Discards all metrics."""

    def incr(self, stat: str, count: int = 1, /) -> None:
        """Do nothing."""

    def gauge(self, stat: str, amount: float) -> None:
        """Do nothing."""

    def timing(self, stat: str, delta: float, /) -> None:
        """Do nothing."""


def connect(address: str, prefix: str) -> Metrics:
    """Return a client for a statsd address, host:port.

    An empty address gives a client that discards all metrics.
    """
    if not address:
        return NoMetrics()
    host, _, port = address.rpartition(':')
    client: Metrics = statsd.StatsClient(host, int(port), prefix=prefix)
    return client


class Exposition:
    """Records metrics for exposition as text and forwards them.

    Durations are recorded in histograms, in milliseconds.
    """

    def __init__(self, downstream: Metrics) -> None:
        """Create an empty exposition that forwards to downstream."""
        self._downstream = downstream
        self._counters: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._timings: dict[str, histogram.HdrHistogram] = {}

    def incr(self, stat: str, count: int = 1, /) -> None:
        """Add to a counter."""
        self._counters[stat] += count
        self._downstream.incr(stat, count)

    def gauge(self, stat: str, amount: float) -> None:
        """Set a gauge."""
        self._gauges[stat] = amount
        self._downstream.gauge(stat, amount)

    def timing(self, stat: str, delta: float, /) -> None:
        """Record a duration in milliseconds."""
        if stat not in self._timings:
            self._timings[stat] = histogram.HdrHistogram(
                _MIN_DURATION_MS, _MAX_DURATION_MS, _SIGNIFICANT_DIGITS
            )
        self._timings[stat].record_value(int(max(_MIN_DURATION_MS, delta)))
        self._downstream.timing(stat, delta)

    def render(self) -> str:
        """Return one line per counter, gauge, percentile and timing count."""
        counters = [
            f'{stat}_total {count}' for stat, count in self._counters.items()
        ]
        gauges = [f'{stat} {amount}' for stat, amount in self._gauges.items()]
        timings = [
            line
            for stat, timing_histogram in self._timings.items()
            for line in _render_timing(stat, timing_histogram)
        ]
        lines = sorted((*counters, *gauges, *timings))
        return ''.join(f'{line}\n' for line in lines)


def _render_timing(
    stat: str, timing_histogram: histogram.HdrHistogram
) -> list[str]:
    percentiles = [
        f'{stat}_ms{{percentile="{percentile}"}} '
        f'{timing_histogram.get_value_at_percentile(percentile)}'
        for percentile in _PERCENTILES
    ]
    return [
        *percentiles,
        f'{stat}_ms_count {timing_histogram.get_total_count()}',
    ]
