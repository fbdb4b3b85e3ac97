"""The target for one task of a job without steps."""

from __future__ import annotations

from . import (
    fleet,
    gang,
    identity,
    job,
    lifecycle,
    placement,
    state,
    team_limit,
)


def choose(
    tables: state.State, task: job.Task, specification: job.Specification
) -> fleet.TargetLoad | None:
    """Return the target for one task, or None when it fits on none."""
    if not team_limit.allows(tables, task):
        return None
    demand = tables.demand(task)
    if tables.fleet.is_unplaceable(demand):
        return gang.find_backfill_target(tables, task)
    policy = placement.POLICIES[specification.kind]
    siblings: tuple[fleet.TargetLoad, ...] = ()
    if specification.kind is job.Kind.SERVICE:
        siblings = _sibling_targets(tables, task)
    request = placement.Request(demand, _last_failed_target(task), siblings)
    load = policy.choose(tables.fleet, request)
    if load is None:
        tables.fleet.mark_unplaceable(demand)
        return gang.find_backfill_target(tables, task)
    return load


def _last_failed_target(task: job.Task) -> identity.TargetId | None:
    if task.history and task.history[-1].reason is job.EndReason.FAILED:
        return task.history[-1].target
    return None


def _sibling_targets(
    tables: state.State, task: job.Task
) -> tuple[fleet.TargetLoad, ...]:
    record = tables.jobs[task.job]
    return tuple(
        tables.fleet.loads[tables.attempts[sibling.attempt].target]
        for sibling in lifecycle.tasks_of(tables, record)
        if sibling.attempt is not None
    )
