"""What is kept of jobs that have ended, and for how long.

For some time after its end a workflow is kept whole, to explain where its tasks
ran. After that its identity and outcome are kept, by which callers and copies
of its submission are answered, so that the memory that it takes does not depend
on its steps and tasks. A job whose tasks have returned answers is kept whole
until it is deleted, as its caller may still ask for them.
"""

from __future__ import annotations

import collections

import msgspec

from . import configuration, identity, job, lifecycle, state, task_copy

# For how long the tasks of an ended workflow and their attempts are kept.
HISTORY_MS = 60_000


def is_due(tables: state.State, now: int) -> bool:
    """Return whether an ended job is due for its reduction or deletion."""
    document = tables.configuration.document
    return _is_before(
        tables.finished, now - _retention_ms(document)
    ) or _is_before(tables.detailed, now - HISTORY_MS)


def prune(tables: state.State) -> None:
    """Reduce and delete the ended jobs that are due for it.

    A job is deleted past its retention, or above the maximum count. Each is
    kept for as long as a copy of its submission may arrive.
    """
    _reduce_due(tables)
    document = tables.configuration.document
    oldest_kept = tables.time - _retention_ms(document)
    oldest_surplus = tables.time - job.COPY_WINDOW_MS
    while tables.finished:
        is_surplus = len(tables.finished) > document.finished_jobs
        deleted_before = oldest_surplus if is_surplus else oldest_kept
        if not _is_before(tables.finished, deleted_before):
            return
        _, name = tables.finished.pop(0)
        # The end of its last attempt makes such a job due again.
        if not task_copy.has_superseded(tables, tables.jobs[name]):
            _delete(tables, name)


def _retention_ms(document: configuration.Document) -> int:
    """Return how long an ended job is kept, unless there are too many.

    A copy of its submission that is still under way is answered from it.
    """
    return max(document.finished_retention_ms, job.COPY_WINDOW_MS)


def _is_before(index: state.EndIndex, time: int) -> bool:
    """Return whether the first job of an index ended before a time."""
    return bool(index) and index[0][0] < time


def _reduce_due(tables: state.State) -> None:
    while _is_before(tables.detailed, tables.time - HISTORY_MS):
        _, name = tables.detailed.pop(0)
        record = tables.jobs[name]
        # The end of its last attempt makes such a job due again.
        if not task_copy.has_superseded(tables, record):
            _reduce(tables, record)


def _reduce(tables: state.State, record: job.Job) -> None:
    tasks = lifecycle.tasks_of(tables, record)
    if any(task.answer for task in tasks):
        return
    _delete_tasks(tables, record)
    tables.jobs[record.job] = msgspec.structs.replace(
        record,
        specification=_without_work(record.specification),
        failed_on=(),
        summary=_summarise(tasks),
    )


def _without_work(specification: job.Specification) -> job.Specification:
    """Return what identifies a job and its owner."""
    return msgspec.structs.replace(
        specification, steps=(), payload='', recurrence=None, advice=None
    )


def _summarise(tasks: list[job.Task]) -> job.Summary:
    counts = collections.Counter(task.state for task in tasks)
    return job.Summary(
        completed=counts[job.TaskState.COMPLETED],
        failed=counts[job.TaskState.FAILED],
        cancelled=counts[job.TaskState.CANCELLED],
        attempts=sum(task.attempts for task in tasks),
    )


def _delete(tables: state.State, name: identity.JobId) -> None:
    record = tables.jobs[name]
    _delete_tasks(tables, record)
    tables.detailed.discard((record.ended_at, name))
    tables.jobs.pop(name)
    specification = record.specification
    tables.requests.pop((specification.team, specification.request_id))


def _delete_tasks(tables: state.State, record: job.Job) -> None:
    """Delete the tasks of an ended job, and its steps."""
    tasks = lifecycle.tasks_of(tables, record)
    for task in tasks:
        tables.tasks.pop(task.task)
    steps = dict.fromkeys(map(job.Task.step_id, tasks))
    for step in steps:
        tables.steps.pop(step, None)
