"""Preemption in favour of urgencies below their guaranteed floor."""

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
    task_copy,
    team_limit,
    waiting,
)

_MIN_WAIT_MS = 500
_MAX_STOPPING = 16
_MAX_SCANNED = 64
_URGENCIES = tuple(job.Urgency)


def preempt_for(
    tables: state.State, key: waiting.QueueKey, task: job.Task
) -> None:
    """Stop one attempt for a waiting task whose urgency is below its floor.

    Victims are idempotent attempts of urgencies above their floor, the least
    urgent and latest placed first. Few are stopped at a time, because each
    takes a while to end, and never more than tasks wait. For a gang, victims
    are chosen on the targets reserved for it: elsewhere, other work would
    take the freed capacity before the whole gang fits.
    """
    urgency = _URGENCIES[key.rank]
    if share.is_above_floor(tables, urgency):
        return
    waited_ms = tables.time - task.waiting_since
    if waited_ms < _MIN_WAIT_MS:
        return
    max_stopping = min(_MAX_STOPPING, tables.waiting.counts[key])
    if tables.preempting_attempts >= max_stopping:
        return
    victim = choose_victim(tables, urgency, task)
    if victim is not None:
        # The task gives way as a whole, also where it runs twice.
        stopped = tables.tasks[victim.task]
        for attempt in task_copy.live_attempts(tables, stopped):
            lifecycle.stop(tables, attempt, job.StopReason.PREEMPTED)


def is_due(tables: state.State) -> bool:
    """Return whether a waiting task may have work stopped for it.

    Steps of workflows never have.
    """
    return any(
        _is_overdue(tables, key, position.task)
        for key in tables.waiting.queues
        for position in tables.waiting.peek(key, 1)
    )


def _is_overdue(tables: state.State, key: waiting.QueueKey, name: str) -> bool:
    task = tables.tasks.get(identity.TaskId(name))
    if task is None or share.is_above_floor(tables, _URGENCIES[key.rank]):
        return False
    if tables.time - task.waiting_since < _MIN_WAIT_MS:
        return False
    return team_limit.allows(tables, task)


def choose_victim(
    tables: state.State,
    urgency: job.Urgency,
    task: job.Task,
) -> job.Attempt | None:
    """Return the attempt to stop, or None when none is eligible."""
    demand = tables.demand(task)
    gang_job = None
    if gang.is_unplaced_gang(tables, task):
        gang_job = task.job
    for other in reversed(_URGENCIES):
        if other is urgency or not share.is_above_floor(tables, other):
            continue
        victim = _find_victim(tables, other, demand, gang_job)
        if victim is not None:
            return victim
    return None


def _find_victim(
    tables: state.State,
    urgency: job.Urgency,
    demand: resource.Resources,
    gang_job: identity.JobId | None,
) -> job.Attempt | None:
    latest = itertools.islice(
        reversed(tables.attempts_by_urgency[urgency]), _MAX_SCANNED
    )
    return next(
        (
            tables.attempts[name]
            for _, name in latest
            if _is_eligible(tables, name, demand, gang_job)
        ),
        None,
    )


def _is_eligible(
    tables: state.State,
    name: identity.AttemptId,
    demand: resource.Resources,
    gang_job: identity.JobId | None,
) -> bool:
    attempt = tables.attempts[name]
    if attempt.stopping is not None:
        return False
    specification = tables.specification(tables.tasks[attempt.task])
    if not specification.is_idempotent:
        return False
    load: fleet.TargetLoad = tables.fleet.loads[attempt.target]
    if not load.is_open or load.reserved_for != gang_job:
        return False
    if gang.is_backfill(tables, attempt):
        return False
    return resource.fits(demand, resource.add(load.free, attempt.held))
