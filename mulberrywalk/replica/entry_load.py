"""The processor load of entries, and moves of targets away from loaded ones.

Pure functions over the cost that the heartbeats of entries report. Times are
milliseconds, loads are thousandths of a core.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import statistics
from collections.abc import Iterable, Mapping

from ..transport import region

_MILLICORES = 1000
# Loads are averaged over this time: bursts of callers that last a few seconds
# are over before a move takes effect.
_SMOOTHING_MS = 10_000
# An entry gives targets away only after this time above the high mark.
SUSTAINED_MS = 15_000
# An entry that gave or got a target is left alone until its load shows it.
_SETTLING_MS = 2 * _SMOOTHING_MS
# Parts of the limit of an entry's processor share. A request takes 1 / (1 - u)
# times its processing time at a utilisation u: three times at the high mark,
# steeply more above it, and twice at the low mark.
_HIGH_FRACTION = 0.67
_LOW_FRACTION = 0.5
# Without a known limit, parts of the mean load of the region's entries.
_HIGH_RELATIVE = 1.5
_LOW_RELATIVE = 1.0
# Below this load no entry without a known limit is loaded: there is time for
# requests on any core.
_MIN_HIGH_MILLICORES = 250
# A target goes only to an entry with at most this part of the giver's load, so
# that the two do not change places.
_MAX_RECEIVER_FRACTION = 0.67


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The cost that the last heartbeat of an entry reported.

    processor_ms is the time used since its start, sent_at is on the entry's
    own clock, and limit_millicores is zero if the entry knows no limit.
    """

    entry: str
    data_centre: str
    processor_ms: int
    sent_at: int
    limit_millicores: int = 0


class Level(enum.Enum):
    """The load of an entry compared with its marks."""

    LOW = 'low'
    MIDDLE = 'middle'
    HIGH = 'high'


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load of an entry; since is when it reached its level.

    is_known is False until two reports have been compared.
    """

    report: Report
    millicores: float = 0
    is_known: bool = False
    level: Level = Level.MIDDLE
    since: int = 0
    moved_at: int | None = None

    def is_sustained_high(self, now: int) -> bool:
        """Return whether the entry has been above the high mark for a while."""
        return self.level is Level.HIGH and now - self.since >= SUSTAINED_MS

    def is_settled(self, now: int) -> bool:
        """Return whether the load reflects the last move of a target."""
        return self.moved_at is None or now - self.moved_at >= _SETTLING_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A move of one target from one entry to another."""

    giver: str
    receiver: str


def advance(
    loads: Mapping[str, Load],
    reports: Iterable[Report],
    regions: region.Regions,
    now: int,
) -> dict[str, Load]:
    """Return the loads after new reports; entries without one are dropped."""
    measured = [_measure(loads.get(report.entry), report) for report in reports]
    means = _mean_by_region(measured, regions)
    return {
        load.report.entry: _compare(
            load, means.get(regions.region_of(load.report.data_centre), 0), now
        )
        for load in measured
    }


def plan_moves(
    loads: Mapping[str, Load], regions: region.Regions, now: int
) -> list[Move]:
    """Return the moves that relieve loaded entries, at most one an entry.

    A target stays in the data centre of its entry, or goes to another one of
    the region if all entries of the data centre are loaded.
    """
    givers = sorted(
        (
            load
            for load in loads.values()
            if load.is_sustained_high(now) and load.is_settled(now)
        ),
        key=lambda load: (-load.millicores, load.report.entry),
    )
    free = {
        name: load
        for name, load in loads.items()
        if load.level is Level.LOW and load.is_settled(now)
    }
    moves = []
    for giver in givers:
        receiver = _choose_receiver(giver, free, loads, regions)
        if receiver is not None:
            free.pop(receiver)
            moves.append(Move(giver.report.entry, receiver))
    return moves


def record_move(
    loads: Mapping[str, Load], move: Move, now: int
) -> dict[str, Load]:
    """Return the loads after a move, whose effect is not yet visible."""
    moved = {
        name: dataclasses.replace(loads[name], moved_at=now)
        for name in (move.giver, move.receiver)
        if name in loads
    }
    return {**loads, **moved}


def _measure(previous: Load | None, report: Report) -> Load:
    """Return the load after a report, averaged with the earlier ones."""
    if previous is None or report.processor_ms < previous.report.processor_ms:
        # The entry is new, or another process of it has started.
        return Load(report)
    elapsed_ms = report.sent_at - previous.report.sent_at
    if elapsed_ms <= 0:
        return previous
    used_ms = report.processor_ms - previous.report.processor_ms
    sample = used_ms / elapsed_ms * _MILLICORES
    weight = min(1, elapsed_ms / _SMOOTHING_MS) if previous.is_known else 1
    smoothed = previous.millicores + (sample - previous.millicores) * weight
    return dataclasses.replace(
        previous, report=report, millicores=smoothed, is_known=True
    )


def _mean_by_region(
    loads: Iterable[Load], regions: region.Regions
) -> dict[region.RegionName, float]:
    known = collections.defaultdict(list)
    for load in loads:
        if load.is_known:
            home = regions.region_of(load.report.data_centre)
            known[home].append(load.millicores)
    return {
        home: statistics.fmean(millicores) for home, millicores in known.items()
    }


def _compare(load: Load, mean: float, now: int) -> Load:
    """Return a load with its level, relative to its limit or to a mean.

    Between the marks an entry keeps its level until it has crossed the middle,
    so that a load that varies around a mark does not change it.
    """
    limit = load.report.limit_millicores
    high = limit * _HIGH_FRACTION
    low = limit * _LOW_FRACTION
    if not limit:
        high = max(mean * _HIGH_RELATIVE, _MIN_HIGH_MILLICORES)
        low = mean * _LOW_RELATIVE
    level = _level_of(load, low, high)
    if level is load.level:
        return load
    return dataclasses.replace(load, level=level, since=now)


def _level_of(load: Load, low: float, high: float) -> Level:
    if not load.is_known:
        return Level.MIDDLE
    if load.millicores > high:
        return Level.HIGH
    if load.millicores <= low:
        return Level.LOW
    middle = (low + high) / 2
    keeps_high = load.level is Level.HIGH and load.millicores > middle
    return Level.HIGH if keeps_high else Level.MIDDLE


def _choose_receiver(
    giver: Load,
    free: Mapping[str, Load],
    loads: Mapping[str, Load],
    regions: region.Regions,
) -> str | None:
    data_centre = giver.report.data_centre
    is_full = all(
        load.level is Level.HIGH
        for load in loads.values()
        if load.report.data_centre == data_centre
    )
    farthest = (
        region.Distance.SAME_REGION
        if is_full
        else region.Distance.SAME_DATA_CENTRE
    )
    candidates = [
        load
        for load in free.values()
        if regions.distance(load.report.data_centre, data_centre) <= farthest
        and load.millicores <= giver.millicores * _MAX_RECEIVER_FRACTION
    ]
    chosen = min(
        candidates,
        key=lambda load: (load.millicores, load.report.entry),
        default=None,
    )
    return chosen.report.entry if chosen else None
