"""Placement of the waiting tasks of a step, as many as fit.

Steps can be wide, with many equal tasks, and the adviser, labels or tasks of
the same step can rule out some of the targets.
"""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterable, Iterator

import msgspec

from . import (
    advice,
    fleet,
    health,
    identity,
    job,
    lifecycle,
    locality,
    misfit,
    nearness,
    resource,
    speed,
    state,
    team_limit,
    workflow,
)

# Maximum number of targets considered for a step without an adviser.
_MAX_CANDIDATES = 64
# Targets within the same range of this many permille are equally fast.
SLOWNESS_RANGE = 100


@dataclasses.dataclass(frozen=True, slots=True)
class StepPlacement:
    """A step that is being placed; tickets is empty without an adviser.

    The tasks of an overdue step may go to targets set aside.
    """

    step: job.Step
    needs: job.StepSpecification
    demand: resource.Resources
    candidates: list[fleet.TargetLoad]
    tickets: dict[identity.TargetId, str]
    is_overdue: bool = False


def place(
    tables: state.State, name: identity.StepId, *, is_overdue: bool = False
) -> bool:
    """Place the tasks of a step that fit; return whether any was placed.

    If tasks remain that the team's limit allows, advice is requested for the
    targets that are eligible.
    Tasks that are overdue are placed on targets set aside if need be.
    """
    step = tables.steps[name]
    if not _is_tried(tables, step, is_overdue=is_overdue):
        return False
    numbers = _find_allowed(tables, step)
    if not numbers:
        return False
    review = locality.review(tables, step, len(numbers))
    if review is locality.Review.WAIT:
        return False
    rack = step.near_rack if review is locality.Review.TRY_NEAR else ''
    placement = _prepare(tables, step, rack, is_overdue=is_overdue)
    count = _place_tasks(tables, placement, numbers)
    if count < len(numbers):
        _request_advice(tables, name)
    if not count:
        misfit.record(tables, name)
    return count > 0


def _is_tried(tables: state.State, step: job.Step, *, is_overdue: bool) -> bool:
    """Return whether some task of a step may fit, as far as is known."""
    needs = tables.step_specification(step)
    is_unadvised = bool(step.asked_at) and not step.tickets
    if is_unadvised and advice.is_request_pending(tables, step):
        return False
    is_advised = tables.jobs[step.job].specification.advice is not None
    has_room = _has_room(tables, needs.demand())
    if not has_room and not (needs.is_lasting and (is_advised or is_overdue)):
        tables.waiting.without_room.add(step.step)
        return False
    return is_overdue or not misfit.is_known(tables, step)


def _has_room(tables: state.State, demand: resource.Resources) -> bool:
    """Return whether a demand fits on some open target."""
    if tables.fleet.is_unplaceable(demand):
        return False
    if next(tables.fleet.most_free(demand), None) is None:
        tables.fleet.mark_unplaceable(demand)
        return False
    return True


def _find_allowed(tables: state.State, step: job.Step) -> list[int]:
    """Return the waiting tasks that may be placed by the limit of the team."""
    numbers = list(tables.waiting.steps.get(step.step, ()))
    needs = tables.step_specification(step)
    if needs.is_gang and len(numbers) < needs.count:
        return []
    return numbers[: team_limit.count_allowed(tables, step, len(numbers))]


def _request_advice(tables: state.State, name: identity.StepId) -> None:
    # Targets are listed only if a request can be sent: while many steps wait
    # for answers, listing them for each step would take most of a pass.
    step = tables.steps[name]
    if advice.can_request(tables, step):
        eligible = find_eligible_targets(tables, name)
        advice.request_advice(tables, step, eligible)


def find_eligible_targets(
    tables: state.State,
    name: identity.StepId,
    names: Iterable[identity.TargetId] | None = None,
) -> list[fleet.TargetLoad]:
    """Return the targets a step could run on once they have room.

    Advice is disregarded as well. Targets set aside are listed for lasting
    work, which may have to use them. names limits the targets to look at.
    """
    step = tables.steps[name]
    is_lasting = tables.step_specification(step).is_lasting
    considered = tables.fleet.loads if names is None else names
    loads = _iter_usable(tables, step, considered, with_set_aside=is_lasting)
    return [load for load in loads if _is_below_limit(tables, step, load)]


