"""What holds back the waiting work of a team, as the scheduling pass sees it.

The pass asks find_gate before it tries a queue; explain_task applies the same
checks to one task, and names the figures that decide.
"""

from __future__ import annotations

import dataclasses
import enum
import itertools
from collections.abc import Mapping

from . import (
    advice,
    configuration,
    declared,
    job,
    queue_priority,
    queueing,
    resource,
    share,
    state,
    step_placement,
    team_limit,
    team_rate,
    token_bucket,
    waiting,
)

# Targets counted for one explanation, so that its cost is bounded.
_MAX_TARGETS = 256
# A token of a thousandth of a job, in millionths of a job.
_MILLIJOB = token_bucket.JOB // 1000

Figures = Mapping[str, int | str]


class Gate(enum.Enum):
    """A check that keeps the pass from trying any work of a queue."""

    QUOTA = 'quota'
    LIMIT = 'limit'
    HEADROOM = 'headroom'


class Cause(enum.Enum):
    """Why a task waits.

    The team's share of the cell is used up (quota), its limit on a resource is
    reached (limit), it is above its fair share and only headroom is left
    (share), its job is in excess of the agreed rate (rate), it waits for room
    near its data (near), the adviser has allowed no target with room (adviser),
    no target fits (room), or a target fits and the work is about to be tried or
    comes after other work (turn).
    """

    QUOTA = 'quota'
    LIMIT = 'limit'
    SHARE = 'share'
    RATE = 'rate'
    NEAR = 'near'
    ADVISER = 'adviser'
    ROOM = 'room'
    TURN = 'turn'


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Why a task waits, with the figures that the decision depends on."""

    cause: Cause
    figures: Figures


@dataclasses.dataclass(frozen=True, slots=True)
class _Room:
    """Targets that a task may use once they have room, that fit, and allowed.

    Targets with room count as allowed if no adviser has to be asked.
    """

    suitable: int
    fitting: int
    allowed: int


def find_gate(
    tables: state.State,
    key: waiting.QueueKey,
    priority: queue_priority.QueuePriority,
) -> Gate | None:
    """Return what keeps all work of a queue from being placed, or None.

    A team above its fair share leaves some of the cell free, so that others
    need not wait for a running task to end.
    """
    if share.is_over_quota(tables, key.team):
        return Gate.QUOTA
    if team_limit.is_closed(tables, key):
        return Gate.LIMIT
    is_borrowing = priority.is_above_floor and priority.is_above_fair_share
    if is_borrowing and not queue_priority.has_headroom(tables, priority):
        return Gate.HEADROOM
    return None


def explain_task(tables: state.State, task: job.Task) -> Wait:
    """Return why a task waits that fits on some target and is due."""
    fair_shares = share.compute_fair_shares(tables)
    return explain_team(tables, task, fair_shares) or _explain_room(
        tables, task
    )


def explain_team(
    tables: state.State, task: job.Task, fair_shares: share.FairShares
) -> Wait | None:
    """Return why a task waits if its team is the reason, otherwise None.

    The cost depends neither on the targets nor on the tasks. A team that is
    alone in a full cell waits for room, not for its share or rate.
    """
    key = queueing.key_of(tables, task)
    priority = queue_priority.compute(tables, key, fair_shares)
    gate = find_gate(tables, key, priority)
    if gate is Gate.QUOTA:
        return Wait(Cause.QUOTA, _describe_quota(tables, key.team))
    exceeded = _describe_limit(tables, task)
    if exceeded:
        return Wait(Cause.LIMIT, exceeded)
    wait = None
    is_behind = False
    if tables.jobs[task.job].is_excess:
        wait = Wait(Cause.RATE, _describe_rate(tables, task, priority))
        is_behind = bool(wait.figures['tasks_before'])
    elif gate is Gate.HEADROOM:
        entitlement = fair_shares.entitlement(share.weight_of(tables, key.team))
        figures = _describe_share(tables, priority, entitlement)
        wait = Wait(Cause.SHARE, figures)
        is_behind = bool(figures['other_teams_waiting'])
    is_gated = gate is not None and _has_room(tables, task)
    return wait if is_behind or is_gated else None


def is_gang(tables: state.State, task: job.Task) -> bool:
    """Return whether a task is placed only together with others."""
    needs = tables.task_specification(task)
    if isinstance(needs, job.StepSpecification):
        return needs.is_gang
    is_of_gang = tables.specification(task).kind is job.Kind.GANG
    return is_of_gang and not task.attempts


def _describe_quota(tables: state.State, team: str) -> Figures:
    limits = configuration.team_limits(tables.configuration.document, team)
    return {
        'used_ppm': share.of_team(tables, team),
        'quota_ppm': limits.quota,
    }


def _describe_limit(tables: state.State, task: job.Task) -> Figures:
    """Return the first resource whose limit a task exceeds, or nothing."""
    team = tables.specification(task).team
    room = team_limit.find_room(tables, team)
    if room is None:
        return {}
    wanted = _amount_at_once(tables, task)
    names = resource.list_insufficient(wanted, room)
    if not names:
        return {}
    name = names[0]
    held = tables.team_held.get(team, resource.NOTHING)
    return {
        'resource': name,
        'held': getattr(held, name),
        'limit': getattr(tables.team_limits[team], name),
        'wanted': getattr(wanted, name),
    }


def _amount_at_once(tables: state.State, task: job.Task) -> resource.Resources:
    """Return the amount that must be allowed at once for a task to start."""
    needs = tables.task_specification(task)
    if isinstance(needs, job.StepSpecification) and needs.is_gang:
        return resource.multiply(declared.amounts(needs), needs.count)
    return team_limit.amount_at_once(tables, task)


def _describe_rate(
    tables: state.State,
    task: job.Task,
    priority: queue_priority.QueuePriority,
) -> Figures:
    key = queueing.key_of(tables, task)
    team = team_rate.find_limited_team(tables, key.team)
    tokens = team_rate.current_bucket(tables, team).tokens if team else 0
    others = sum(
        count for other, count in tables.waiting.counts.items() if other != key
    )
    return {
        'millijobs_per_s': team.millijobs_per_s if team else 0,
        'tokens_millijobs': tokens // _MILLIJOB,
        'jobs_in_excess': tables.team_work.pending_excess[key.team],
        'tasks_before': others + _count_ahead(tables, task),
        'cell_used_ppm': share.of_all(tables),
        'headroom_ppm': queue_priority.headroom_of(tables, priority),
    }


def _describe_share(
    tables: state.State,
    priority: queue_priority.QueuePriority,
    entitlement: int,
) -> Figures:
    teams = {key.team for key in tables.waiting.queues}
    return {
        'used_ppm': share.of_team(tables, priority.team),
        'fair_share_ppm': entitlement,
        'cell_used_ppm': share.of_all(tables),
        'headroom_ppm': queue_priority.headroom_of(tables, priority),
        'other_teams_waiting': len(teams - {priority.team}),
    }


def _has_room(tables: state.State, task: job.Task) -> bool:
    fitting = tables.fleet.most_free(tables.demand(task))
    return next(fitting, None) is not None


def _explain_room(tables: state.State, task: job.Task) -> Wait:
    step = tables.steps.get(task.step_id())
    room = (
        _count_room_for_task(tables, task)
        if step is None
        else _count_room_for_step(tables, step)
    )
    figures = {
        'suitable_targets': room.suitable,
        'fitting_targets': room.fitting,
        'ahead_in_queue': _count_ahead(tables, task),
    }
    if not room.fitting:
        return Wait(Cause.ROOM, figures)
    if step is not None and step.near_wait_count:
        return Wait(Cause.NEAR, {**figures, **_describe_near(tables, step)})
    if step is not None and not room.allowed:
        return Wait(
            Cause.ADVISER, {**figures, **_describe_advice(tables, step)}
        )
    cause = Cause.ROOM if is_gang(tables, task) else Cause.TURN
    return Wait(cause, figures)


def _count_room_for_task(tables: state.State, task: job.Task) -> _Room:
    demand = tables.demand(task)
    found = itertools.islice(tables.fleet.most_free(demand), _MAX_TARGETS)
    fitting = sum(1 for _ in found)
    suitable = sum(
        resource.fits(demand, load.capacity) and load.is_available()
        for load in tables.fleet.loads.values()
    )
    return _Room(suitable, fitting, fitting)


def _count_room_for_step(tables: state.State, step: job.Step) -> _Room:
    demand = tables.step_specification(step).demand()
    suitable = step_placement.find_eligible_targets(tables, step.step)
    fitting = [load for load in suitable if resource.fits(demand, load.free)]
    allowed = len(fitting)
    if tables.jobs[step.job].specification.advice is not None:
        tickets = advice.find_valid_tickets(tables, step)
        allowed = sum(load.target in tickets for load in fitting)
    return _Room(len(suitable), len(fitting), allowed)


def _describe_near(tables: state.State, step: job.Step) -> Figures:
    return {
        'near_wait_tasks': step.near_wait_count,
        'near_wait_ms': tables.time - step.near_wait_at,
        'near_wait_ends_in_ms': step.near_wait_until - tables.time,
    }


def _describe_advice(tables: state.State, step: job.Step) -> Figures:
    asked_ms_ago = tables.time - step.asked_at if step.asked_at else 0
    return {
        'valid_tickets': len(advice.find_valid_tickets(tables, step)),
        'barred_targets': len(step.barred),
        'asked_ms_ago': asked_ms_ago,
        'is_request_pending': int(advice.is_request_pending(tables, step)),
    }


def _count_ahead(tables: state.State, task: job.Task) -> int:
    """Return the steps and tasks that come before a task in its queue."""
    queue = tables.waiting.queues.get(queueing.key_of(tables, task))
    if queue is None:
        return 0
    step = tables.steps.get(task.step_id())
    position = (
        queueing.position_of(task)
        if step is None
        else queueing.position_of_step(step)
    )
    return int(queue.bisect_left(position))
