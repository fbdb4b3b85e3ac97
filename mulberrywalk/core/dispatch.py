"""The scheduling pass: which waiting task is placed next, and where.

Queues are served in the order that queue_priority.py defines.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

from . import (
    demotion,
    ended_job,
    gang,
    health,
    identity,
    lookahead,
    preemption,
    queue_priority,
    share,
    state,
    step_placement,
    step_reservation,
    task_placement,
    team_wait,
    waiting,
    workflow,
)


def run(tables: state.State) -> None:
    """Release tasks and jobs that are due, then place all tasks that fit."""
    workflow.release_due(tables)
    tables.waiting.exhausted_steps.clear()
    tables.waiting.without_room.clear()
    health.end_due_quarantines(tables)
    ended_job.prune(tables)
    tables.early_cancellations.prune(tables.time)
    gang.review_reservation(tables)
    if tables.waiting.steps:
        demotion.demote_worthless(tables)
    reserved = step_reservation.reserve(tables)
    if tables.waiting.queues:
        _serve_queues(tables)
    step_reservation.release(tables, reserved)
    tables.waiting.near = waiting.NearWork()
    tables.freed.clear()


class _Entry(NamedTuple):
    """A queue's priority, and the placements before it was computed.

    Only a placement changes the usage within a pass.
    """

    priority: queue_priority.QueuePriority
    placements: int


def _serve_queues(tables: state.State) -> None:
    fair_shares = share.compute_fair_shares(tables)
    placements = 0
    entries = [
        _Entry(queue_priority.compute(tables, key, fair_shares), placements)
        for key in tables.waiting.queues
        if lookahead.may_start(tables, key)
    ]
    heapq.heapify(entries)
    while entries:
        entry = heapq.heappop(entries)
        key = waiting.QueueKey(entry.priority.rank, entry.priority.team)
        current = entry.priority
        if entry.placements < placements:
            current = queue_priority.compute(tables, key, fair_shares)
        if current > entry.priority:
            # Usage has grown since this entry was pushed.
            heapq.heappush(entries, _Entry(current, placements))
        elif serve(tables, key, current):
            placements += 1
            _push_remaining(tables, entries, key, placements, fair_shares)


def _push_remaining(
    tables: state.State,
    entries: list[_Entry],
    key: waiting.QueueKey,
    placements: int,
    fair_shares: share.FairShares,
) -> None:
    """Push a queue again if it still has work."""
    if key in tables.waiting.queues:
        current = queue_priority.compute(tables, key, fair_shares)
        heapq.heappush(entries, _Entry(current, placements))


def serve(
    tables: state.State,
    key: waiting.QueueKey,
    priority: queue_priority.QueuePriority,
) -> bool:
    """Place one task or gang of a queue and return whether one was placed.

    Tasks behind those that do not fit are tried too (see lookahead), so that a
    large task does not block small ones. A team above its fair share leaves
    some of the cell free, so that others need not wait for a task to end.
    """
    if team_wait.find_gate(tables, key, priority) is not None:
        return False
    if not lookahead.may_start(tables, key):
        return False
    positions = lookahead.iter_positions(tables, key)
    if any(_place(tables, position.task) for position in positions):
        return True
    front = lookahead.peek_front(tables, key)
    preemption.preempt_for_first(tables, key, front)
    lookahead.note_full(tables, key)
    return False


def _place(tables: state.State, name: str) -> bool:
    if name in tables.steps:
        return _place_step(tables, identity.StepId(name))
    return task_placement.place(tables, tables.tasks[identity.TaskId(name)])


def _place_step(tables: state.State, name: identity.StepId) -> bool:
    # Free capacity only shrinks within a pass, so a step that did not fit is
    # not tried again.
    if name in tables.waiting.exhausted_steps:
        return False
    is_placed = step_placement.place(tables, name)
    if name in tables.waiting.steps:
        tables.waiting.exhausted_steps.add(name)
    return is_placed
