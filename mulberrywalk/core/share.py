"""Dominant shares of the cell used by urgencies and teams, and fair shares.

A share is the largest used part of any resource, in parts per million.
"""

from __future__ import annotations

import dataclasses

from . import configuration, job, resource, state


@dataclasses.dataclass(frozen=True, slots=True)
class FairShares:
    """Fair shares among the active teams, given the sum of their weights."""

    total_weight: int

    def entitlement(self, weight: int) -> int:
        """Return the fair share of a team with this weight."""
        return resource.PARTS_PER_MILLION * weight // max(1, self.total_weight)


def compute_fair_shares(tables: state.State) -> FairShares:
    """Return the fair shares of the teams with running or waiting work."""
    teams = {key.team for key in tables.waiting.queues}
    teams.update(tables.team_usage)
    return FairShares(sum(weight_of(tables, team) for team in teams))


def weight_of(tables: state.State, team: str) -> int:
    """Return a team's weight in the routing, else in the document."""
    routed = tables.teams.get(team)
    if routed is not None:
        return routed.weight
    document = tables.configuration.document
    return configuration.team_limits(document, team).weight


def of_urgency(tables: state.State, urgency: job.Urgency) -> int:
    """Return the dominant share of an urgency."""
    return resource.dominant_share(
        tables.urgency_usage[urgency], tables.fleet.total
    )


def of_team(tables: state.State, team: str) -> int:
    """Return the dominant share of a team."""
    usage = tables.team_usage.get(team, resource.NOTHING)
    return resource.dominant_share(usage, tables.fleet.total)


def of_all(tables: state.State) -> int:
    """Return the dominant share of all work."""
    used = resource.NOTHING
    for usage in tables.urgency_usage.values():
        used = resource.add(used, usage)
    return resource.dominant_share(used, tables.fleet.total)


def is_above_floor(tables: state.State, urgency: job.Urgency) -> bool:
    """Return whether an urgency uses at least its guaranteed share."""
    limits = tables.configuration.document.classes[urgency]
    return of_urgency(tables, urgency) >= limits.floor


def is_over_quota(tables: state.State, team: str) -> bool:
    """Return whether a team has reached its quota."""
    limits = configuration.team_limits(tables.configuration.document, team)
    if limits.quota == resource.PARTS_PER_MILLION:
        return False
    return of_team(tables, team) >= limits.quota
