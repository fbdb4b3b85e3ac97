"""Counts the jobs that a leader refused, by team and reason, in its term.

The counts are kept by the leader alone: a new leader begins with none.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping

from ..core import outcome

# Stands for the teams that are not counted by name; no team has this name.
OTHERS = '(others)'
# Teams counted by name that are not in the routing. Their names are the
# callers' choice, so their number needs a bound.
_MAX_UNROUTED_TEAMS = 200

Counts = Mapping[str, Mapping[str, int]]


class TeamRefusals:
    """Refused jobs by team and reason since a time, in ms since 1970."""

    def __init__(self, since: int) -> None:
        """Begin with no refusals."""
        self.since = since
        self._counts: dict[str, collections.Counter[str]] = {}

    def count(
        self, team: str, reason: outcome.RefusalReason, *, is_routed: bool
    ) -> None:
        """Count one refused job of a team."""
        is_known = is_routed or team in self._counts
        if not is_known and len(self._counts) >= _MAX_UNROUTED_TEAMS:
            team = OTHERS
        counts = self._counts.setdefault(team, collections.Counter())
        counts[reason.value] += 1

    def by_team(self) -> Counts:
        """Return the counts of all teams with refused jobs."""
        return self._counts
