"""The scheduling pass: which waiting task is placed next, and where.

Queues are served in the order of key_of_turn: urgencies below their floor
first, then by urgency, then the team with the smallest weighted share.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

from . import (
    admission,
    configuration,
    fleet,
    gang,
    health,
    identity,
    job,
    lifecycle,
    placement,
    preemption,
    resource,
    share,
    state,
    step_placement,
    waiting,
    workflow,
)

_LOOK_AHEAD = 16
_STEPS_AHEAD = 64
_URGENCIES = tuple(job.Urgency)


class QueuePriority(NamedTuple):
    """When a queue is served; the smallest goes first.

    Queues of teams within their due share go by urgency, those of teams
    above it by how far they are above. excess is the use above the due share
    as a part of that share, in parts per million; it orders nothing.
    """

    is_above_floor: bool
    is_above_fair_share: bool
    weighted_excess: int
    rank: int
    weighted_share: int
    team: str
    excess: int


def run(tables: state.State) -> None:
    """Release what is due and place all that fits."""
    workflow.release_due(tables)
    tables.waiting.exhausted_steps.clear()
    health.end_due_quarantines(tables)
    admission.prune_finished(tables)
    gang.review_reservation(tables)
    if tables.waiting.steps:
        _put_back_worthless(tables)
    if tables.waiting.queues:
        _serve_queues(tables)


def _put_back_worthless(tables: state.State) -> None:
    """Let late work that is worth nothing wait behind what still is."""
    heads = [
        position.task
        for key in tables.waiting.queues
        for position in tables.waiting.first(key, _LOOK_AHEAD)
    ]
    for name in heads:
        if name in tables.waiting.steps:
            workflow.demote_if_worthless(tables, identity.StepId(name))


def _serve_queues(tables: state.State) -> None:
    fairness = share.compute_fair_shares(tables)
    turns = [
        priority_of(tables, key, fairness) for key in tables.waiting.queues
    ]
    heapq.heapify(turns)
    while turns:
        turn = heapq.heappop(turns)
        key = waiting.QueueKey(turn.rank, turn.team)
        latest = priority_of(tables, key, fairness)
        if latest > turn:
            # Usage has grown since this turn was entered.
            heapq.heappush(turns, latest)
        elif serve(tables, key, latest) and key in tables.waiting.queues:
            heapq.heappush(turns, priority_of(tables, key, fairness))


def priority_of(
    tables: state.State, key: waiting.QueueKey, fairness: share.FairShares
) -> QueuePriority:
    """Return the turn of a queue by the present usage."""
    document = tables.configuration.document
    weight = configuration.team_limits(document, key.team).weight
    used = share.of_team(tables, key.team)
    weighted = used * configuration.NORMAL_WEIGHT // weight
    due = fairness.entitlement(weight)
    is_above_fair_share = used >= due
    return QueuePriority(
        share.is_above_floor(tables, _URGENCIES[key.rank]),
        is_above_fair_share,
        weighted if is_above_fair_share else 0,
        key.rank,
        weighted,
        key.team,
        (used - due) * resource.PARTS_PER_MILLION // max(1, due),
    )


def serve(
    tables: state.State, key: waiting.QueueKey, turn: QueuePriority
) -> bool:
    """Place one task or gang of a queue and return whether it could.

    Tasks behind one that does not fit are tried too, a few of them, so that
    a large task does not hold up small ones. A team above its due share
    leaves some of the cell free, so that others need not wait for an end.
    """
    if share.is_over_quota(tables, key.team):
        return False
    is_lent = turn.is_above_floor and turn.is_above_fair_share
    if is_lent and not _has_headroom(tables, turn):
        return False
    ahead = _STEPS_AHEAD if tables.waiting.steps else _LOOK_AHEAD
    positions = tables.waiting.first(key, ahead)
    if any(_place(tables, position.task) for position in positions):
        return True
    tasks = [one.task for one in positions if one.task in tables.tasks]
    if tasks:
        first = tables.tasks[identity.TaskId(tasks[0])]
        preemption.preempt_for(tables, key, first)
    return False


def _has_headroom(tables: state.State, turn: QueuePriority) -> bool:
    """Return whether lent capacity may still be taken.

    The headroom is graded: the most urgent leave a part of it, the least
    urgent all of it, so that urgent work finds room that others left. A team
    that uses twice its due share or more leaves all of it, however urgent.
    """
    grade = resource.PARTS_PER_MILLION * (turn.rank + 1) // len(_URGENCIES)
    part = min(resource.PARTS_PER_MILLION, max(grade, turn.excess))
    whole = tables.configuration.document.headroom
    headroom = whole * part // resource.PARTS_PER_MILLION
    return share.of_all(tables) < resource.PARTS_PER_MILLION - headroom


def _place(tables: state.State, name: str) -> bool:
    if name in tables.steps:
        return _place_step(tables, identity.StepId(name))
    task = tables.tasks[identity.TaskId(name)]
    specification = tables.specification(task)
    if gang.is_unplaced_gang(tables, task):
        return gang.place(tables, task)
    load = choose(tables, task, specification)
    if load is None:
        return False
    lifecycle.place(tables, task, load)
    return True


def _place_step(tables: state.State, name: identity.StepId) -> bool:
    # Room only shrinks within a pass: what did not fit is not tried again.
    if name in tables.waiting.exhausted_steps:
        return False
    is_placed = step_placement.place(tables, name)
    if name in tables.waiting.steps:
        tables.waiting.exhausted_steps.add(name)
    return is_placed


def choose(
    tables: state.State, task: job.Task, specification: job.Specification
) -> fleet.TargetLoad | None:
    """Return the target for one task, or None when it fits on none."""
    demand = tables.demand(task)
    if tables.fleet.is_unplaceable(demand):
        return gang.find_backfill_target(tables, task)
    policy = placement.POLICIES[specification.kind]
    siblings: tuple[fleet.TargetLoad, ...] = ()
    if specification.kind is job.Kind.SERVICE:
        siblings = _siblings(tables, task)
    request = placement.Request(demand, _failed_last(task), siblings)
    load = policy.choose(tables.fleet, request)
    if load is None:
        tables.fleet.mark_unplaceable(demand)
        return gang.find_backfill_target(tables, task)
    return load


def _failed_last(task: job.Task) -> identity.TargetId | None:
    if task.history and task.history[-1].reason is job.EndReason.FAILED:
        return task.history[-1].target
    return None


def _siblings(
    tables: state.State, task: job.Task
) -> tuple[fleet.TargetLoad, ...]:
    record = tables.jobs[task.job]
    return tuple(
        tables.fleet.loads[tables.attempts[sibling.attempt].target]
        for sibling in lifecycle.tasks_of(tables, record)
        if sibling.attempt is not None
    )
