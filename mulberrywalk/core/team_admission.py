"""Admission of the jobs of teams with which a rate is agreed."""

from __future__ import annotations

from . import (
    configuration,
    job,
    outcome,
    overload,
    retry_after,
    spare_capacity,
    state,
    team_rate,
)


def find_refusal(
    tables: state.State, specification: job.Specification
) -> outcome.NotRun | None:
    """Return why a job of a team is refused now, or None."""
    team = team_rate.find_team(tables, specification.team)
    if team is None:
        return None
    if team_rate.is_in_excess(tables, team.name):
        return _find_excess(tables, specification, team)
    return _find_overload(tables, specification, team)


def _find_overload(
    tables: state.State,
    specification: job.Specification,
    team: configuration.Team,
) -> outcome.NotRun | None:
    """Refuse a job that would end too late to be worth anything."""
    found = overload.find_overload(tables, specification, team)
    if found is None:
        return None
    return outcome.NotRun(
        outcome.RefusalReason.OVERLOADED,
        f'would end too late: {overload.describe(found)}',
        retry_after.clamp_ms(found.excess_ms()),
    )


def _find_excess(
    tables: state.State,
    specification: job.Specification,
    team: configuration.Team,
) -> outcome.NotRun | None:
    """Refuse a job beyond the agreed rate unless there is spare capacity."""
    shortage = spare_capacity.find_shortage(tables, specification, team)
    if not shortage:
        return None
    return outcome.NotRun(
        outcome.RefusalReason.QUEUE_FULL,
        f'over the rate of team {team.name}: '
        f'millijobs_per_s={team.millijobs_per_s} {shortage}',
        team_rate.turn_away(tables, team),
    )
