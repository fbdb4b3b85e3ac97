"""Placement of the waiting tasks of a step, as many as fit.

The load that this answers: wide steps of equal tasks, of which some targets
are ruled out by the adviser, by labels or by tasks of the same step.
"""

from __future__ import annotations

import dataclasses
import itertools

import msgspec

from . import (
    advice,
    fleet,
    identity,
    job,
    lifecycle,
    resource,
    speed,
    state,
    workflow,
)

# Targets that are looked at for a step without an adviser.
_CANDIDATES = 64
_SHUNNED_ENDS = job.NEVER_RAN_REASONS | {
    job.EndReason.FAILED,
    job.EndReason.SESSION_LOST,
    job.EndReason.LEASE_LAPSED,
}
# Targets count as equally fast within so many permille.
_ALIKE = 100


@dataclasses.dataclass(frozen=True, slots=True)
class StepPlacement:
    """One step that is being placed; tickets are empty without an adviser."""

    step: job.Step
    needs: job.StepSpecification
    demand: resource.Resources
    candidates: list[fleet.TargetLoad]
    tickets: dict[identity.TargetId, str]


def place(tables: state.State, name: identity.StepId) -> bool:
    """Place what fits of a step; return whether anything was placed.

    A step that could place more with other tickets asks for them.
    """
    step = tables.steps[name]
    needs = tables.step_specification(step)
    is_unadvised = bool(step.asked_at) and not step.tickets
    if is_unadvised and advice.is_request_pending(tables, step):
        return False
    if next(tables.fleet.most_free(needs.demand()), None) is None:
        return False
    numbers = list(tables.waiting.steps.get(name, ()))
    if needs.is_gang and len(numbers) < needs.count:
        return False
    suitable = _suitable(tables, step, needs)
    started = _begin(tables, step, needs, suitable)
    if needs.is_gang:
        count = _place_gang(tables, started, numbers)
    else:
        count = _place_each(tables, started, numbers)
    if count < len(numbers):
        advice.request_advice(
            tables, tables.steps[name], find_eligible_targets(tables, name)
        )
    return count > 0


def find_eligible_targets(
    tables: state.State, name: identity.StepId
) -> list[fleet.TargetLoad]:
    """Return where a step could run but for advice, and for room with it."""
    step = tables.steps[name]
    needs = tables.step_specification(step)
    return [
        load
        for load in _suitable(tables, step, needs)
        if _is_below_limit(tables, step, load)
    ]


def _begin(
    tables: state.State,
    step: job.Step,
    needs: job.StepSpecification,
    suitable: list[fleet.TargetLoad],
) -> StepPlacement:
    tickets: dict[identity.TargetId, str] = {}
    candidates = suitable
    if tables.jobs[step.job].specification.advice is not None:
        tickets = advice.find_valid_tickets(tables, step)
        candidates = [load for load in suitable if load.target in tickets]
    return StepPlacement(step, needs, needs.demand(), candidates, tickets)


def _suitable(
    tables: state.State, step: job.Step, needs: job.StepSpecification
) -> list[fleet.TargetLoad]:
    """Return the open targets on which the step may run, but for advice."""
    specification = tables.jobs[step.job].specification
    demand = needs.demand()
    # In the order of their names: a restored replica has another one.
    loads = (
        load
        for _, load in sorted(tables.fleet.loads.items())
        if load.is_available()
        and load.matches(specification.pool, needs.label)
        and resource.fits(demand, load.capacity)
    )
    if specification.advice is not None:
        return list(loads)
    fitting = (load for load in loads if resource.fits(demand, load.free))
    return list(itertools.islice(fitting, _CANDIDATES))


def _place_each(
    tables: state.State, started: StepPlacement, numbers: list[int]
) -> int:
    for count, number in enumerate(numbers):
        task = _task(tables, started.step, number)
        load = _choose(tables, started, task)
        if load is None:
            return count
        _place(tables, started, task, load, task.attempts + 1)
    return len(numbers)


def _place_gang(
    tables: state.State, started: StepPlacement, numbers: list[int]
) -> int:
    """Place all members on targets that hold them together, or none."""
    racks = {load.rack for load in started.candidates}
    choices = [started.candidates]
    if started.needs.is_rack_local:
        choices = [
            *(
                [load for load in started.candidates if load.rack == rack]
                for rack in sorted(racks)
            ),
            started.candidates,
        ]
    for candidates in choices:
        chosen = _allocate(tables, started, candidates, len(numbers))
        if chosen is not None:
            _place_members(tables, started, numbers, chosen)
            return len(numbers)
    return 0


