"""What each team holds, may hold and waits for, from the counters of the state.

The cost depends on the number of teams, not on that of their jobs and tasks.
"""

from __future__ import annotations

import collections

import msgspec

from . import (
    resource,
    share,
    state,
    team_rate,
    token_bucket,
    waiting_age,
)

# Teams shown that are not in the routing: their names are the callers' choice.
MAX_UNROUTED_TEAMS = 200
_JOBS_TO_MILLIJOBS = 1000


class Amount(msgspec.Struct, frozen=True):
    """Processors in thousandths, memory in bytes, accelerators."""

    millicores: int
    memory_bytes: int
    accelerators: int


class Rate(msgspec.Struct, frozen=True):
    """The agreed rate of a team and the tokens left, in thousandths of jobs."""

    millijobs_per_s: int
    tokens_millijobs: int


class TeamSummary(msgspec.Struct, frozen=True):
    """One team; shares are parts per million of the cell.

    held counts attempts until their end is known, limit is zero of a resource
    without limit, rate None for a team without an agreed one. running_tasks
    counts live attempts, also those being started or stopped.
    oldest_wait_ms is the time since the oldest waiting step could first run,
    or since the oldest waiting task of a job without steps waits.
    """

    team: str
    is_routed: bool
    held: Amount
    limit: Amount
    share_ppm: int
    fair_share_ppm: int
    weight: int
    running_tasks: int
    waiting_tasks: int
    rate: Rate | None
    excess_jobs_waiting: int
    oldest_wait_ms: int


def summarize(tables: state.State) -> tuple[list[TeamSummary], int]:
    """Return the teams by name, and how many are left out.

    Left out are teams that are not in the routing, those with the least share
    first.
    """
    waiting_tasks = count_waiting(tables)
    unrouted = _find_unrouted(tables, waiting_tasks)
    names = [*tables.teams, *unrouted[:MAX_UNROUTED_TEAMS]]
    fair_shares = share.compute_fair_shares(tables)
    summaries = [
        _summarize(tables, name, fair_shares, waiting_tasks[name])
        for name in sorted(names)
    ]
    return summaries, max(0, len(unrouted) - MAX_UNROUTED_TEAMS)


def count_waiting(tables: state.State) -> collections.Counter[str]:
    """Return the number of waiting tasks of each team that has any."""
    counts: collections.Counter[str] = collections.Counter()
    for key, count in tables.waiting.counts.items():
        counts[key.team] += count
    return counts


def _find_unrouted(
    tables: state.State, waiting_tasks: collections.Counter[str]
) -> list[str]:
    names = waiting_tasks.keys() | tables.team_held.keys()
    return sorted(
        names - tables.teams.keys(),
        key=lambda name: (-share.of_team(tables, name), name),
    )


def _summarize(
    tables: state.State,
    name: str,
    fair_shares: share.FairShares,
    waiting_tasks: int,
) -> TeamSummary:
    routed = tables.teams.get(name)
    held = tables.team_held.get(name, resource.NOTHING)
    weight = share.weight_of(tables, name)
    if not waiting_tasks and name not in tables.team_usage:
        # The share that the team would have if it had work too.
        fair_shares = share.FairShares(fair_shares.total_weight + weight)
    return TeamSummary(
        team=name,
        is_routed=routed is not None,
        held=_amount(held),
        limit=_amount(routed.limit if routed else resource.NOTHING),
        share_ppm=share.of_team(tables, name),
        fair_share_ppm=fair_shares.entitlement(weight),
        weight=weight,
        running_tasks=held.slots,
        waiting_tasks=waiting_tasks,
        rate=_rate(tables, name),
        excess_jobs_waiting=tables.team_work.pending_excess[name],
        oldest_wait_ms=waiting_age.oldest_wait_ms(tables, name),
    )


def _amount(amount: resource.Resources) -> Amount:
    return Amount(amount.millicores, amount.memory_bytes, amount.accelerators)


def _rate(tables: state.State, name: str) -> Rate | None:
    team = team_rate.find_limited_team(tables, name)
    if team is None:
        return None
    tokens = team_rate.current_bucket(tables, team).tokens
    return Rate(
        team.millijobs_per_s,
        tokens * _JOBS_TO_MILLIJOBS // token_bucket.JOB,
    )