def _prepare(
    tables: state.State, step: job.Step, rack: str, *, is_overdue: bool
) -> StepPlacement:
    """Find the candidates for a step, those in a rack if one is given."""
    needs = tables.step_specification(step)
    demand = needs.demand()
    tickets: dict[identity.TargetId, str] = {}
    is_advised = tables.jobs[step.job].specification.advice is not None
    if is_advised:
        tickets = advice.find_valid_tickets(tables, step)
    names = nearness.list_names(
        tables, rack, tickets if is_advised else tables.fleet.loads
    )
    loads = _iter_usable(tables, step, names, with_set_aside=is_overdue)
    if not is_advised:
        fitting = (
            load
            for load in loads
            if resource.fits(demand, load.free)
            and _is_below_limit(tables, step, load)
        )
        loads = nearness.limit(tables, needs, fitting, _MAX_CANDIDATES)
    return StepPlacement(step, needs, demand, list(loads), tickets, is_overdue)


def _iter_usable(
    tables: state.State,
    step: job.Step,
    names: Iterable[identity.TargetId],
    *,
    with_set_aside: bool,
) -> Iterator[fleet.TargetLoad]:
    """Yield those of the named targets that can hold a task when empty.

    Targets that are closed or unknown are left out, and so are those set
    aside unless they are asked for.
    """
    specification = tables.jobs[step.job].specification
    needs = tables.step_specification(step)
    demand = needs.demand()
    # Sorted by name, because a restored replica may have another order.
    loads = (tables.fleet.loads.get(name) for name in sorted(names))
    return (
        load
        for load in loads
        if load is not None
        and load.matches(specification.pool, needs.label)
        and resource.fits(demand, load.capacity)
        and _is_usable(tables, load, with_set_aside=with_set_aside)
    )


def _place_tasks(
    tables: state.State, placement: StepPlacement, numbers: list[int]
) -> int:
    needs = placement.needs
    if needs.is_gang:
        return _place_gang(tables, placement, numbers)
    if needs.is_rack_local and nearness.is_on(tables, needs):
        return _place_together(tables, placement, numbers)
    return _place_each(tables, placement, numbers)


def _place_each(
    tables: state.State, placement: StepPlacement, numbers: list[int]
) -> int:
    wait = locality.EachWait(tables, placement.step, numbers)
    count = 0
    for number in numbers:
        task = _get_task(tables, placement.step, number)
        load = _choose(tables, placement, task)
        if load is None or wait.holds_back(load, count):
            break
        _place(tables, placement, task, load, task.attempts + 1)
        count += 1
    wait.settle(count)
    return count


def _place_gang(
    tables: state.State, placement: StepPlacement, numbers: list[int]
) -> int:
    """Place all members on targets that together hold them, or none."""
    _, chosen = _choose_together(tables, placement, len(numbers))
    step = placement.step
    if not chosen or locality.holds_back_whole(tables, step, numbers, chosen):
        return 0
    _place_members(tables, placement, numbers, chosen)
    return len(numbers)


def _place_together(
    tables: state.State, placement: StepPlacement, numbers: list[int]
) -> int:
    """Place a rack-local step on one rack, or else the tasks that fit."""
    near, chosen = _choose_together(tables, placement, len(numbers))
    if locality.holds_back_whole(tables, placement.step, numbers, chosen):
        return 0
    return _place_each(tables, near, numbers)


def _choose_together(
    tables: state.State, placement: StepPlacement, count: int
) -> tuple[StepPlacement, list[fleet.TargetLoad]]:
    """Return the nearest targets that hold a number of tasks, none if none do.

    The placement returned has the candidates among which they were chosen.
    """
    loads = placement.candidates
    for candidates in nearness.list_choices(tables, placement.step, loads):
        chosen = _allocate(tables, placement, candidates, count)
        if chosen is not None:
            near = dataclasses.replace(placement, candidates=candidates)
            return near, chosen
    return placement, []


def _place_members(
    tables: state.State,
    placement: StepPlacement,
    numbers: list[int],
    chosen: list[fleet.TargetLoad],
) -> None:
    run = workflow.highest_attempt_number(tables, placement.step) + 1
    members = [_get_task(tables, placement.step, number) for number in numbers]
    # A checkpoint of one member applies to all, and all must carry the same.
    saved = next(
        (
            gang_member.checkpoint
            for gang_member in members
            if gang_member.checkpoint
        ),
        '',
    )
    for member, load in zip(members, chosen, strict=True):
        task = msgspec.structs.replace(member, checkpoint=saved)
        _place(tables, placement, task, load, run)


