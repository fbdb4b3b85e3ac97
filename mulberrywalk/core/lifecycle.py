"""State transitions of tasks and attempts."""

from __future__ import annotations

from types import MappingProxyType

import msgspec

from . import (
    absence,
    backlog,
    effect,
    event,
    fleet,
    health,
    identity,
    job,
    queueing,
    retry,
    run_length,
    state,
    task_copy,
    trace_detail,
    workflow,
)

_MAX_FAILED_TARGETS = 2
_MAX_HISTORY = 20

_FINAL_STATES = MappingProxyType(
    {
        job.TaskState.COMPLETED: job.JobState.COMPLETED,
        job.TaskState.FAILED: job.JobState.FAILED,
        job.TaskState.CANCELLED: job.JobState.CANCELLED,
        job.TaskState.UNKNOWN: job.JobState.UNKNOWN,
    }
)
# A job takes the worst state of its tasks.
_WORST_FIRST = (
    job.TaskState.UNKNOWN,
    job.TaskState.FAILED,
    job.TaskState.CANCELLED,
    job.TaskState.COMPLETED,
)


def cancel_task(
    tables: state.State, task: job.Task, reason: job.StopReason
) -> None:
    """Cancel a task that has not started, or stop its live attempts."""
    if task.state is job.TaskState.BLOCKED:
        finish_task(tables, task, job.TaskState.CANCELLED)
    elif task.state is job.TaskState.WAITING:
        queueing.remove_task(tables, task)
        finish_task(tables, task, job.TaskState.CANCELLED)
    else:
        for live in task_copy.live_attempts(tables, task):
            stop(tables, live, reason)


def place(
    tables: state.State,
    task: job.Task,
    load: fleet.TargetLoad,
    *,
    number: int = 0,
    ticket: str = '',
) -> None:
    """Place a waiting task on a target as a new attempt.

    The attempt takes the given number, or by default the task's next one.
    """
    queueing.remove_task(tables, task)
    number = number or task.attempts + 1
    attempt = new_attempt(tables, task, load, number, ticket)
    tables.tasks[task.task] = msgspec.structs.replace(
        task,
        state=job.TaskState.PLACED,
        attempts=number,
        attempt=attempt.attempt,
    )
    state.add_attempt(tables, attempt)
    tables.emit(effect.StartAttempt(attempt))
    trace(tables, 'placed', attempt, trace_detail.for_placement(tables, task))


def new_attempt(
    tables: state.State,
    task: job.Task,
    load: fleet.TargetLoad,
    number: int,
    ticket: str,
) -> job.Attempt:
    """Return an attempt of a task on an open target, placed now."""
    session = tables.targets[load.target].session
    if session is None:
        raise AssertionError(f'target {load.target} is open without a session')
    return job.Attempt(
        attempt=identity.AttemptId(f'{task.task}/{number}'),
        task=task.task,
        session=session,
        target=load.target,
        held=tables.demand(task),
        placed_at=tables.time,
        ticket=ticket,
        number=number,
    )


def record_start(tables: state.State, started: event.AttemptStart) -> None:
    """Record that a target has confirmed the start of an attempt."""
    attempt = tables.attempts.get(started.attempt)
    if attempt is None or attempt.started_at:
        return
    task = tables.tasks[attempt.task]
    detail = trace_detail.for_start(tables, attempt)
    state.replace_attempt(
        tables, msgspec.structs.replace(attempt, started_at=tables.time)
    )
    trace(tables, 'started', attempt, detail)
    if task.state in job.FINAL_TASK_STATES:
        # Another attempt has completed the task; this one is being stopped.
        return
    tables.tasks[task.task] = msgspec.structs.replace(
        task,
        state=job.TaskState.RUNNING,
        first_started_at=task.first_started_at or tables.time,
    )
    tables.absent.discard(task.task)
    run_length.watch(tables, task, attempt)
    _set_job_running(tables, task.job)


def record_checkpoint(
    tables: state.State, saved: event.AttemptCheckpoint
) -> None:
    """Keep the checkpoint of a running attempt for the next attempt."""
    task = tables.tasks[tables.attempts[saved.attempt].task]
    if task.state not in job.FINAL_TASK_STATES:
        tables.tasks[task.task] = msgspec.structs.replace(
            task, checkpoint=saved.checkpoint
        )


def stop(
    tables: state.State, attempt: job.Attempt, reason: job.StopReason
) -> None:
    """Ask the target to stop an attempt, which holds capacity until it ends."""
    if attempt.stopping is not None:
        return
    stopped = msgspec.structs.replace(
        attempt, stopping=reason, stopping_at=tables.time
    )
    state.replace_attempt(tables, stopped)
    tables.emit(effect.StopAttempt(stopped))
    trace(tables, 'stopping', stopped, reason.value)


