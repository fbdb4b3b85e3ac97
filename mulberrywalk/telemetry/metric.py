"""Metrics by statsd; without an address they go nowhere."""

from __future__ import annotations

from typing import Protocol

import statsd


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
