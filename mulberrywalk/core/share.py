"""Shares of the cell that urgencies and teams use and are due.

All shares are parts per million of the resource that is used most.
"""

from __future__ import annotations

import dataclasses

from . import configuration, job, resource, state


@dataclasses.dataclass(frozen=True, slots=True)
class FairShares:
    """The teams that use or want capacity, by the sum of their weights."""

    total_weight: int

    def entitlement(self, weight: int) -> int:
        """Return the share that is due to a team of that weight."""
        return resource.PARTS_PER_MILLION * weight // max(1, self.total_weight)


def compute_fair_shares(tables: state.State) -> FairShares:
    """Return the fairness among the teams that are active now."""
    document = tables.configuration.document
    teams = {key.team for key in tables.waiting.queues}
    teams.update(tables.team_usage)
    return FairShares(
        sum(configuration.team_limits(document, team).weight for team in teams)
    )


def of_urgency(tables: state.State, urgency: job.Urgency) -> int:
    """Return the share that an urgency uses."""
    return resource.dominant_share(
        tables.urgency_usage[urgency], tables.fleet.total
    )


def of_team(tables: state.State, team: str) -> int:
    """Return the share that a team uses."""
    usage = tables.team_usage.get(team, resource.NOTHING)
    return resource.dominant_share(usage, tables.fleet.total)


def of_all(tables: state.State) -> int:
    """Return the share that is used by everything that runs."""
    used = resource.NOTHING
    for usage in tables.urgency_usage.values():
        used = resource.add(used, usage)
    return resource.dominant_share(used, tables.fleet.total)


def is_above_floor(tables: state.State, urgency: job.Urgency) -> bool:
    """Return whether an urgency uses its guaranteed part or more."""
    limits = tables.configuration.document.classes[urgency]
    return of_urgency(tables, urgency) >= limits.floor


def is_over_quota(tables: state.State, team: str) -> bool:
    """Return whether a team uses all of its quota."""
    limits = configuration.team_limits(tables.configuration.document, team)
    if limits.quota == resource.PARTS_PER_MILLION:
        return False
    return of_team(tables, team) >= limits.quota
