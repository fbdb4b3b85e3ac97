"""Reserves room for lasting tasks that have waited too long.

Answers a load under which every target that a step may run on stays full of
shorter work. What ends there is replaced within the same pass, so a lasting
task that has to come back would wait for as long as the load goes on.

Overdue tasks are placed before all other work. For those that fit nowhere, and
for tasks on silent targets whose lease is about to expire, room is withheld
from the other work of the pass and, where that makes room sooner, attempts that
are no more urgent are stopped. Which room is withheld is chosen anew at
intervals, as the choice is most of the work of a pass; the passes in between
withhold the same room.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from . import (
    absence,
    absence_target,
    effect,
    fleet,
    identity,
    job,
    lifecycle,
    preemption,
    reclaim,
    resource,
    share,
    silent_work,
    state,
    step_placement,
    team_limit,
)

# Users count lasting work as lost once it has been absent for some seconds,
# so this leaves time to stop other work and to ask the adviser.
RESERVE_AFTER_MS = 1000
# How often room is chosen; lasting work waits for that long in addition.
CHOICE_INTERVAL_MS = 100
# Time to stop other work before the lease of a silent target has expired.
PREPARE_MS = 1000
# Limits on one pass, so that other work goes on when much lasting work waits,
# and so that a pass stays short on a large fleet.
_MAX_STEPS = 16
_MAX_RESERVATIONS = 8
_MAX_TARGETS = 16
_MAX_RESERVED_SHARE = resource.PARTS_PER_MILLION // 8
# Lasting work that has never run goes before more urgent work up to this share.
_MAX_URGENCY_SHARE = resource.PARTS_PER_MILLION // 2
# Steps beyond the limit take turns for this long each.
_TURN_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Room withheld on a target for one task of a step.

    held is what it counts against the limit of the team.
    """

    task: identity.TaskId
    step: identity.StepId
    load: fleet.TargetLoad
    demand: resource.Resources
    team: str
    held: resource.Resources


def reserve(tables: state.State) -> list[Reservation]:
    """Place overdue lasting tasks; withhold room for those that remain.

    The caller releases the reservations at the end of the pass. There are none
    while room is made for work below its floor, which would be given away.
    """
    if tables.time - tables.withheld_at < CHOICE_INTERVAL_MS:
        return _withhold_again(tables)
    reserved = _choose_room(tables)
    tables.withheld_at = tables.time
    tables.withheld = tuple(
        state.WithheldRoom(one.task, one.load.target) for one in reserved
    )
    return reserved


def release(tables: state.State, reserved: list[Reservation]) -> None:
    """Give withheld room back to its targets."""
    for one in reserved:
        free = resource.add(one.load.free, one.demand)
        tables.fleet.update(one.load, free=free)
        released = resource.subtract(resource.NOTHING, one.held)
        state.adjust_held(tables, one.team, released)


def _choose_room(tables: state.State) -> list[Reservation]:
    reserved: list[Reservation] = []
    due = _find_due(tables)
    if not due or preemption.is_due(tables):
        return reserved
    for name in _order_steps(tables, due):
        if not _place_overdue(tables, name):
            _reserve_for_step(tables, name, due, reserved)
    return reserved


def _withhold_again(tables: state.State) -> list[Reservation]:
    """Withhold the room that was chosen last, for tasks that still need it."""
    if not tables.withheld or preemption.is_due(tables):
        return []
    return [
        _withhold(tables, tables.tasks[one.task], load)
        for one in tables.withheld
        if (load := tables.fleet.loads.get(one.target)) is not None
        and _needs_room(tables, one.task)
    ]


def _needs_room(tables: state.State, name: identity.TaskId) -> bool:
    """Return whether a task has not been placed, nor cancelled."""
    task = tables.tasks.get(name)
    if task is None or task.ended_at:
        return False
    return not _is_placed(tables, task) and team_limit.may_return(tables, task)


def _place_overdue(tables: state.State, name: identity.StepId) -> bool:
    """Place the waiting tasks of a step; return whether any was placed."""
    if name not in tables.waiting.steps:
        return False
    is_placed = step_placement.place(tables, name, is_overdue=True)
    if name in tables.waiting.steps and not is_placed:
        tables.waiting.exhausted_steps.add(name)
    return is_placed


def _find_due(tables: state.State) -> dict[identity.TaskId, int]:
    """Return the tasks to reserve room for, and the time that orders them.

    Tasks that wait and are overdue are ordered by when they last ran. They come
    before tasks on silent targets whose lease expires within PREPARE_MS.
    """
    waiting = (tables.tasks[name] for name in tables.absent)
    due = {
        task.task: absence.absent_since(tables, task)
        for task in waiting
        if _is_waiting(tables, task)
    }
    overdue = {
        name: since
        for name, since in due.items()
        if tables.time - since >= RESERVE_AFTER_MS
    }
    returning = {
        attempt.task: expires_at
        for expires_at, attempt in silent_work.find_attempts(tables)
        if expires_at - tables.time <= PREPARE_MS
        and team_limit.may_return(tables, tables.tasks[attempt.task])
    }
    return {**returning, **overdue}


def _is_waiting(tables: state.State, task: job.Task) -> bool:
    """Return whether a task waits, or will once a short retry delay is over."""
    if task.attempt is not None or task.not_before > tables.time + PREPARE_MS:
        return False
    specification = tables.specification(task)
    if share.is_over_quota(tables, specification.team):
        return False
    if not team_limit.allows(tables, task):
        return False
    return bool(task.first_started_at) or _may_go_first(tables, specification)


