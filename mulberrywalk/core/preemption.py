"""Capacity that was lent is taken back for an urgency below its floor."""

from __future__ import annotations

import itertools

from . import (
    fleet,
    gang,
    identity,
    job,
    lifecycle,
    resource,
    share,
    state,
    waiting,
)

_PATIENCE_MS = 500
_MAX_IN_FLIGHT = 16
_SCANNED = 64
_URGENCIES = tuple(job.Urgency)


def preempt_for(
    tables: state.State, key: waiting.QueueKey, task: job.Task
) -> None:
    """Stop one attempt for a task that has waited below its floor.

    Victims are idempotent attempts of urgencies above their floor, the least
    urgent and latest placed first. Few are stopped at a time, because each
    needs a while to end, and never more than tasks wait. For a gang they are
    taken from the targets that are kept for it: elsewhere other work would
    take what becomes free before the whole gang fits.
    """
    urgency = _URGENCIES[key.rank]
    if share.is_above_floor(tables, urgency):
        return
    waited_ms = tables.time - task.waiting_since
    if waited_ms < _PATIENCE_MS:
        return
    wanted = min(_MAX_IN_FLIGHT, tables.waiting.counts[key])
    if tables.preempting_attempts >= wanted:
        return
    victim = choose_victim(tables, urgency, task)
    if victim is not None:
        lifecycle.stop(tables, victim, job.StopReason.PREEMPTED)


def choose_victim(
    tables: state.State,
    urgency: job.Urgency,
    task: job.Task,
) -> job.Attempt | None:
    """Return the attempt to stop, or None when there is none to take."""
    demand = tables.demand(task)
    kept_for = None
    if gang.is_unplaced_gang(tables, task):
        kept_for = task.job
    for other in reversed(_URGENCIES):
        if other is urgency or not share.is_above_floor(tables, other):
            continue
        victim = _find_victim(tables, other, demand, kept_for)
        if victim is not None:
            return victim
    return None


def _find_victim(
    tables: state.State,
    urgency: job.Urgency,
    demand: resource.Resources,
    kept_for: identity.JobId | None,
) -> job.Attempt | None:
    latest = itertools.islice(
        reversed(tables.attempts_by_urgency[urgency]), _SCANNED
    )
    return next(
        (
            tables.attempts[name]
            for _, name in latest
            if _is_eligible(tables, name, demand, kept_for)
        ),
        None,
    )


def _is_eligible(
    tables: state.State,
    name: identity.AttemptId,
    demand: resource.Resources,
    kept_for: identity.JobId | None,
) -> bool:
    attempt = tables.attempts[name]
    if attempt.stopping is not None:
        return False
    specification = tables.specification(tables.tasks[attempt.task])
    if not specification.is_idempotent:
        return False
    load: fleet.TargetLoad = tables.fleet.loads[attempt.target]
    if not load.is_open or load.reserved_for != kept_for:
        return False
    if gang.is_backfill(tables, attempt):
        return False
    return resource.fits(demand, resource.add(load.free, attempt.held))
