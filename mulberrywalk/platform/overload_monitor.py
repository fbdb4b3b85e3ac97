"""Samples the event loop and the open requests of an entry."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ..entry import upstream
from ..telemetry import clock, journal
from ..transport import relief
from . import overload

_SAMPLE_INTERVAL_MS = 100
_MS_PER_S = 1000
_PERCENT = 100


class OverloadMonitor:
    """Tells the leader when this entry is overloaded."""

    def __init__(
        self,
        leader: upstream.Upstream,
        event_log: journal.Journal,
        open_part: Callable[[], float],
    ) -> None:
        """Use open_part as the part of the bound on open requests in use."""
        self._leader = leader
        self._event_log = event_log
        self._open_part = open_part
        self._overload = overload.Overload()

    async def run(self) -> None:
        """Take samples until cancelled."""
        while True:
            slept_at = clock.monotonic_ms()
            await anyio.sleep(_SAMPLE_INTERVAL_MS / _MS_PER_S)
            now = clock.monotonic_ms()
            lag_ms = now - slept_at - _SAMPLE_INTERVAL_MS
            self._take(overload.Sample(lag_ms, self._open_part()), now)

    def _take(self, sample: overload.Sample, now: int) -> None:
        self._overload = overload.advance(self._overload, sample, now)
        asked = self._overload.relief(now)
        if asked is self._leader.relief:
            return
        self._leader.relief = asked
        level = asked.name.lower()
        open_percent = round(sample.open_part * _PERCENT)
        self._event_log.record(
            'overload changed',
            f'relief {level}: lag {sample.lag_ms} ms, '
            f'open requests at {open_percent}% of the bound',
        )


def is_relieved(leader: upstream.Upstream) -> bool:
    """Return whether this entry asks, and is allowed, to be left out."""
    return leader.relief is relief.Relief.WANTED and leader.may_be_unready
