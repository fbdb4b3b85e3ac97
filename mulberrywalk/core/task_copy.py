"""Two live attempts of a task of a speculative step.

The attempt that completes first completes the task. The other one is stopped
and holds its capacity until its end is known; that end changes nothing else.
While one of two attempts runs on, the end of the other does not requeue the
task.
"""

from __future__ import annotations

import msgspec

from . import (
    effect,
    event,
    fleet,
    identity,
    job,
    lifecycle,
    speed,
    state,
    workflow,
)

_MILLICORES_PER_CORE = 1000
# Time after a copy that never ran until the task may have another one.
_RETRY_DELAY_MS = 200


def may_have(needs: job.StepSpecification) -> bool:
    """Return whether the tasks of a step may have a second live attempt."""
    is_excluded = needs.is_gang or needs.is_lasting or needs.is_filler
    return needs.is_speculative and not is_excluded


def live_attempts(tables: state.State, task: job.Task) -> list[job.Attempt]:
    """Return the live attempts of a task that has not ended."""
    names = (task.attempt, task.copy)
    return [tables.attempts[name] for name in names if name is not None]


def other_attempt(
    task: job.Task, attempt: job.Attempt
) -> identity.AttemptId | None:
    """Return the other live attempt of a task, or None."""
    return task.copy if attempt.attempt == task.attempt else task.attempt


def place(
    tables: state.State,
    task: job.Task,
    load: fleet.TargetLoad,
    ticket: str,
    detail: str,
) -> None:
    """Place a copy of a task that has one live attempt."""
    number = task.attempts + 1
    copy = lifecycle.new_attempt(tables, task, load, number, ticket)
    tables.tasks[task.task] = msgspec.structs.replace(
        task, attempts=number, copy=copy.attempt, copies=task.copies + 1
    )
    tables.copies.add(copy.attempt)
    state.add_attempt(tables, copy)
    tables.emit(effect.StartAttempt(copy))
    tables.emit(effect.CopyNoted(effect.CopyStage.STARTED))
    lifecycle.trace(tables, 'copy placed', copy, detail)


def go_on(
    tables: state.State,
    task: job.Task,
    ended: job.Attempt,
    reason: job.EndReason,
    *,
    is_exhausted: bool,
) -> None:
    """Let a task go on with its other attempt after one has ended.

    If the task has used up its failures, its other attempt may complete, but
    is stopped if its start is not confirmed: the start would be sent again.
    """
    survivor = live_attempts(tables, task)[0]
    task_state = job.TaskState.PLACED
    if survivor.started_at:
        task_state = job.TaskState.RUNNING
    tables.copies.difference_update((ended.attempt, survivor.attempt))
    tables.tasks[task.task] = msgspec.structs.replace(task, state=task_state)
    if ended.number > survivor.number and reason in job.NEVER_RAN_REASONS:
        _allow_another(tables, task.task)
    if is_exhausted and not survivor.started_at:
        lifecycle.stop(tables, survivor, job.StopReason.ABANDONED)
    if ended.number > survivor.number:
        _note(tables, effect.CopyStage.LOST, ended, survivor)
        _note_loss(tables, ended)
    else:
        _note(tables, effect.CopyStage.TAKEN_OVER, survivor, ended)


def _allow_another(tables: state.State, name: identity.TaskId) -> None:
    """Let a task have another copy, as one has not run, and review it."""
    task = tables.tasks[name]
    tables.tasks[name] = msgspec.structs.replace(task, copies=task.copies - 1)
    if task.attempt is not None:
        retry_at = tables.time + _RETRY_DELAY_MS
        tables.reviews.schedule(task.attempt, retry_at)


def supersede(
    tables: state.State, task: job.Task, completed: job.Attempt
) -> None:
    """Stop the attempts of a task that another attempt has completed."""
    tables.copies.discard(completed.attempt)
    for loser in live_attempts(tables, task):
        lifecycle.stop(tables, loser, job.StopReason.SUPERSEDED)
        tables.copies.add(loser.attempt)
        speed.add_overtaken(tables, loser, completed)
        if completed.number > loser.number:
            _note(tables, effect.CopyStage.WON, completed, loser)
        else:
            _note(tables, effect.CopyStage.LOST, loser, completed)


def record_superseded_end(
    tables: state.State, attempt: job.Attempt, ended: event.AttemptEnd
) -> None:
    """Keep the end of an attempt whose task has ended before, however it ends.

    The job may have been due for deletion, and is due again from now on.
    """
    tables.copies.discard(attempt.attempt)
    task = tables.tasks[attempt.task]
    record = lifecycle.record_of_end(tables, attempt, ended)
    tables.tasks[task.task] = msgspec.structs.replace(
        task, history=lifecycle.add_to_history(task, record)
    )
    lifecycle.trace(tables, 'superseded attempt ended', attempt, ended.reason)
    _note_loss(tables, attempt)
    job_record = tables.jobs[task.job]
    if job_record.ended_at:
        lifecycle.index_ended(tables, job_record)


def has_superseded(tables: state.State, record: job.Job) -> bool:
    """Return whether attempts of a finished job are still being stopped."""
    if not any(may_have(needs) for needs in record.specification.steps):
        return False
    return any(
        _find_superseded(tables, task)
        for task in workflow.tasks_of(tables, record)
    )


def first_placed_at(tables: state.State, task: job.Task) -> int:
    """Return when the first attempt of a task that is known was placed."""
    placed = [ended.placed_at for ended in task.history]
    placed += [live.placed_at for live in _find_superseded(tables, task)]
    return min(placed)


def _find_superseded(tables: state.State, task: job.Task) -> list[job.Attempt]:
    """Return the attempts of a final task that have not ended yet."""
    if task.attempts <= len(task.history):
        return []
    names = (
        identity.AttemptId(f'{task.task}/{number}')
        for number in range(1, task.attempts + 1)
    )
    return [tables.attempts[name] for name in names if name in tables.attempts]


def _note(
    tables: state.State,
    stage: effect.CopyStage,
    copy: job.Attempt,
    other: job.Attempt,
) -> None:
    tables.emit(effect.CopyNoted(stage))
    fields: dict[str, int | str] = {
        'ms': _elapsed_ms(tables, copy),
        'other_ms': _elapsed_ms(tables, other),
        'other': other.target,
    }
    words = stage.value.replace('_', ' ')
    label = f'copy {words}'
    lifecycle.trace(tables, label, copy, effect.format_detail(fields))


def _note_loss(tables: state.State, attempt: job.Attempt) -> None:
    elapsed_ms = _elapsed_ms(tables, attempt)
    core_ms = elapsed_ms * attempt.held.millicores // _MILLICORES_PER_CORE
    tables.emit(effect.CopyNoted(effect.CopyStage.WASTED, core_ms))


def _elapsed_ms(tables: state.State, attempt: job.Attempt) -> int:
    return tables.time - attempt.started_at if attempt.started_at else 0
