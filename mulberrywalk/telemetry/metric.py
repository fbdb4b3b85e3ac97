"""Metrics, sent to statsd if an address is set and exposed as text."""

from __future__ import annotations

import collections
import re
from collections.abc import Mapping
from typing import Protocol, TypeAlias

import statsd
from hdrh import histogram

# The range and precision of the histograms.
_MIN_DURATION_MS = 1
_MAX_DURATION_MS = 3_600_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50, 90, 99, 99.9)
# In a name sent to statsd, a dot separates parts and a colon ends the name.
_UNSAFE_CHARACTER = re.compile('[^A-Za-z0-9_-]')

# The names and texts of the labels of one series.
Labels: TypeAlias = tuple[tuple[str, str], ...]
Series: TypeAlias = Mapping[Labels, float]


class Metrics(Protocol):
    """The interface to record counters, gauges and timings."""

    def incr(self, stat: str, count: int = 1, /) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, amount: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float, /) -> None:
        """Record a duration in milliseconds."""


class SeriesMetrics(Metrics, Protocol):
    """Metrics that also take gauges of several series."""

    def replace_series(self, stat: str, series: Series) -> None:
        """Set the series of a gauge; those that are not given end."""


class NoMetrics:
    """Discards all metrics."""

    def incr(self, stat: str, count: int = 1, /) -> None:
        """Do nothing."""

    def gauge(self, stat: str, amount: float) -> None:
        """Do nothing."""

    def timing(self, stat: str, delta: float, /) -> None:
        """Do nothing."""

    def replace_series(self, stat: str, series: Series) -> None:
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
        self._series: dict[str, Series] = {}

    def incr(self, stat: str, count: int = 1, /) -> None:
        """Add to a counter."""
        self._counters[stat] += count
        self._downstream.incr(stat, count)

    def gauge(self, stat: str, amount: float) -> None:
        """Set a gauge."""
        self._gauges[stat] = amount
        self._downstream.gauge(stat, amount)

    def replace_series(self, stat: str, series: Series) -> None:
        """Set the series of a gauge; those that are not given end.

        statsd knows no end of a gauge, so it is sent a last zero.
        """
        earlier = self._series.get(stat, {})
        ended = dict.fromkeys(earlier.keys() - series.keys(), 0)
        self._series[stat] = dict(series)
        for labels, amount in {**ended, **series}.items():
            self._downstream.gauge(_join_labels(stat, labels), amount)

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
        series = [
            f'{stat}{_format_labels(labels)} {amount}'
            for stat, amounts in self._series.items()
            for labels, amount in amounts.items()
        ]
        lines = sorted((*counters, *gauges, *timings, *series))
        return ''.join(f'{line}\n' for line in lines)


def _format_labels(labels: Labels) -> str:
    shown = (f'{name}="{_escape(text)}"' for name, text in labels)
    return ','.join(shown).join('{}')


def _escape(text: str) -> str:
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')


def _join_labels(stat: str, labels: Labels) -> str:
    parts = (_UNSAFE_CHARACTER.sub(_encode, text) for _, text in labels)
    return '.'.join((stat, *parts))


def _encode(found: re.Match[str]) -> str:
    code = found.group().encode().hex()
    return f'%{code}'


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
