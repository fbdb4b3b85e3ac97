"""Whether an entry is overloaded, and when it may ask to be left out.

Pure functions over samples of the event loop and of the open requests. Times
are milliseconds of a monotonic clock.
"""

from __future__ import annotations

import dataclasses

from ..transport import relief

# A request passes the event loop several times; urgent work may lose 300 ms in
# all before it misses its objective, so that a lag of half of this loses it.
_HIGH_LAG_MS = 150
_LOW_LAG_MS = 50
# Parts of the bound on open requests.
_HIGH_OPEN = 1.0
_LOW_OPEN = 0.5
# How long the samples have to agree before the level changes: longer than a
# pause of the process, shorter than callers wait.
_SUSTAINED_MS = 2000
# An overloaded entry asks to be left out for the first part of each period.
# The limit keeps a load balancer from losing an entry whose overload does not
# come from callers; users expect an entry to be ready for seven eighths of the
# time.
MAX_UNREADY_MS = 4_000
PERIOD_MS = 40_000


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The lag of the event loop, and the part of open requests in use."""

    lag_ms: int
    open_part: float


@dataclasses.dataclass(frozen=True, slots=True)
class Overload:
    """The level of an entry.

    since is when the entry became overloaded, None while it is not.
    differs_since is when the samples began to disagree with the level.
    period_at is when the present or last period began; it outlasts the
    overload, as an entry that is left out is not overloaded for long.
    """

    since: int | None = None
    differs_since: int | None = None
    period_at: int = 0

    def relief(self, now: int) -> relief.Relief:
        """Return whether the entry asks callers to use other entries."""
        if self.since is None:
            return relief.Relief.NONE
        if (now - self.period_at) % PERIOD_MS < MAX_UNREADY_MS:
            return relief.Relief.WANTED
        return relief.Relief.RESTING


def advance(current: Overload, sample: Sample, now: int) -> Overload:
    """Return the level after a sample."""
    if not _differs(current, sample):
        return dataclasses.replace(current, differs_since=None)
    differs_since = current.differs_since
    if differs_since is None:
        return dataclasses.replace(current, differs_since=now)
    if now - differs_since < _SUSTAINED_MS:
        return current
    if current.since is not None:
        return Overload(period_at=current.period_at)
    has_ended = now - current.period_at >= PERIOD_MS
    is_first = not current.period_at
    return Overload(
        since=now,
        period_at=now if is_first or has_ended else current.period_at,
    )


def _differs(current: Overload, sample: Sample) -> bool:
    if current.since is None:
        is_slow = sample.lag_ms >= _HIGH_LAG_MS
        return is_slow or sample.open_part >= _HIGH_OPEN
    return sample.lag_ms < _LOW_LAG_MS and sample.open_part < _LOW_OPEN
