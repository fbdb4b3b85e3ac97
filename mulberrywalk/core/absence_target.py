"""Counts what became of the targets that an absent task may use.

Room on other targets does not help a task that may run on a few only, so the
targets that it may use are counted apart from the others.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

from . import advice, fleet, identity, job, resource, state


class TargetState(enum.Enum):
    """Why a target takes no further task of a step, or that it is free.

    The first that applies is counted; closed includes targets that are
    leaving, quarantined, on trial, kept for a gang or gone.
    """

    SILENT = 'silent'
    CLOSED = 'closed'
    AT_LIMIT = 'at_limit'
    FULL = 'full'
    NO_TICKET = 'no_ticket'
    FREE = 'free'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCounts:
    """The targets that a task may use by state, and the others with room.

    barred_room counts targets with room that the adviser does not allow,
    unknown_room those with room of which its opinion is not known.
    """

    allowed: int
    by_state: collections.Counter[TargetState]
    barred_room: int
    unknown_room: int


def find_allowed(
    tables: state.State, task: job.Task
) -> set[identity.TargetId] | None:
    """Return the targets known to be allowed, None for all without an adviser.

    A target is known by a ticket now or before, or because the task was
    placed there.
    """
    if tables.specification(task).advice is None:
        return None
    step = tables.steps[task.step_id()]
    allowed = {ticket.target for ticket in step.tickets}
    allowed.update(ended.target for ended in task.history)
    if task.attempt is not None:
        allowed.add(tables.attempts[task.attempt].target)
    return allowed


def count_targets(tables: state.State, task: job.Task) -> TargetCounts:
    """Count the targets of a step's pool and label that hold a task."""
    step = tables.steps[task.step_id()]
    needs = tables.step_specification(step)
    allowed = find_allowed(tables, task)
    tickets = None
    if allowed is not None:
        tickets = advice.find_valid_tickets(tables, step)
    barred = set(step.barred)
    by_state: collections.Counter[TargetState] = collections.Counter()
    barred_room = 0
    unknown_room = 0
    for load in _find_matching(tables, step):
        found = _find_state(tables, step, needs, load)
        if allowed is None or load.target in allowed:
            is_ticketed = tickets is None or load.target in tickets
            by_state[_with_ticket(found, is_ticketed=is_ticketed)] += 1
        elif found is TargetState.FREE:
            barred_room += load.target in barred
            unknown_room += load.target not in barred
    gone = (allowed or set()) - tables.fleet.loads.keys()
    by_state[TargetState.CLOSED] += len(gone)
    return TargetCounts(by_state.total(), by_state, barred_room, unknown_room)


def _with_ticket(found: TargetState, *, is_ticketed: bool) -> TargetState:
    if found is TargetState.FREE and not is_ticketed:
        return TargetState.NO_TICKET
    return found


def _find_matching(
    tables: state.State, step: job.Step
) -> list[fleet.TargetLoad]:
    pool = tables.jobs[step.job].specification.pool
    needs = tables.step_specification(step)
    demand = needs.demand()
    return [
        load
        for load in tables.fleet.loads.values()
        if load.matches(pool, needs.label)
        and resource.fits(demand, load.capacity)
    ]


def _find_state(
    tables: state.State,
    step: job.Step,
    needs: job.StepSpecification,
    load: fleet.TargetLoad,
) -> TargetState:
    """Return the state of a target, regardless of advice."""
    if load.target in tables.silent:
        return TargetState.SILENT
    if not load.is_available():
        return TargetState.CLOSED
    if needs.per_target_limit:
        live_count = state.count_step_attempts(tables, step.step, load.target)
        if live_count >= needs.per_target_limit:
            return TargetState.AT_LIMIT
    if not resource.fits(needs.demand(), load.free):
        return TargetState.FULL
    return TargetState.FREE
