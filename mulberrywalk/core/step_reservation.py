"""Reserves room for lasting tasks that have waited too long.

Answers a load under which every target that a step may run on stays full of
shorter work. What ends there is replaced within the same pass, so a lasting
task that has to come back would wait for as long as the load goes on.

Overdue tasks are placed before all other work. For those that fit nowhere,
room is withheld from the other work of the pass and, where that makes room
sooner, attempts that are no more urgent are stopped. Reservations are derived
anew in each pass and never stored.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from . import (
    absence,
    effect,
    fleet,
    identity,
    job,
    lifecycle,
    reclaim,
    resource,
    share,
    state,
    step_placement,
)

# Users count lasting work as lost once it has been absent for some seconds,
# so this leaves time to stop other work and to ask the adviser.
RESERVE_AFTER_MS = 1000
# Limits on one pass, so that other work goes on when much lasting work waits.
_MAX_STEPS = 16
_MAX_RESERVED_SHARE = resource.PARTS_PER_MILLION // 8


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Room withheld on a target for one task of a step."""

    step: identity.StepId
    load: fleet.TargetLoad
    demand: resource.Resources
    withheld: resource.Resources


def reserve(tables: state.State) -> list[Reservation]:
    """Place overdue lasting tasks; withhold room for those that remain.

    The caller releases the reservations at the end of the pass.
    """
    reserved: list[Reservation] = []
    for name in _find_overdue_steps(tables):
        step_placement.place(tables, name)
        if name in tables.waiting.steps:
            tables.waiting.exhausted_steps.add(name)
            _reserve_for_step(tables, name, reserved)
    return reserved


def release(tables: state.State, reserved: list[Reservation]) -> None:
    """Give withheld room back to its targets."""
    for one in reserved:
        free = resource.add(one.load.free, one.withheld)
        tables.fleet.update(one.load, free=free)


def _find_overdue_steps(tables: state.State) -> list[identity.StepId]:
    """Return the steps with overdue tasks, the longest absent first."""
    waits: dict[identity.StepId, int] = {}
    for name in tables.absent:
        task = tables.tasks[name]
        if _is_overdue(tables, task):
            since = absence.absent_since(tables, task)
            step = task.step_id()
            waits[step] = min(since, waits.get(step, since))
    ordered = sorted(waits, key=lambda step: (waits[step], step))
    return ordered[:_MAX_STEPS]


def _is_overdue(tables: state.State, task: job.Task) -> bool:
    if task.attempt is not None or task.not_before > tables.time:
        return False
    if share.is_over_quota(tables, tables.specification(task).team):
        return False
    absent_ms = tables.time - absence.absent_since(tables, task)
    return absent_ms >= RESERVE_AFTER_MS


def _reserve_for_step(
    tables: state.State, name: identity.StepId, reserved: list[Reservation]
) -> None:
    """Reserve room for the overdue tasks of a step, within the share."""
    for number in tables.waiting.steps[name]:
        task = tables.tasks[identity.TaskId(f'{name}.{number}')]
        if not _is_overdue(tables, task):
            continue
        if not _is_within_share(tables, task, reserved):
            return
        option = _choose_option(tables, task, reserved)
        if option is None:
            return
        _stop_victims(tables, task, option)
        reserved.append(_withhold(tables, task, option.load))


def _is_within_share(
    tables: state.State, task: job.Task, reserved: list[Reservation]
) -> bool:
    """Return whether the share that may be reserved holds one more task.

    The first one is always held, however large it is.
    """
    total = tables.demand(task)
    for one in reserved:
        total = resource.add(total, one.demand)
    used = resource.dominant_share(total, tables.fleet.total)
    return not reserved or used <= _MAX_RESERVED_SHARE


def _choose_option(
    tables: state.State, task: job.Task, reserved: list[Reservation]
) -> reclaim.Option | None:
    found = (
        reclaim.find_option(tables, task, load)
        for load in _find_allowed(tables, task, reserved)
    )
    options = [option for option in found if option is not None]
    return min(options, key=lambda option: _rank(tables, option), default=None)


def _find_allowed(
    tables: state.State, task: job.Task, reserved: list[Reservation]
) -> Iterator[fleet.TargetLoad]:
    """Yield the targets that a task may run on, once each for its step."""
    step = tables.steps[task.step_id()]
    is_advised = tables.specification(task).advice is not None
    allowed = {ticket.target for ticket in step.tickets}
    names = allowed if is_advised else None
    taken = {one.load.target for one in reserved if one.step == step.step}
    for load in step_placement.find_eligible_targets(tables, step.step, names):
        if not (load.is_on_probation or load.target in taken):
            yield load


def _rank(
    tables: state.State, option: reclaim.Option
) -> tuple[bool, bool, int, str]:
    """Return the sort key of an option, the soonest and cheapest first."""
    stopped = sum(victim.held.millicores for victim in option.victims)
    is_unsteady = step_placement.is_unsteady(tables, option.load)
    return option.needs_wait, is_unsteady, stopped, option.load.target


def _withhold(
    tables: state.State, task: job.Task, load: fleet.TargetLoad
) -> Reservation:
    """Take up to the demand of a task from what is free on a target."""
    demand = tables.demand(task)
    available = resource.elementwise_min(demand, load.free)
    withheld = resource.elementwise_max(resource.NOTHING, available)
    tables.fleet.update(load, free=resource.subtract(load.free, withheld))
    return Reservation(task.step_id(), load, demand, withheld)


def _stop_victims(
    tables: state.State, task: job.Task, option: reclaim.Option
) -> None:
    for victim in option.victims:
        lifecycle.stop(tables, victim, job.StopReason.PREEMPTED)
    if not option.victims:
        return
    absent_ms = tables.time - absence.absent_since(tables, task)
    durations = {'absent_ms': absent_ms, 'stopped': len(option.victims)}
    tables.emit(
        effect.Trace(
            'room reserved',
            job=task.job,
            task=task.task,
            target=option.load.target,
            detail=effect.format_detail(durations),
        )
    )
