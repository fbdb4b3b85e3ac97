"""Gangs, whose tasks all start together, and target reservations for them."""

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
    team_limit,
)

_RESERVATION_GRACE_MS = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class Availability:
    """Expected free capacity of a target and the end of its batch work."""

    free_at: int
    load: fleet.TargetLoad
    free: resource.Resources


def is_unplaced_gang(tables: state.State, task: job.Task) -> bool:
    """Return whether a task represents a gang that was not placed yet."""
    kind = tables.specification(task).kind
    return kind is job.Kind.GANG and not task.attempts


def place(tables: state.State, first: job.Task) -> bool:
    """Place all tasks of a gang or none; the first task represents all.

    For a gang that has waited long, targets are reserved until their batch
    work has ended. Only one gang has a reservation at a time.
    """
    if not team_limit.allows(tables, first):
        return False
    waiting = [
        task
        for task in lifecycle.tasks_of(tables, tables.jobs[first.job])
        if task.state is job.TaskState.WAITING
    ]
    _release_reserved_targets(tables, first.job)
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
    """Return a reserved target on which a task ends before the gang starts.

    Returns None when there is none.
    """
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
    """Return whether an attempt was placed on a target reserved for a gang.

    Such an attempt should end before the gang starts, so it does not delay it.
    """
    reservation = tables.reservation
    return (
        reservation is not None
        and attempt.target in reservation.targets
        and attempt.placed_at >= reservation.made_at
    )


def review_reservation(tables: state.State) -> None:
    """Cancel the reservation if it is overdue or no longer valid.

    It is valid while its gang is queued, its team's limit has room for it and
    all of its targets are open.
    """
    reservation = tables.reservation
    if reservation is None:
        return
    record = tables.jobs.get(reservation.job)
    is_waiting = (
        record is not None
        and record.state is job.JobState.QUEUED
        and team_limit.allows(tables, lifecycle.tasks_of(tables, record)[0])
    )
    are_targets_open = all(
        name in tables.fleet.loads and tables.fleet.loads[name].is_open
        for name in reservation.targets
    )
    is_overdue = tables.time > reservation.starts_at + _RESERVATION_GRACE_MS
    if not (is_waiting and are_targets_open) or is_overdue:
        _cancel_reservation(tables)


def find_reserving_job(
    tables: state.State, name: identity.TargetId
) -> identity.JobId | None:
    """Return the gang that a target is reserved for, or None."""
    reservation = tables.reservation
    if reservation is None or name not in reservation.targets:
        return None
    return reservation.job


def cancel_reservation_of(tables: state.State, name: identity.TargetId) -> None:
    """Cancel the reservation if it names a target, which is to be removed."""
    if find_reserving_job(tables, name) is not None:
        _cancel_reservation(tables)


def _allocate(
    tables: state.State, tasks: list[job.Task]
) -> list[fleet.TargetLoad] | None:
    """Return a target for each task, or None if one fits nowhere.

    The tasks take their capacity one after the other; all of it is released
    again before the return.
    """
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
    if len(chosen) < len(tasks) or _repeats_probation_target(chosen):
        return None
    return chosen


def _repeats_probation_target(chosen: list[fleet.TargetLoad]) -> bool:
    on_probation = [load.target for load in chosen if load.is_on_probation]
    return len(on_probation) > len(set(on_probation))


def _release_reserved_targets(
    tables: state.State, gang_job: identity.JobId
) -> None:
    # The gang may use its own reserved targets while it is being placed.
    reservation = tables.reservation
    if reservation is None or reservation.job != gang_job:
        return
    for name in reservation.targets:
        tables.fleet.reserve(tables.fleet.loads[name], None)


def _reserve_targets(
    tables: state.State, reservation: state.Reservation
) -> None:
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
            _reserve_targets(tables, tables.reservation)
        return
    reserve_after_ms = tables.configuration.document.gang_reservation_ms
    if tables.time < first.waiting_since + reserve_after_ms:
        return
    availabilities = _choose_availabilities(tables, first)
    if not availabilities:
        return
    tables.reservation = state.Reservation(
        job=first.job,
        targets=tuple(
            availability.load.target for availability in availabilities
        ),
        starts_at=max(availability.free_at for availability in availabilities),
        made_at=tables.time,
    )
    _reserve_targets(tables, tables.reservation)
    tables.emit(
        effect.Trace(
            'reserved', job=first.job, detail=f'{len(availabilities)} targets'
        )
    )


def _choose_availabilities(
    tables: state.State, first: job.Task
) -> list[Availability]:
    """Return the first targets to be free that hold the gang, or none."""
    specification = tables.specification(first)
    availabilities = sorted(
        (
            _predict_availability(tables, load)
            for load in tables.fleet.loads.values()
            if load.is_open and not load.is_on_probation
        ),
        key=_free_order,
    )
    demands = [needs.demand() for needs in specification.tasks]
    chosen: list[Availability] = []
    for availability in availabilities:
        count = _count_fitting(demands, availability.free)
        if count:
            chosen.append(availability)
            demands = demands[count:]
        if not demands:
            return chosen
    return []


def _count_fitting(
    demands: list[resource.Resources], free: resource.Resources
) -> int:
    sums = itertools.accumulate(demands, resource.add)
    # The sums only grow: after the first that does not fit, none fits.
    return sum(resource.fits(total, free) for total in sums)


def _free_order(availability: Availability) -> tuple[int, str]:
    return availability.free_at, availability.load.target


def _predict_availability(
    tables: state.State, load: fleet.TargetLoad
) -> Availability:
    free = load.capacity
    free_at = tables.time
    for name in load.attempts:
        attempt = tables.attempts[name]
        task = tables.tasks[attempt.task]
        if tables.specification(task).kind is job.Kind.SERVICE:
            free = resource.subtract(free, attempt.held)
            continue
        expected_ms = tables.task_specification(task).estimate_ms
        ends_at = (attempt.started_at or attempt.placed_at) + expected_ms
        free_at = max(free_at, ends_at)
    return Availability(free_at, load, free)