def _allocate(
    tables: state.State,
    placement: StepPlacement,
    candidates: list[fleet.TargetLoad],
    count: int,
) -> list[fleet.TargetLoad] | None:
    """Return targets for a number of equal tasks, or None when they do not fit.

    Steady targets go first, and among them those with the least free.
    """
    chosen: list[fleet.TargetLoad] = []
    least_free_first = sorted(candidates, key=_free_order)
    steady_first = sorted(
        least_free_first, key=lambda load: is_unsteady(tables, load)
    )
    for load in steady_first:
        task_count = resource.count_fitting(
            placement.demand, load.free, job.MAX_TASKS
        )
        if load.is_on_probation:
            task_count = min(task_count, 1)
        limit = placement.needs.per_target_limit
        if limit:
            task_count = min(
                task_count,
                limit
                - state.count_step_attempts(
                    tables, placement.step.step, load.target
                ),
            )
        chosen.extend(itertools.repeat(load, max(0, task_count)))
        if len(chosen) >= count:
            return chosen[:count]
    return None


def _choose(
    tables: state.State, placement: StepPlacement, task: job.Task
) -> fleet.TargetLoad | None:
    fitting = [
        load
        for load in placement.candidates
        if resource.fits(placement.demand, load.free)
        and _is_usable(tables, load, with_set_aside=placement.is_overdue)
        and _is_below_limit(tables, placement.step, load)
    ]
    if not fitting:
        return None
    avoided = find_avoided(task)
    present = tables.step_loads.get(placement.step.step, ())
    racks = {tables.fleet.loads[name].rack for name in present}
    needs = placement.needs

    def rank(load: fleet.TargetLoad) -> tuple[int, ...]:
        # A target set aside, or on which the task failed, is a last resort.
        last_resort = 2 * int(not load.is_available()) + int(
            load.target in avoided
        )
        return (
            last_resort,
            int(is_unsteady(tables, load)),
            int(bool(needs.data_rack) and load.rack != needs.data_rack),
            int(needs.is_rack_local and bool(racks) and load.rack not in racks),
            *_load_rank(tables, placement, load),
        )

    return min(fitting, key=lambda load: (rank(load), load.target))


def _load_rank(
    tables: state.State, placement: StepPlacement, load: fleet.TargetLoad
) -> tuple[int, ...]:
    """Return the sort key of a target among those that are equally near."""
    needs = placement.needs
    if needs.is_lasting:
        siblings = state.count_step_attempts(
            tables, placement.step.step, load.target
        )
        return siblings, -load.free.millicores
    if needs.is_filler:
        return _count_serving(tables, load), -load.free.millicores
    slowness = speed.slowness_of(tables, load.target)
    urgency = tables.jobs[placement.step.job].specification.urgency
    if job.rank(urgency) == 0:
        return slowness // SLOWNESS_RANGE, load.free.millicores
    # Leave fast targets to urgent work as long as there are others.
    is_slow = slowness > speed.SLOW_THRESHOLD
    return int(is_slow), -(slowness // SLOWNESS_RANGE), load.free.millicores


def _count_serving(tables: state.State, load: fleet.TargetLoad) -> int:
    """Return the number of tasks with a latency target on a target."""
    tasks = (tables.tasks[tables.attempts[name].task] for name in load.attempts)
    return sum(
        bool(
            getattr(
                tables.task_specification(running_task), 'latency_target_ms', 0
            )
        )
        for running_task in tasks
    )


def _is_below_limit(
    tables: state.State, step: job.Step, load: fleet.TargetLoad
) -> bool:
    limit = tables.step_specification(step).per_target_limit
    return (
        not limit
        or state.count_step_attempts(tables, step.step, load.target) < limit
    )


def _is_usable(
    tables: state.State, load: fleet.TargetLoad, *, with_set_aside: bool
) -> bool:
    return load.is_available() or (
        with_set_aside and health.is_set_aside(tables, load)
    )


def find_avoided(task: job.Task) -> set[identity.TargetId]:
    """Return the targets on which the task has failed or was lost."""
    return {
        ended.target
        for ended in task.history
        if ended.reason in job.AVOIDED_END_REASONS
    }


def is_unsteady(tables: state.State, load: fleet.TargetLoad) -> bool:
    """Return whether a target was silent or started nothing a while ago."""
    return tables.targets[load.target].unsteady_until > tables.time


def _free_order(load: fleet.TargetLoad) -> tuple[int, str]:
    return load.free.millicores, load.target


def _get_task(tables: state.State, step: job.Step, number: int) -> job.Task:
    return tables.tasks[identity.TaskId(f'{step.step}.{number}')]


def _place(
    tables: state.State,
    placement: StepPlacement,
    task: job.Task,
    load: fleet.TargetLoad,
    number: int,
) -> None:
    ticket = placement.tickets.get(load.target, '')
    locality.note_placement(tables, placement.step, load)
    lifecycle.place(tables, task, load, number=number, ticket=ticket)