def _may_go_first(
    tables: state.State, specification: job.Specification
) -> bool:
    """Return whether work that has never run may go before other work."""
    rank = job.rank(specification.urgency)
    if all(key.rank >= rank for key in tables.waiting.queues):
        return True
    used = share.of_urgency(tables, specification.urgency)
    return used < _MAX_URGENCY_SHARE


def _order_steps(
    tables: state.State, due: dict[identity.TaskId, int]
) -> list[identity.StepId]:
    """Return the steps of tasks in the order of their times.

    Of more than _MAX_STEPS, the first half is always returned and the others
    take turns, so that steps without any target do not keep them out.
    """
    tasks = sorted(due, key=lambda name: (due[name], name))
    steps = list(dict.fromkeys(_step_of(name) for name in tasks))
    always = steps[: _MAX_STEPS // 2]
    others = steps[_MAX_STEPS // 2 :]
    turn = tables.time // _TURN_MS % max(1, len(others))
    in_turn = others[turn:] + others[:turn]
    return always + in_turn[: _MAX_STEPS - len(always)]


def _step_of(name: identity.TaskId) -> identity.StepId:
    return identity.StepId(name.rpartition('.')[0])


def _reserve_for_step(
    tables: state.State,
    name: identity.StepId,
    due: dict[identity.TaskId, int],
    reserved: list[Reservation],
) -> None:
    """Reserve room for the tasks of a step that are still due."""
    tasks = (tables.tasks[due_name] for due_name in sorted(due))
    remaining = [
        task
        for task in tasks
        if task.step_id() == name and not _is_placed(tables, task)
    ]
    for task in remaining:
        if not _is_within_limits(tables, task, reserved):
            return
        option = _choose_option(tables, task, reserved)
        if option is None:
            return
        _stop_victims(tables, task, option)
        reserved.append(_withhold(tables, task, option.load))


def _is_placed(tables: state.State, task: job.Task) -> bool:
    """Return whether a task is on a target that isn't silent."""
    if task.attempt is None:
        return False
    return tables.attempts[task.attempt].target not in tables.silent


def _is_within_limits(
    tables: state.State, task: job.Task, reserved: list[Reservation]
) -> bool:
    """Return whether one more task may be reserved for in this pass.

    The first one always is, however large it is.
    """
    if not team_limit.may_return(tables, task):
        return False
    total = tables.demand(task)
    for one in reserved:
        total = resource.add(total, one.demand)
    used = resource.dominant_share(total, tables.fleet.total)
    is_within_share = not reserved or used <= _MAX_RESERVED_SHARE
    return is_within_share and len(reserved) < _MAX_RESERVATIONS


def _choose_option(
    tables: state.State, task: job.Task, reserved: list[Reservation]
) -> reclaim.Option | None:
    allowed = _find_allowed(tables, task, reserved)
    fitting = (reclaim.find_option(tables, task, load) for load in allowed)
    moves = (
        reclaim.find_move(tables, task, load)
        for load in allowed[: reclaim.MAX_MOVE_TARGETS]
    )
    return _find_best(tables, fitting) or _find_best(tables, moves)


def _find_best(
    tables: state.State, found: Iterator[reclaim.Option | None]
) -> reclaim.Option | None:
    options = (option for option in found if option is not None)
    return min(options, key=lambda option: _rank(tables, option), default=None)


def _find_allowed(
    tables: state.State, task: job.Task, reserved: list[Reservation]
) -> list[fleet.TargetLoad]:
    """Return the targets that a task may run on, the most free first."""
    step = tables.steps[task.step_id()]
    names = absence_target.find_allowed(tables, task)
    taken: set[identity.TargetId] = set()
    if tables.step_specification(step).per_target_limit:
        taken = {one.load.target for one in reserved if one.step == step.step}
    loads = step_placement.find_eligible_targets(tables, step.step, names)
    remaining = [load for load in loads if load.target not in taken]
    return sorted(remaining, key=reclaim.most_free_first)[:_MAX_TARGETS]


def _rank(
    tables: state.State, option: reclaim.Option
) -> tuple[bool, bool, bool, int, str]:
    """Return the sort key of an option, the soonest and cheapest first."""
    stopped = sum(victim.held.millicores for victim in option.victims)
    is_unsteady = step_placement.is_unsteady(tables, option.load)
    is_set_aside = not option.load.is_available()
    return (
        option.needs_wait,
        is_set_aside,
        is_unsteady,
        stopped,
        option.load.target,
    )


def _withhold(
    tables: state.State, task: job.Task, load: fleet.TargetLoad
) -> Reservation:
    """Take the demand of a task from what is free on a target.

    What is free becomes negative where other work has to end first, so that no
    other reservation counts on the same work.
    """
    demand = tables.demand(task)
    tables.fleet.update(load, free=resource.subtract(load.free, demand))
    return Reservation(
        task.task,
        task.step_id(),
        load,
        demand,
        tables.specification(task).team,
        team_limit.withhold(tables, task),
    )


def _stop_victims(
    tables: state.State, task: job.Task, option: reclaim.Option
) -> None:
    for victim in option.victims:
        lifecycle.stop(tables, victim, _stop_reason(tables, victim))
    if not option.victims:
        return
    reason = 'silent target' if task.attempt else 'overdue'
    counts = effect.format_detail({'stopped': len(option.victims)})
    tables.emit(
        effect.Trace(
            'room reserved',
            job=task.job,
            task=task.task,
            target=option.load.target,
            detail=f'{reason}: {counts}',
        )
    )


def _stop_reason(tables: state.State, victim: job.Attempt) -> job.StopReason:
    is_moved = state.is_lasting(tables, tables.tasks[victim.task])
    return job.StopReason.RELOCATED if is_moved else job.StopReason.PREEMPTED
