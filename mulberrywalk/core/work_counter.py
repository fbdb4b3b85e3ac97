"""Counters of waiting work by pool, urgency and team, without state."""

from __future__ import annotations

import collections
import dataclasses
from typing import NamedTuple

# Stands for all teams; a team's name is not empty.
ALL_TEAMS = ''


class Key(NamedTuple):
    """Work of one urgency, in ranks, and one team in a pool of targets."""

    pool: str
    rank: int
    team: str


@dataclasses.dataclass(slots=True)
class Work:
    """Processors wanted, in millicores, and their expected time, times ms."""

    millicores: int = 0
    millicore_ms: int = 0


_NO_WORK = Work()


@dataclasses.dataclass(slots=True)
class WorkCounter:
    """Waiting work under each key, and under the key of all teams.

    Derived from the waiting tasks and kept up to date, so that a sum takes one
    look-up for each urgency. held is what attempts of work that ends hold, in
    millicores, by pool and team.
    """

    waiting: dict[Key, Work] = dataclasses.field(default_factory=dict)
    held: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, key: Key, millicores: int, expected_ms: int) -> None:
        """Add waiting work, or remove it if millicores is negative."""
        self._add(key, millicores, expected_ms)
        self._add(Key(key.pool, key.rank, ALL_TEAMS), millicores, expected_ms)

    def hold(self, pool: str, team: str, millicores: int) -> None:
        """Add millicores that an attempt holds, or remove negative ones."""
        for counted in (team, ALL_TEAMS):
            self.held[pool, counted] += millicores
            if not self.held[pool, counted]:
                self.held.pop((pool, counted))

    def sum_up_to(self, key: Key) -> Work:
        """Return the waiting work of a team of this rank and those before."""
        counted = [
            self.waiting.get(Key(key.pool, rank, key.team), _NO_WORK)
            for rank in range(key.rank + 1)
        ]
        return Work(
            sum(work.millicores for work in counted),
            sum(work.millicore_ms for work in counted),
        )

    def _add(self, key: Key, millicores: int, expected_ms: int) -> None:
        # Changed in place, because this is done for each start.
        work = self.waiting.get(key)
        if work is None:
            work = Work()
            self.waiting[key] = work
        work.millicores += millicores
        work.millicore_ms += millicores * expected_ms
        if not work.millicores:
            self.waiting.pop(key)