def record_end(tables: state.State, ended: event.AttemptEnd) -> None:
    """Record the confirmed end of an attempt, then retry or finish its task."""
    attempt = tables.attempts.get(ended.attempt)
    if attempt is None:
        return
    _remove_ended(tables, attempt)
    if tables.tasks[attempt.task].state in job.FINAL_TASK_STATES:
        task_copy.record_superseded_end(tables, attempt, ended)
        return
    ended = _reject_large_answer(tables, attempt, ended)
    task = _close_attempt(tables, attempt, ended)
    trace(
        tables, 'ended', attempt, trace_detail.for_end(tables, attempt, ended)
    )
    _record_result(tables, attempt, task, ended.reason)
    if ended.reason in {job.EndReason.COMPLETED, job.EndReason.FAILED}:
        _set_job_running(tables, task.job)
    specification = tables.specification(task)
    if specification.kind is job.Kind.WORKFLOW:
        workflow.handle_attempt_end(tables, task, attempt, ended)
        return
    is_service = specification.kind is job.Kind.SERVICE
    if ended.reason is job.EndReason.COMPLETED and not is_service:
        finish_task(tables, task, job.TaskState.COMPLETED)
    elif tables.jobs[task.job].is_cancelled:
        finish_task(tables, task, job.TaskState.CANCELLED)
    elif _may_retry(specification, ended.reason):
        _retry_task(tables, task, attempt, ended.reason)
    else:
        finish_task(tables, task, _final_state(ended.reason))


def _remove_ended(tables: state.State, attempt: job.Attempt) -> None:
    state.remove_attempt(tables, attempt)
    tables.reviews.discard(attempt.attempt)
    if tables.teams:
        tables.freed.add(attempt.target)


def finish_task(
    tables: state.State, task: job.Task, final: job.TaskState
) -> None:
    """Set the final state of a task, and of its job after the last task."""
    tables.tasks[task.task] = msgspec.structs.replace(
        task, state=final, ended_at=tables.time, attempt=None, copy=None
    )
    tables.absent.discard(task.task)
    record = tables.jobs[task.job]
    unfinished = record.unfinished - 1
    record = msgspec.structs.replace(record, unfinished=unfinished)
    tables.jobs[task.job] = record
    if unfinished == 0:
        finish_job(tables, record)


def tasks_of(tables: state.State, record: job.Job) -> list[job.Task]:
    """Return the tasks of a job that exist so far, in order."""
    if record.specification.kind is job.Kind.WORKFLOW:
        return workflow.tasks_of(tables, record)
    count = len(record.specification.tasks)
    return [
        tables.tasks[job.task_id(record.job, number)] for number in range(count)
    ]


def adjust_pending(tables: state.State, record: job.Job, change: int) -> None:
    """Change the count of jobs in a queue that have not started."""
    queue = record.specification.queue
    if queue:
        tables.pending[queue] += change
    if record.is_excess:
        tables.team_work.adjust_excess(record.specification.team, change)


def trace(
    tables: state.State, label: str, attempt: job.Attempt, detail: str = ''
) -> None:
    """Add an entry about an attempt to the timeline."""
    tables.emit(
        effect.Trace(
            label,
            job=tables.tasks[attempt.task].job,
            task=attempt.task,
            attempt=attempt.attempt,
            target=attempt.target,
            detail=detail,
        )
    )


def record_of_end(
    tables: state.State, attempt: job.Attempt, ended: event.AttemptEnd
) -> job.AttemptRecord:
    """Return the record of an attempt that ends now."""
    stopping = attempt.stopping.value if attempt.stopping else ''
    return job.AttemptRecord(
        attempt=attempt.attempt,
        target=attempt.target,
        placed_at=attempt.placed_at,
        started_at=attempt.started_at,
        ended_at=tables.time,
        reason=ended.reason,
        detail=ended.detail or stopping,
        lost_at=absence.lost_at(tables, attempt),
    )


def add_to_history(
    task: job.Task, record: job.AttemptRecord
) -> tuple[job.AttemptRecord, ...]:
    """Return a task's history with one more record, without the oldest."""
    return (*task.history, record)[-_MAX_HISTORY:]


def _close_attempt(
    tables: state.State, attempt: job.Attempt, ended: event.AttemptEnd
) -> job.Task:
    task = tables.tasks[attempt.task]
    record = record_of_end(tables, attempt, ended)
    # A reported completion or failure implies a start, even if none was seen.
    started_at = task.first_started_at
    if ended.reason in {job.EndReason.COMPLETED, job.EndReason.FAILED}:
        started_at = started_at or tables.time
    return msgspec.structs.replace(
        task,
        attempt=task_copy.other_attempt(task, attempt),
        copy=None,
        answer=ended.answer,
        checkpoint=ended.checkpoint or task.checkpoint,
        first_started_at=started_at,
        history=add_to_history(task, record),
        used_bytes=_used_bytes(tables, task, attempt),
    )


def _used_bytes(
    tables: state.State, task: job.Task, attempt: job.Attempt
) -> int:
    """Return the memory to place the task with, zero for its declared amount.

    Processor time can be throttled, so only memory use is remembered.
    """
    held = attempt.held.memory_bytes
    if held <= tables.task_specification(task).memory_bytes:
        return task.used_bytes
    return max(task.used_bytes, held)


