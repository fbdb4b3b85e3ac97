"""The agreed submission rate of each team, and the jobs in excess of it.

A team that is not in the routing, or has no rate there, is not limited.
"""

from __future__ import annotations

import msgspec

from . import configuration, job, retry_after, state, token_bucket, waiting

# Steps of jobs in excess of the rate come after the other work of their team
# and urgency that was submitted within this time. It is longer than the time
# by which worthless steps are moved, and limited so that such jobs still run.
EXCESS_DELAY_MS = 3_600_000


def find_team(tables: state.State, name: str) -> configuration.Team | None:
    """Return the team of the routing with this name, or None."""
    return tables.teams.get(name)


def find_limited_team(
    tables: state.State, name: str
) -> configuration.Team | None:
    """Return the team of this name if a rate is agreed with it, or None."""
    team = find_team(tables, name)
    return team if team is not None and team.millijobs_per_s else None


def current_bucket(
    tables: state.State, team: configuration.Team
) -> token_bucket.Bucket:
    """Return the bucket of a team as of now; a new team has a full one."""
    bucket = tables.team_rates.get(team.name)
    if bucket is None:
        bucket = token_bucket.Bucket(
            token_bucket.capacity(team.millijobs_per_s), tables.time
        )
    return token_bucket.refill(bucket, team.millijobs_per_s, tables.time)


def is_in_excess(tables: state.State, name: str) -> bool:
    """Return whether one more job of a team exceeds its agreed rate."""
    team = find_limited_team(tables, name)
    if team is None:
        return False
    return current_bucket(tables, team).tokens < token_bucket.JOB


def take_token(tables: state.State, name: str) -> bool:
    """Take a token for an accepted job; return whether there was one."""
    team = find_limited_team(tables, name)
    if team is None:
        return True
    bucket = current_bucket(tables, team)
    has_token = bucket.tokens >= token_bucket.JOB
    if has_token:
        bucket = msgspec.structs.replace(
            bucket, tokens=bucket.tokens - token_bucket.JOB
        )
    _store(tables, team, bucket)
    return has_token


def turn_away(tables: state.State, team: configuration.Team) -> int:
    """Count a refused job; return in how many ms its team may submit it.

    Jobs that were refused before come first, as far as the longest wait.
    """
    bucket = current_bucket(tables, team)
    wait_ms = token_bucket.wait_ms(bucket, team.millijobs_per_s)
    most = team.millijobs_per_s * retry_after.MAX_MS
    turned_away = min(most, bucket.turned_away + token_bucket.JOB)
    _store(
        tables, team, msgspec.structs.replace(bucket, turned_away=turned_away)
    )
    return retry_after.clamp_ms(wait_ms)


def is_excess_first(tables: state.State, key: waiting.QueueKey) -> bool:
    """Return whether a queue holds only jobs in excess of the team's rate.

    Its first step is then one of such a job, because they come last.
    """
    if not tables.team_rates:
        return False
    queue = tables.waiting.queues.get(key)
    step = tables.steps.get(queue[0].task) if queue else None
    return step is not None and tables.jobs[step.job].is_excess


def order_delay_ms(record: job.Job) -> int:
    """Return by how much the steps of a job are moved back in their queue."""
    return EXCESS_DELAY_MS if record.is_excess else 0


def _store(
    tables: state.State,
    team: configuration.Team,
    bucket: token_bucket.Bucket,
) -> None:
    tables.team_rates[team.name] = bucket
    if len(tables.team_rates) > len(tables.teams):
        # Teams have been removed from the routing.
        for name in tables.team_rates.keys() - tables.teams.keys():
            tables.team_rates.pop(name)
