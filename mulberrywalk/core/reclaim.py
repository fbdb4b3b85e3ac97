"""What has to end on a target so that a lasting task fits there.

Attempts that are being stopped count as ended. Where that is not enough, work
that is no more urgent than the task may be stopped; else all work that does
not last has to end by itself. Where even that is not enough, another lasting
task may be moved to another of its targets.
"""

from __future__ import annotations

import dataclasses
import functools

from . import absence_target, fleet, job, resource, state, step_placement

# Limits on the targets that are looked at for a move: those to free, and those
# that the moved task may run on instead.
MAX_MOVE_TARGETS = 4
_MAX_ALTERNATIVES = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """A target on which a task will fit once its victims have ended.

    With needs_wait, other work there has to end by itself as well.
    """

    load: fleet.TargetLoad
    victims: tuple[job.Attempt, ...]
    needs_wait: bool = False


def find_option(
    tables: state.State, task: job.Task, load: fleet.TargetLoad
) -> Option | None:
    """Return how a task will fit on a target, or None if it will not."""
    demand = tables.demand(task)
    attempts = _find_attempts(tables, load)
    ending = [one for one in attempts if one.stopping is not None]
    room = _add_held(load.free, ending)
    victims: list[job.Attempt] = []
    for victim in _find_victims(tables, task, attempts):
        if resource.fits(demand, room):
            break
        victims.append(victim)
        room = _add_held(room, [victim])
    if resource.fits(demand, room):
        return Option(load, _leave_out_needless(demand, room, victims))
    if resource.fits(demand, _future_room(tables, load)):
        return Option(load, (), needs_wait=True)
    return None


def _leave_out_needless(
    demand: resource.Resources,
    room: resource.Resources,
    victims: list[job.Attempt],
) -> tuple[job.Attempt, ...]:
    """Return the victims without those that a demand fits beside."""
    needed = list(victims)
    for victim in reversed(victims):
        without = resource.subtract(room, victim.held)
        if resource.fits(demand, without):
            needed.remove(victim)
            room = without
    return tuple(needed)


def find_move(
    tables: state.State, task: job.Task, load: fleet.TargetLoad
) -> Option | None:
    """Return how a task fits once one lasting task has moved, or None.

    The moved task fits on another target; the smallest one is chosen.
    """
    demand = tables.demand(task)
    room = _future_room(tables, load)
    rank = job.rank(tables.specification(task).urgency)
    movable = (
        attempt
        for attempt in sorted(_find_attempts(tables, load), key=_move_order)
        if resource.fits(demand, _add_held(room, [attempt]))
        and _may_move(tables, attempt, rank)
    )
    moved = next(movable, None)
    return None if moved is None else Option(load, (moved,), needs_wait=True)


def _find_attempts(
    tables: state.State, load: fleet.TargetLoad
) -> list[job.Attempt]:
    return [tables.attempts[name] for name in sorted(load.attempts)]


def _future_room(
    tables: state.State, load: fleet.TargetLoad
) -> resource.Resources:
    """Return what is free on a target when only lasting work is left."""
    passing = [
        attempt
        for attempt in _find_attempts(tables, load)
        if attempt.stopping is not None or not _is_lasting(tables, attempt)
    ]
    return _add_held(load.free, passing)


def _move_order(attempt: job.Attempt) -> tuple[resource.Resources, str]:
    return attempt.held, attempt.attempt


def _may_move(tables: state.State, attempt: job.Attempt, rank: int) -> bool:
    """Return whether a lasting attempt may move for work of a rank.

    Where the absences of a step are limited, none is caused.
    """
    task = tables.tasks[attempt.task]
    if attempt.stopping is not None or not _is_lasting(tables, attempt):
        return False
    step = tables.steps[task.step_id()]
    needs = tables.step_specification(step)
    is_more_urgent = job.rank(tables.specification(task).urgency) < rank
    if needs.planned_absences or is_more_urgent:
        return False
    names = absence_target.find_allowed(tables, task)
    loads = step_placement.find_eligible_targets(tables, step.step, names)
    others = [
        load
        for load in loads
        if load.is_available() and load.target != attempt.target
    ]
    others.sort(key=most_free_first)
    return any(
        _is_room_soon(tables, task, load) for load in others[:_MAX_ALTERNATIVES]
    )


def most_free_first(load: fleet.TargetLoad) -> tuple[int, str]:
    """Return a sort key of targets by their free processors."""
    return -load.free.millicores, load.target


def _is_room_soon(
    tables: state.State, task: job.Task, load: fleet.TargetLoad
) -> bool:
    option = find_option(tables, task, load)
    return option is not None and not option.needs_wait


def _add_held(
    room: resource.Resources, attempts: list[job.Attempt]
) -> resource.Resources:
    return functools.reduce(
        resource.add, (attempt.held for attempt in attempts), room
    )


def _is_lasting(tables: state.State, attempt: job.Attempt) -> bool:
    return state.is_lasting(tables, tables.tasks[attempt.task])


def _find_victims(
    tables: state.State, task: job.Task, attempts: list[job.Attempt]
) -> list[job.Attempt]:
    """Return the attempts that may be stopped for a task, cheapest first."""
    rank = job.rank(tables.specification(task).urgency)
    found = [
        attempt
        for attempt in attempts
        if attempt.stopping is None and _may_stop(tables, attempt, rank)
    ]
    return sorted(found, key=lambda attempt: _stop_cost(tables, attempt))


def _may_stop(tables: state.State, attempt: job.Attempt, rank: int) -> bool:
    """Return whether an attempt may be stopped for work of a rank.

    Members of gangs are left alone, as stopping one stops all of them.
    """
    running = tables.tasks[attempt.task]
    specification = tables.specification(running)
    needs = tables.task_specification(running)
    if isinstance(needs, job.StepSpecification):
        is_resumable = not (needs.is_gang or needs.is_lasting)
    else:
        is_resumable = specification.kind is job.Kind.BATCH
    is_less_urgent = job.rank(specification.urgency) >= rank
    return is_resumable and is_less_urgent and specification.is_idempotent


def _stop_cost(
    tables: state.State, attempt: job.Attempt
) -> tuple[int, bool, int, str]:
    """Return a sort key: the least urgent first, then the least work lost."""
    running = tables.tasks[attempt.task]
    rank = job.rank(tables.specification(running).urgency)
    needs = tables.task_specification(running)
    is_saved = getattr(needs, 'is_checkpointing', False)
    elapsed_ms = tables.time - (attempt.started_at or tables.time)
    lost = elapsed_ms * attempt.held.millicores
    return -rank, not is_saved, lost, attempt.attempt
