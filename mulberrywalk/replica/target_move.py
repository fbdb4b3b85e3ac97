"""Planned moves of targets between working entries, at a limited rate.

Targets that are polled from another data centre return to theirs, and entries
with a high processor load give targets to others. Moves follow only where
there are several regions.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Iterator, Mapping

from ..core import identity
from ..transport import region
from . import entry_choice, entry_load, link, move_limit

_INTERVAL_MS = 1000
# A target that was moved because of load stays for this time, longer than a
# wave of load that passes over the data centres would take it back.
_STAY_MS = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class PolledTarget:
    """A session, the data centre of its target, and its working entry."""

    session: identity.SessionId
    data_centre: str
    entry: link.Link


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A target that is to be polled by another entry."""

    session: identity.SessionId
    entry: link.Link


class MovePlanner:
    """Plans moves of targets while this replica leads.

    Times are milliseconds of this process's monotonic clock.
    """

    def __init__(
        self, choice: entry_choice.EntryChoice, links: link.Links, now: int
    ) -> None:
        """Start without knowledge of the load of entries."""
        self._choice = choice
        self._links = links
        self._limit = move_limit.MoveLimit(now)
        self._planned_at = now
        self._loads: dict[str, entry_load.Load] = {}
        # When targets were moved because of load.
        self._moved_at: dict[identity.SessionId, int] = {}

    def is_due(self, now: int) -> bool:
        """Return whether moves may be planned now."""
        is_due = now - self._planned_at >= _INTERVAL_MS
        return is_due and self._choice.regions.is_set()

    def plan(
        self,
        targets: list[PolledTarget],
        counts: Mapping[str, int],
        now: int,
    ) -> Iterator[Move]:
        """Yield moves; each has to be made before the next one is planned.

        counts are the targets of each entry, after each move.
        """
        self._planned_at = now
        self._limit.refill(len(targets), now)
        self._update_loads(now)
        self._moved_at = {
            session: moved_at
            for session, moved_at in self._moved_at.items()
            if now - moved_at < _STAY_MS
        }
        movable = [one for one in targets if one.session not in self._moved_at]
        yield from self._plan_returns(movable, counts, now)
        yield from self._plan_relief(movable, now)

    def _update_loads(self, now: int) -> None:
        self._loads = entry_load.advance(
            self._loads,
            (
                _to_report(entry)
                for entry in self._choice.available()
                if entry.cost_sent_at
            ),
            self._choice.regions,
            now,
        )
        self._choice.loaded = frozenset(
            name
            for name, load in self._loads.items()
            if load.level is entry_load.Level.HIGH
        )

    def _plan_returns(
        self,
        targets: list[PolledTarget],
        counts: Mapping[str, int],
        now: int,
    ) -> Iterator[Move]:
        """Return targets to entries of their data centre or region."""
        for target in self._find_distant(targets):
            if not self._limit.available():
                return
            nearer = self._choice.choose_nearer(
                target.data_centre, target.entry, counts, now
            )
            if nearer is not None and self._limit.take():
                yield Move(target.session, nearer)

    def _find_distant(self, targets: list[PolledTarget]) -> list[PolledTarget]:
        """Return targets that are polled from another data centre than theirs.

        These are as many as may be moved now of each data centre and entry.
        """
        limit = self._limit.available()
        found: dict[tuple[str, str], list[PolledTarget]]
        found = collections.defaultdict(list)
        for target in targets:
            if target.entry.data_centre != target.data_centre:
                found[target.data_centre, target.entry.process].append(target)
        return list(
            itertools.chain.from_iterable(
                group[:limit] for group in found.values()
            )
        )

    def _plan_relief(
        self, targets: list[PolledTarget], now: int
    ) -> Iterator[Move]:
        """Move targets of their own region from entries with a high load."""
        regions = self._choice.regions
        for planned in entry_load.plan_moves(self._loads, regions, now):
            receiver = self._links.open[planned.receiver]
            chosen = self._find_nearest(targets, planned.giver, receiver)
            if chosen is not None and self._limit.take():
                self._loads = entry_load.record_move(self._loads, planned, now)
                self._moved_at[chosen.session] = now
                yield Move(chosen.session, receiver)

    def _find_nearest(
        self, targets: list[PolledTarget], giver: str, receiver: link.Link
    ) -> PolledTarget | None:
        """Return a giver's target nearest to an entry of the same region."""
        near = (
            one
            for one in targets
            if one.entry.process == giver
            and self._choice.distance(one.data_centre, receiver)
            is not region.Distance.OTHER_REGION
        )
        return min(
            near,
            key=lambda one: self._choice.distance(one.data_centre, receiver),
            default=None,
        )


def _to_report(entry: link.Link) -> entry_load.Report:
    return entry_load.Report(
        entry.process,
        entry.data_centre,
        entry.cost.processor_ms,
        entry.cost_sent_at,
        entry.limit_millicores,
    )
