"""Completions that are reported after the session of their attempt has ended.

A target whose session was taken for lost may have completed a task before. It
lists that end to the entry that calls it next, and once the end is
acknowledged, the task must not run again.
"""

from __future__ import annotations

from . import (
    event,
    identity,
    job,
    lifecycle,
    queueing,
    state,
    task_copy,
    workflow,
)

_LOST_REASONS = frozenset(
    (job.EndReason.SESSION_LOST, job.EndReason.LEASE_LAPSED)
)


def record(tables: state.State, ended: event.AttemptEnd) -> None:
    """Complete a waiting task whose lost attempt turns out as completed.

    A task that was placed again meanwhile goes on, except in a speculative
    step: there the attempts that still run are stopped, because no start may
    follow a known completion.
    """
    if ended.reason is not job.EndReason.COMPLETED:
        return
    task = tables.tasks.get(_task_of(ended.attempt))
    if task is None or not _may_complete(tables, task):
        return
    lost = _find_lost(tables, task, ended.attempt)
    if lost is not None:
        if task.state is job.TaskState.WAITING:
            queueing.remove_task(tables, task)
        attempt = _restore(tables, task, lost)
        workflow.complete_task(tables, task, attempt)
        lifecycle.trace(tables, 'completed late', attempt)


def _may_complete(tables: state.State, task: job.Task) -> bool:
    needs = tables.task_specification(task)
    if not isinstance(needs, job.StepSpecification):
        return False
    is_live = task.attempt is not None and task_copy.may_have(needs)
    if task.state is not job.TaskState.WAITING and not is_live:
        return False
    record_of_job = tables.jobs[task.job]
    has_ended = record_of_job.is_cancelled or record_of_job.is_abandoned
    return not (has_ended or needs.is_lasting)


def _find_lost(
    tables: state.State, task: job.Task, attempt: identity.AttemptId
) -> job.AttemptRecord | None:
    """Return the record of an attempt that was taken for lost, or None.

    Of a gang only the latest run counts: the members of a later one may still
    be at work.
    """
    lost = next((one for one in task.history if one.attempt == attempt), None)
    if lost is None or lost.reason not in _LOST_REASONS:
        return None
    needs = tables.task_specification(task)
    is_gang = isinstance(needs, job.StepSpecification) and needs.is_gang
    is_latest = _number_of(attempt) == task.attempts
    return lost if is_latest or not is_gang else None


def _number_of(attempt: identity.AttemptId) -> int:
    return int(attempt.rpartition('/')[2])


def _task_of(attempt: identity.AttemptId) -> identity.TaskId:
    return identity.TaskId(attempt.rpartition('/')[0])


def _restore(
    tables: state.State, task: job.Task, lost: job.AttemptRecord
) -> job.Attempt:
    return job.Attempt(
        attempt=lost.attempt,
        task=task.task,
        session=identity.SessionId(''),
        target=lost.target,
        held=tables.demand(task),
        placed_at=lost.placed_at,
        started_at=lost.started_at,
        number=_number_of(lost.attempt),
    )
