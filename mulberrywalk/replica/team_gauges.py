"""Gauges by team, with a bounded number of series.

The teams with the highest share or the most refused jobs have series of their
own; all others together have one.
"""

from __future__ import annotations

import collections
import itertools
from collections.abc import Collection, Mapping, Sequence

from ..core import resource, share, state, team_summary
from ..telemetry import metric
from . import team_refusals

MAX_TEAMS = 20
# The first teams always have their series. The others keep theirs until they
# are behind more ranks than there are series, so that teams with nearly equal
# ranks do not begin and end series in turn.
_SURE_RANKS = 10
_KEPT_RANKS = 30
_PERMILLE = 1000
_HELD = 'team_held_permille'
_WAITING = 'team_waiting_tasks'
_REFUSED = 'team_refused_jobs'
_TEAM = 'team'
_REASON = 'reason'


class TeamGauges:
    """Publishes what teams hold, wait for and were refused."""

    def __init__(
        self,
        metrics: metric.SeriesMetrics,
        refusals: team_refusals.TeamRefusals,
    ) -> None:
        """Start without series."""
        self._metrics = metrics
        self._refusals = refusals
        self._shown: frozenset[str] = frozenset()

    def update(self, tables: state.State) -> None:
        """Set the series of the chosen teams and of all others together."""
        refused = self._refusals.by_team()
        waiting = team_summary.count_waiting(tables)
        ranked = _rank(tables, refused, waiting)
        self._shown = choose(ranked, self._shown)
        held = _find_held_permille(tables, self._shown)
        self._metrics.replace_series(_HELD, held)
        self._metrics.replace_series(
            _WAITING, _label(_sum_groups(waiting, self._shown))
        )
        self._metrics.replace_series(
            _REFUSED, _sum_refused(refused, self._shown)
        )

    def clear(self) -> None:
        """End all series when another replica leads."""
        self._shown = frozenset()
        for stat in (_HELD, _WAITING, _REFUSED):
            self._metrics.replace_series(stat, {})


def choose(ranked: Sequence[str], earlier: Collection[str]) -> frozenset[str]:
    """Return the teams with series of their own, given those before."""
    kept = [name for name in ranked[:_KEPT_RANKS] if name in earlier]
    preferred = dict.fromkeys((*ranked[:_SURE_RANKS], *kept, *ranked))
    return frozenset(itertools.islice(preferred, MAX_TEAMS))


def _rank(
    tables: state.State,
    refused: team_refusals.Counts,
    waiting: Mapping[str, int],
) -> list[str]:
    """Return the teams, in turn that with the next share and refusals."""
    by_share = sorted(
        tables.team_usage,
        key=lambda name: (-share.of_team(tables, name), name),
    )
    by_refusals = sorted(
        refused, key=lambda name: (-sum(refused[name].values()), name)
    )
    pairs = itertools.zip_longest(by_share, by_refusals)
    ranked = dict.fromkeys(
        (*itertools.chain.from_iterable(pairs), *sorted(waiting))
    )
    ranked |= dict.fromkeys(tables.teams)
    unnamed = {None, team_refusals.OTHERS}
    return [name for name in ranked if name not in unnamed]


def _find_held_permille(
    tables: state.State, shown: frozenset[str]
) -> metric.Series:
    """Return the held processors of teams with a limit on them."""
    limits = {
        team.name: team.limit.millicores
        for team in tables.teams.values()
        if team.limit.millicores
    }
    held = {
        name: tables.team_held.get(name, resource.NOTHING).millicores
        for name in limits
    }
    held_by_group = _sum_groups(held, shown)
    return _label(
        {
            name: held_by_group[name] * _PERMILLE // limit
            for name, limit in _sum_groups(limits, shown).items()
        }
    )


def _sum_groups(
    amounts: Mapping[str, int], shown: frozenset[str]
) -> collections.Counter[str]:
    sums: collections.Counter[str] = collections.Counter()
    for name, amount in amounts.items():
        sums[_group_of(name, shown)] += amount
    return sums


def _sum_refused(
    refused: team_refusals.Counts, shown: frozenset[str]
) -> metric.Series:
    sums: collections.Counter[metric.Labels] = collections.Counter()
    for name, counts in refused.items():
        group = (_TEAM, _group_of(name, shown))
        for reason, count in counts.items():
            sums[group, (_REASON, reason)] += count
    return sums


def _group_of(name: str, shown: frozenset[str]) -> str:
    return name if name in shown else team_refusals.OTHERS


def _label(amounts: Mapping[str, int]) -> metric.Series:
    return {((_TEAM, name),): amount for name, amount in amounts.items()}
