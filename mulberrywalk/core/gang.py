"""Jobs whose tasks all start together, and the targets kept for them."""

from __future__ import annotations

import dataclasses
import itertools

from . import (
    effect,
    fleet,
    identity,
    job,
    lifecycle,
    placement,
    resource,
    state,
)

_REVIEW_MS = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class Availability:
    """What a target will have free, and when its batch work should end."""

    free_at: int
    load: fleet.TargetLoad
    free: resource.Resources


def is_unplaced_gang(tables: state.State, task: job.Task) -> bool:
    """Return whether a task stands for a gang that was not placed yet."""
    kind = tables.specification(task).kind
    return kind is job.Kind.GANG and not task.attempts


def place(tables: state.State, first: job.Task) -> bool:
    """Place all tasks of a gang or none; the first stands for all.

    A gang that has waited long gets targets kept for it, of which batch work
    runs out; only one gang has that at a time.
    """
    waiting = [
        task
        for task in lifecycle.tasks_of(tables, tables.jobs[first.job])
        if task.state is job.TaskState.WAITING
    ]
    _lend(tables, first.job)
    chosen = _allocate(tables, waiting)
    if chosen is None:
        _reserve_when_overdue(tables, first)
        return False
    for task, load in zip(waiting, chosen, strict=True):
        lifecycle.place(tables, task, load)
    if tables.reservation and tables.reservation.job == first.job:
        _cancel_reservation(tables)
    return True


def find_backfill_target(
    tables: state.State, task: job.Task
) -> fleet.TargetLoad | None:
    """Return a kept target on which a task ends before the gang starts."""
    reservation = tables.reservation
    if reservation is None:
        return None
    estimate_ms = tables.task_specification(task).estimate_ms
    if tables.time + estimate_ms > reservation.starts_at:
        return None
    demand = tables.demand(task)
    loads = (tables.fleet.loads[name] for name in reservation.targets)
    return next(
        (
            load
            for load in loads
            if load.is_open
            and not load.is_on_probation
            and resource.fits(demand, load.free)
        ),
        None,
    )


def is_backfill(tables: state.State, attempt: job.Attempt) -> bool:
    """Return whether an attempt was placed on targets kept for a gang.

    It ends before the gang is expected to start, so it is not in its way.
    """
    reservation = tables.reservation
    return (
        reservation is not None
        and attempt.target in reservation.targets
        and attempt.placed_at >= reservation.made_at
    )


def review_reservation(tables: state.State) -> None:
    """Drop a reservation whose gang is gone or whose targets have changed."""
    reservation = tables.reservation
    if reservation is None:
        return
    record = tables.jobs.get(reservation.job)
    is_waiting = record is not None and record.state is job.JobState.QUEUED
    is_whole = all(
        name in tables.fleet.loads and tables.fleet.loads[name].is_open
        for name in reservation.targets
    )
    is_late = tables.time > reservation.starts_at + _REVIEW_MS
    if not (is_waiting and is_whole) or is_late:
        _cancel_reservation(tables)


def _allocate(
    tables: state.State, tasks: list[job.Task]
) -> list[fleet.TargetLoad] | None:
    """Try the tasks one after the other and undo all; None if one fails."""
    policy = placement.POLICIES[job.Kind.GANG]
    chosen: list[fleet.TargetLoad] = []
    taken: list[resource.Resources] = []
    for task in tasks:
        demand = tables.demand(task)
        load = policy.choose(tables.fleet, placement.Request(demand))
        if load is None:
            break
        chosen.append(load)
        taken.append(demand)
        tables.fleet.update(load, free=resource.subtract(load.free, demand))
    for load, demand in zip(chosen, taken, strict=True):
        tables.fleet.update(load, free=resource.add(load.free, demand))
    if len(chosen) < len(tasks) or _doubles_probe(chosen):
        return None
    return chosen


def _doubles_probe(chosen: list[fleet.TargetLoad]) -> bool:
    probed = [load.target for load in chosen if load.is_on_probation]
    return len(probed) > len(set(probed))


def _lend(tables: state.State, gang: identity.JobId) -> None:
    # The targets kept for this gang are open to it while it is tried.
    reservation = tables.reservation
    if reservation is None or reservation.job != gang:
        return
    for name in reservation.targets:
        tables.fleet.reserve(tables.fleet.loads[name], None)


def _keep(tables: state.State, reservation: state.Reservation) -> None:
    for name in reservation.targets:
        tables.fleet.reserve(tables.fleet.loads[name], reservation.job)


def _cancel_reservation(tables: state.State) -> None:
    reservation = tables.reservation
    if reservation is None:
        return
    tables.reservation = None
    for name in reservation.targets:
        load = tables.fleet.loads.get(name)
        if load is not None:
            tables.fleet.reserve(load, None)


def _reserve_when_overdue(tables: state.State, first: job.Task) -> None:
    if tables.reservation is not None:
        if tables.reservation.job == first.job:
            _keep(tables, tables.reservation)
        return
    patience = tables.configuration.document.gang_reservation_ms
    if tables.time < first.waiting_since + patience:
        return
    outlooks = _choose_outlooks(tables, first)
    if not outlooks:
        return
    tables.reservation = state.Reservation(
        job=first.job,
        targets=tuple(outlook.load.target for outlook in outlooks),
        starts_at=max(outlook.free_at for outlook in outlooks),
        made_at=tables.time,
    )
    _keep(tables, tables.reservation)
    tables.emit(
        effect.Trace(
            'reserved', job=first.job, detail=f'{len(outlooks)} targets'
        )
    )


def _choose_outlooks(
    tables: state.State, first: job.Task
) -> list[Availability]:
    """Return the soonest free targets that hold the whole gang, or none."""
    specification = tables.specification(first)
    outlooks = sorted(
        (
            _foresee(tables, load)
            for load in tables.fleet.loads.values()
            if load.is_open and not load.is_on_probation
        ),
        key=_when_free,
    )
    demands = [needs.demand() for needs in specification.tasks]
    chosen: list[Availability] = []
    for outlook in outlooks:
        count = _count_fitting(demands, outlook.free)
        if count:
            chosen.append(outlook)
            demands = demands[count:]
        if not demands:
            return chosen
    return []


def _count_fitting(
    demands: list[resource.Resources], free: resource.Resources
) -> int:
    sums = itertools.accumulate(demands, resource.add)
    # Sums only grow: once one does not fit, none after it does.
    return sum(resource.fits(held, free) for held in sums)


def _when_free(outlook: Availability) -> tuple[int, str]:
    return outlook.free_at, outlook.load.target


def _foresee(tables: state.State, load: fleet.TargetLoad) -> Availability:
    free = load.capacity
    free_at = tables.time
    for name in load.attempts:
        attempt = tables.attempts[name]
        task = tables.tasks[attempt.task]
        if tables.specification(task).kind is job.Kind.SERVICE:
            free = resource.subtract(free, attempt.held)
            continue
        estimate = tables.task_specification(task).estimate_ms
        ends_at = (attempt.started_at or attempt.placed_at) + estimate
        free_at = max(free_at, ends_at)
    return Availability(free_at, load, free)
