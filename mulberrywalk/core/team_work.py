"""Waiting work of each team that an operator is shown, without state.

Derived from the records; no decision depends on it.
"""

from __future__ import annotations

import collections
import dataclasses

from sortedcontainers import SortedList


@dataclasses.dataclass(slots=True)
class TeamWork:
    """Counters of teams with waiting work; other teams have none.

    pending_excess counts the jobs in excess of the agreed rate that have not
    started. ages holds since when steps and tasks wait (see waiting_age.py).
    """

    pending_excess: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    ages: dict[str, SortedList] = dataclasses.field(default_factory=dict)

    def adjust_excess(self, team: str, change: int) -> None:
        """Change the number of jobs in excess that have not started."""
        self.pending_excess[team] += change
        if not self.pending_excess[team]:
            self.pending_excess.pop(team)

    def note_age(self, team: str, age: tuple[int, str]) -> None:
        """Add the time since when some work waits, and its name."""
        ages = self.ages.get(team)
        if ages is None:
            ages = SortedList()
            self.ages[team] = ages
        if age not in ages:
            ages.add(age)

    def forget_age(self, team: str, age: tuple[int, str]) -> None:
        """Remove work that waits no longer, if it is there."""
        ages = self.ages.get(team)
        if ages is None:
            return
        ages.discard(age)
        if not ages:
            self.ages.pop(team)
