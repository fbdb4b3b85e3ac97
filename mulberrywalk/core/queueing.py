"""Adds tasks to the queued, the delayed or the infeasible tasks."""

from __future__ import annotations

import msgspec

from . import backlog, declared, job, state, waiting, waiting_age


def add_task(tables: state.State, task: job.Task) -> None:
    """Add a waiting task to its queue, the delayed or the infeasible tasks."""
    tables.tasks[task.task] = task
    state.mark_absent(tables, task)
    tables.waiting.adjust_count(key_of(tables, task), 1)
    backlog.count_waiting(tables, task, 1)
    if task.not_before > tables.time:
        tables.waiting.delayed.add((task.not_before, task.task))
        return
    enqueue(tables, task)


def requeue(tables: state.State, task: job.Task, not_before: int = 0) -> None:
    """Make a task wait again, not to be placed before a time."""
    add_task(
        tables,
        msgspec.structs.replace(
            task,
            state=job.TaskState.WAITING,
            waiting_since=tables.time,
            not_before=not_before,
        ),
    )


def enqueue(tables: state.State, task: job.Task) -> None:
    """Add a task that is due to its queue, or to the infeasible tasks.

    The first task of a gang that was not placed yet represents the others.
    """
    kind = tables.specification(task).kind
    key = key_of(tables, task)
    if kind is job.Kind.WORKFLOW:
        step = tables.steps[task.step_id()]
        if step.step not in tables.waiting.steps:
            _note_amount(tables, key, task)
            waiting_age.note_step(tables, step)
        tables.waiting.add_step_task(key, position_of_step(step), task.number)
        return
    if kind is job.Kind.GANG and task.number and not task.attempts:
        return
    waiting_age.note_task(tables, task)
    demand = tables.demand(task)
    if tables.fleet.could_fit(demand):
        _note_amount(tables, key, task)
        tables.waiting.add(key, position_of(task))
    else:
        tables.waiting.infeasible[task.task] = demand


def release_due(tables: state.State) -> None:
    """Enqueue the delayed tasks that are due."""
    for name in tables.waiting.pop_due(tables.time):
        enqueue(tables, tables.tasks[name])


def remove_task(tables: state.State, task: job.Task) -> None:
    """Remove a task from its queue, the delayed and the infeasible tasks."""
    key = key_of(tables, task)
    tables.waiting.adjust_count(key, -1)
    backlog.count_waiting(tables, task, -1)
    tables.waiting.delayed.discard((task.not_before, task.task))
    step = tables.steps.get(task.step_id())
    if step is not None:
        tables.waiting.discard_step_task(
            key, position_of_step(step), task.number
        )
        if step.step not in tables.waiting.steps:
            waiting_age.forget_step(tables, step)
        return
    waiting_age.forget_task(tables, task)
    tables.waiting.discard(key, position_of(task))
    tables.waiting.infeasible.pop(task.task, None)


def _note_amount(
    tables: state.State, key: waiting.QueueKey, task: job.Task
) -> None:
    amount = declared.amounts(tables.task_specification(task))
    tables.waiting.note_amount(key, amount)


def key_of(tables: state.State, task: job.Task) -> waiting.QueueKey:
    """Return the key of the queue that a task waits in."""
    specification = tables.specification(task)
    return waiting.queue_key(specification.urgency, specification.team)


def position_of(task: job.Task) -> waiting.Position:
    """Return the position of a task in its queue."""
    return waiting.Position(
        task.submitted_at, task.sequence, task.number, task.task
    )


def position_of_step(step: job.Step) -> waiting.Position:
    """Return the position of a step in its queue."""
    return waiting.Position(step.order, step.sequence, step.number, step.step)