def _place_members(
    tables: state.State,
    started: StepPlacement,
    numbers: list[int],
    chosen: list[fleet.TargetLoad],
) -> None:
    run = workflow.highest_attempt_number(tables, started.step) + 1
    members = [_task(tables, started.step, number) for number in numbers]
    # What any member has saved holds for all, and all have to carry the same.
    saved = next((one.checkpoint for one in members if one.checkpoint), '')
    for member, load in zip(members, chosen, strict=True):
        task = msgspec.structs.replace(member, checkpoint=saved)
        _place(tables, started, task, load, run)


def _allocate(
    tables: state.State,
    started: StepPlacement,
    candidates: list[fleet.TargetLoad],
    count: int,
) -> list[fleet.TargetLoad] | None:
    """Return targets for that many equal tasks, the steady and full first."""
    chosen: list[fleet.TargetLoad] = []
    by_fullness = sorted(candidates, key=_fullness)
    steady_first = sorted(
        by_fullness, key=lambda load: _is_unsteady(tables, load)
    )
    for load in steady_first:
        room = resource.count_fitting(started.demand, load.free, job.MAX_TASKS)
        if load.is_on_probation:
            room = min(room, 1)
        limit = started.needs.per_target_limit
        if limit:
            room = min(
                room,
                limit
                - state.count_step_attempts(
                    tables, started.step.step, load.target
                ),
            )
        chosen.extend(itertools.repeat(load, max(0, room)))
        if len(chosen) >= count:
            return chosen[:count]
    return None


def _choose(
    tables: state.State, started: StepPlacement, task: job.Task
) -> fleet.TargetLoad | None:
    fitting = [
        load
        for load in started.candidates
        if resource.fits(started.demand, load.free)
        and load.is_available()
        and _is_below_limit(tables, started.step, load)
    ]
    if not fitting:
        return None
    shunned = _find_shunned(task)
    present = tables.step_loads.get(started.step.step, ())
    racks = {tables.fleet.loads[name].rack for name in present}
    needs = started.needs

    def rank(load: fleet.TargetLoad) -> tuple[int, ...]:
        return (
            int(load.target in shunned),
            int(_is_unsteady(tables, load)),
            int(bool(needs.data_rack) and load.rack != needs.data_rack),
            int(needs.is_rack_local and bool(racks) and load.rack not in racks),
            *_crowding(tables, started, load),
        )

    return min(fitting, key=lambda load: (rank(load), load.target))


def _crowding(
    tables: state.State, started: StepPlacement, load: fleet.TargetLoad
) -> tuple[int, ...]:
    """Return what orders targets that are equally near."""
    needs = started.needs
    if needs.is_lasting:
        siblings = state.count_step_attempts(
            tables, started.step.step, load.target
        )
        return siblings, -load.free.millicores
    if needs.is_filler:
        return _count_serving(tables, load), -load.free.millicores
    slowness = speed.slowness_of(tables, load.target)
    urgency = tables.jobs[started.step.job].specification.urgency
    if job.rank(urgency) == 0:
        return slowness // _ALIKE, load.free.millicores
    # Fast targets are left to urgent work, as long as there are others.
    is_slow = slowness > speed.SLOW_THRESHOLD
    return int(is_slow), -(slowness // _ALIKE), load.free.millicores


def _count_serving(tables: state.State, load: fleet.TargetLoad) -> int:
    """Return how many tasks with a latency target are on a target."""
    tasks = (tables.tasks[tables.attempts[name].task] for name in load.attempts)
    return sum(
        bool(getattr(tables.task_specification(one), 'latency_target_ms', 0))
        for one in tasks
    )


def _is_below_limit(
    tables: state.State, step: job.Step, load: fleet.TargetLoad
) -> bool:
    limit = tables.step_specification(step).per_target_limit
    return (
        not limit
        or state.count_step_attempts(tables, step.step, load.target) < limit
    )


def _find_shunned(task: job.Task) -> set[identity.TargetId]:
    """Return the targets on which the task has failed or was lost before."""
    return {
        ended.target for ended in task.history if ended.reason in _SHUNNED_ENDS
    }


def _is_unsteady(tables: state.State, load: fleet.TargetLoad) -> bool:
    return tables.targets[load.target].unsteady_until > tables.time


def _fullness(load: fleet.TargetLoad) -> tuple[int, str]:
    return load.free.millicores, load.target


def _task(tables: state.State, step: job.Step, number: int) -> job.Task:
    return tables.tasks[identity.TaskId(f'{step.step}.{number}')]


def _place(
    tables: state.State,
    started: StepPlacement,
    task: job.Task,
    load: fleet.TargetLoad,
    number: int,
) -> None:
    ticket = started.tickets.get(load.target, '')
    lifecycle.place(tables, task, load, number=number, ticket=ticket)
