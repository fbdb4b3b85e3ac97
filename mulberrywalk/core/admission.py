"""Admission and cancellation of jobs."""

from __future__ import annotations

import msgspec

from . import (
    configuration,
    effect,
    event,
    identity,
    job,
    job_shape,
    lifecycle,
    outcome,
    ownership,
    queueing,
    refusal,
    state,
    team_admission,
    team_limit,
    team_rate,
    waiting,
    workflow,
)

_RETRY_AFTER_MS = 1000


def submit(
    tables: state.State, submitted: event.JobSubmitted
) -> outcome.Outcome:
    """Accept or refuse a job, or repeat the first answer to a duplicate.

    A refusal is repeated as well, see refusal.py. A job that was cancelled
    before it arrived is refused, see early_cancellation.py.
    """
    specification = submitted.specification
    request = (specification.team, specification.request_id)
    existing = tables.requests.get(request)
    if existing is not None:
        return _repeat_acceptance(tables.jobs[existing], submitted.digest)
    repeated = refusal.repeat(tables, submitted)
    if repeated is not None:
        return repeated
    queue = tables.queues.get(specification.queue)
    if specification.queue and queue is None:
        # Not recorded, because the queue may exist when the request is retried.
        return outcome.NotRun(
            outcome.RefusalReason.UNKNOWN_QUEUE,
            f'no queue {specification.queue}',
        )
    if queue is not None:
        specification = _apply_queue(specification, queue)
        submitted = msgspec.structs.replace(
            submitted, specification=specification
        )
    if _is_cancelled_early(tables, specification):
        return _refuse_cancelled(tables, specification.job)
    refused = _find_refusal(tables, specification)
    if refused is not None:
        return refusal.record(tables, submitted, refused)
    refusal.drop(tables, submitted)
    return _accept(tables, submitted)


def _accept(
    tables: state.State, submitted: event.JobSubmitted
) -> outcome.Outcome:
    specification = submitted.specification
    record = _create_job(tables, submitted)
    tables.jobs[record.job] = record
    request = (specification.team, specification.request_id)
    tables.requests[request] = record.job
    lifecycle.adjust_pending(tables, record, 1)
    if specification.kind is job.Kind.WORKFLOW:
        workflow.schedule_first_occurrence(tables, record)
    for number, _ in enumerate(specification.tasks):
        queueing.add_task(tables, _create_task(record, number))
    tables.emit(
        effect.Trace(
            'accepted', job=record.job, detail=specification.request_id
        )
    )
    return outcome.Accepted(record.job)


def cancel(
    tables: state.State, cancelled: event.JobCancelled
) -> outcome.Outcome:
    """Cancel the waiting tasks of a job and stop its running ones.

    Nothing is done for a caller of another team. The cancel of a job that is
    not known holds for the job if it arrives later.
    """
    record = tables.jobs.get(cancelled.job)
    if record is None:
        return _cancel_early(tables, cancelled)
    refusal = ownership.find_refusal(tables, record, cancelled.team)
    if refusal is not None:
        return refusal
    if record.unfinished and not record.is_cancelled:
        record = msgspec.structs.replace(record, is_cancelled=True)
        tables.jobs[record.job] = record
        for task in lifecycle.tasks_of(tables, record):
            lifecycle.cancel_task(tables, task, job.StopReason.CANCELLED)
        workflow.drop_occurrences(tables, record.job)
    return outcome.Cancelled(record.job, tables.jobs[record.job].state)


def _cancel_early(
    tables: state.State, cancelled: event.JobCancelled
) -> outcome.Outcome:
    name = cancelled.job
    if 0 < len(name) <= job.MAX_NAME_LENGTH:
        is_recorded = tables.early_cancellations.add(
            name, cancelled.team, tables.time
        )
        if not is_recorded:
            # Without a record the job could still run, so that the answer must
            # not be final.
            return outcome.Unavailable(
                outcome.RefusalReason.OVERLOADED,
                'too many jobs that are not known were cancelled',
                _RETRY_AFTER_MS,
            )
        tables.emit(effect.Trace('cancelled before its arrival', job=name))
    return outcome.NotRun(outcome.RefusalReason.NOT_FOUND, f'no job {name}')