def _reject_large_answer(
    tables: state.State, attempt: job.Attempt, ended: event.AttemptEnd
) -> event.AttemptEnd:
    specification = tables.specification(tables.tasks[attempt.task])
    limit = job.answer_limit(specification)
    if len(ended.answer) <= limit:
        return ended
    return msgspec.structs.replace(
        ended,
        reason=job.EndReason.ANSWER_TOO_LARGE,
        answer='',
        detail=f'the answer exceeds {limit} characters',
    )


def _record_result(
    tables: state.State,
    attempt: job.Attempt,
    task: job.Task,
    reason: job.EndReason,
) -> None:
    record = tables.jobs[task.job]
    if reason is job.EndReason.COMPLETED:
        backlog.count_completed(tables, task)
        retry.credit_budget(tables, record.specification.team)
        health.record_success(tables, attempt.target)
        tables.jobs[task.job] = msgspec.structs.replace(
            record, completions=record.completions + 1
        )
    elif reason is job.EndReason.FAILED:
        _record_failure(tables, attempt, record)
    elif _is_target_at_fault(attempt, reason):
        health.mark_unsteady(tables, attempt.target)


def _record_failure(
    tables: state.State, attempt: job.Attempt, record: job.Job
) -> None:
    failed_on = record.failed_on
    if attempt.target not in failed_on:
        failed_on = (*failed_on, attempt.target)[:_MAX_FAILED_TARGETS]
        record = msgspec.structs.replace(record, failed_on=failed_on)
        tables.jobs[record.job] = record
    # A job that has failed on several targets and never completed says nothing
    # about the targets.
    is_job_at_fault = (
        record.completions == 0 and len(failed_on) >= _MAX_FAILED_TARGETS
    )
    if not is_job_at_fault:
        health.record_failure(tables, attempt.target)


def _is_target_at_fault(attempt: job.Attempt, reason: job.EndReason) -> bool:
    """Return whether the target failed to carry out a start in time.

    Whatever its task, a refusal counts, and so does a start that was stopped
    because it was not confirmed, even if it was executed after the stop.
    """
    if reason in {job.EndReason.NEVER_STARTED, job.EndReason.STOPPED}:
        return attempt.stopping is job.StopReason.UNCONFIRMED
    return reason in {job.EndReason.REFUSED, job.EndReason.START_EXPIRED}


def _may_retry(specification: job.Specification, reason: job.EndReason) -> bool:
    if reason in job.NEVER_RAN_REASONS:
        return True
    if reason is job.EndReason.ANSWER_TOO_LARGE:
        return False
    return specification.is_idempotent


def _retry_task(
    tables: state.State,
    task: job.Task,
    attempt: job.Attempt,
    reason: job.EndReason,
) -> None:
    not_before = 0
    if reason in {job.EndReason.FAILED, job.EndReason.COMPLETED}:
        task = msgspec.structs.replace(task, failures=task.failures + 1)
        not_before = tables.time + retry.charge_retry(
            tables, tables.specification(task).team, task.failures
        )
    elif reason is job.EndReason.SESSION_LOST and attempt.started_at:
        # An attempt that never started cannot have caused the loss.
        task = msgspec.structs.replace(task, losses=task.losses + 1)
    if retry.is_exhausted(tables, task):
        finish_task(tables, task, job.TaskState.FAILED)
        return
    queueing.requeue(tables, task, not_before)


def _final_state(reason: job.EndReason) -> job.TaskState:
    if reason in {job.EndReason.FAILED, job.EndReason.ANSWER_TOO_LARGE}:
        return job.TaskState.FAILED
    return job.TaskState.UNKNOWN


def _set_job_running(tables: state.State, identifier: identity.JobId) -> None:
    record = tables.jobs[identifier]
    if record.state is job.JobState.QUEUED:
        adjust_pending(tables, record, -1)
        tables.jobs[identifier] = msgspec.structs.replace(
            record, state=job.JobState.RUNNING
        )


def finish_job(tables: state.State, record: job.Job) -> None:
    """Set the final state of a job whose tasks have all ended."""
    states = {task.state for task in tasks_of(tables, record)}
    if record.is_cancelled:
        states.add(job.TaskState.CANCELLED)
    worst = next(candidate for candidate in _WORST_FIRST if candidate in states)
    if record.state is job.JobState.QUEUED:
        adjust_pending(tables, record, -1)
    ended = msgspec.structs.replace(
        record, state=_FINAL_STATES[worst], ended_at=tables.time
    )
    tables.jobs[record.job] = ended
    index_ended(tables, ended)
    if record.specification.kind is job.Kind.WORKFLOW:
        workflow.trace_unfinished_steps(tables, record, worst)
    tables.emit(effect.ReportJobEnd(record.job))
    tables.emit(effect.Trace('job ended', job=record.job, detail=worst.value))


def index_ended(tables: state.State, record: job.Job) -> None:
    """Add a job that has ended to the indexes by end time."""
    position = (record.ended_at, record.job)
    if position not in tables.finished:
        tables.finished.add(position)
    if record.specification.steps and position not in tables.detailed:
        tables.detailed.add(position)