def _is_cancelled_early(
    tables: state.State, specification: job.Specification
) -> bool:
    """Return whether a caller that may cancel a job did so before it came."""
    name = identity.JobId(specification.job)
    teams = tables.early_cancellations.find_teams(name)
    if not teams:
        return False
    owner = ownership.find_owner(tables, specification)
    return any(ownership.may_access(owner, team) for team in teams)


def _refuse_cancelled(tables: state.State, name: str) -> outcome.Outcome:
    """Refuse a job for good, also to copies that arrive still later."""
    tables.early_cancellations.renew(identity.JobId(name), tables.time)
    detail = f'job {name} was cancelled before it arrived'
    tables.emit(effect.Trace('refused', job=name, detail=detail))
    return outcome.NotRun(outcome.RefusalReason.CANCELLED, detail)


def _repeat_acceptance(record: job.Job, digest: str) -> outcome.Outcome:
    if record.digest == digest:
        return outcome.Accepted(record.job)
    request_id = record.specification.request_id
    return outcome.NotRun(
        outcome.RefusalReason.REQUEST_REUSED,
        f'request id {request_id} belongs to job {record.job}, another body',
    )


def _find_refusal(
    tables: state.State, specification: job.Specification
) -> outcome.NotRun | None:
    invalid = _find_invalidity(tables, specification)
    if invalid is not None:
        return invalid
    key = waiting.queue_key(specification.urgency, specification.team)
    limits = tables.configuration.document.classes[specification.urgency]
    max_queued = limits.queued_tasks_per_team
    waiting_tasks = tables.waiting.counts.get(key, 0)
    if waiting_tasks + specification.count_tasks() <= max_queued:
        return team_admission.find_refusal(tables, specification)
    return outcome.NotRun(
        outcome.RefusalReason.QUEUE_FULL,
        f'{waiting_tasks} tasks of this team and urgency wait, of {max_queued}',
        _RETRY_AFTER_MS,
    )


def _apply_queue(
    specification: job.Specification, queue: configuration.Queue
) -> job.Specification:
    """Return the job with the current settings of its queue."""
    return msgspec.structs.replace(
        specification,
        pool=queue.pool,
        urgency=queue.urgency,
        max_failures=queue.max_failures,
        objective_ms=queue.objective_ms,
        slack_percent=queue.slack_percent,
        advice=queue.advice,
    )


def _find_invalidity(
    tables: state.State, specification: job.Specification
) -> outcome.NotRun | None:
    """Return a refusal if the job is invalid, otherwise None."""
    if specification.job in tables.jobs:
        return outcome.NotRun(
            outcome.RefusalReason.REQUEST_REUSED,
            f'there is a job {specification.job} already',
        )
    fault = job_shape.find_field_error(specification)
    if fault is not None:
        return outcome.NotRun(
            outcome.RefusalReason.INVALID_JOB,
            f'{fault.field}: {fault.message}',
        )
    return team_limit.find_refusal(tables, specification)


def _create_job(tables: state.State, submitted: event.JobSubmitted) -> job.Job:
    specification = submitted.specification
    sequence = _next_free_sequence(tables)
    count = specification.count_tasks() * specification.count_occurrences()
    return job.Job(
        job=identity.JobId(specification.job) or _generated_id(sequence),
        specification=specification,
        digest=submitted.digest,
        state=job.JobState.QUEUED,
        submitted_at=tables.time,
        unfinished=count,
        sequence=sequence,
        is_excess=not team_rate.take_token(tables, specification.team),
    )


def _next_free_sequence(tables: state.State) -> int:
    """Return the next sequence number whose identifier no caller has named."""
    while True:
        sequence = tables.next_sequence()
        name = _generated_id(sequence)
        is_cancelled = bool(tables.early_cancellations.find_teams(name))
        if name not in tables.jobs and not is_cancelled:
            return sequence


def _generated_id(sequence: int) -> identity.JobId:
    return identity.JobId(f'j{sequence}')


def _create_task(record: job.Job, number: int) -> job.Task:
    return job.Task(
        task=job.task_id(record.job, number),
        job=record.job,
        number=number,
        state=job.TaskState.WAITING,
        submitted_at=record.submitted_at,
        waiting_since=record.submitted_at,
        sequence=record.sequence,
    )
