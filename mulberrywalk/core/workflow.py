"""Steps of a workflow: when their tasks may run, and how their ends count.

A workflow is a job of several steps, some of which wait for others. It may
recur on a schedule, and its steps may last until the job is cancelled.
"""

from __future__ import annotations

import itertools

import msgspec

from . import (
    estimate,
    event,
    identity,
    job,
    lifecycle,
    near_room,
    objective,
    overload,
    queueing,
    resource,
    retry,
    run_length,
    speed,
    state,
    step_timing,
    task_copy,
    team_rate,
)

_RETRY_DELAY_MS = 200
_MAX_RETRY_DELAY_MS = 1600
_UNDELAYED_FAILURES = 1
# Moves worthless steps behind all other work and keeps their order.
_DEMOTION_MS = 600_000
# How long a lasting step may wait for a target that it fits on.
_MISFIT_PATIENCE_MS = 2000

# End reasons after which every member of a gang has to run again.
_GANG_RESTART_REASONS = frozenset(
    (
        job.EndReason.FAILED,
        *job.NEVER_RAN_REASONS,
        job.EndReason.SESSION_LOST,
        job.EndReason.LEASE_LAPSED,
        job.EndReason.GANG_INCOMPLETE,
    )
)


def schedule_first_occurrence(tables: state.State, record: job.Job) -> None:
    """Schedule the first occurrence of a job, and release it if it is due."""
    schedule_next_occurrence(tables, record)
    release_due(tables)


def release_due(tables: state.State) -> None:
    """Release the delayed tasks and occurrences that are due."""
    queueing.release_due(tables)
    while tables.due and tables.due[0][0] <= tables.time:
        _, name = tables.due.pop(0)
        record = tables.jobs[name]
        _release(tables, record)
        schedule_next_occurrence(tables, tables.jobs[name])


def drop_occurrences(tables: state.State, name: identity.JobId) -> None:
    """Drop the occurrences of a job that have not been released."""
    record = tables.jobs[name]
    specification = record.specification
    if specification.kind is not job.Kind.WORKFLOW or not record.unfinished:
        return
    remaining = specification.count_occurrences() - record.released
    tables.due.discard((_due_at(record, record.released), name))
    unfinished = record.unfinished - remaining * specification.count_tasks()
    record = msgspec.structs.replace(record, unfinished=unfinished)
    tables.jobs[name] = record
    if remaining and not unfinished:
        lifecycle.finish_job(tables, record)


def schedule_next_occurrence(tables: state.State, record: job.Job) -> None:
    """Schedule the next occurrence of a job, if there is one."""
    is_ended = record.is_cancelled or record.is_abandoned
    occurrences = record.specification.count_occurrences()
    if not is_ended and record.released < occurrences:
        due_at = _due_at(record, record.released)
        tables.due.add((due_at, record.job))


def steps_of(record: job.Job) -> list[identity.StepId]:
    """Return the steps of a job that exist so far."""
    return [
        job.step_id(record.job, occurrence, number)
        for occurrence in range(record.released)
        for number, _ in enumerate(record.specification.steps)
    ]


def tasks_of(tables: state.State, record: job.Job) -> list[job.Task]:
    """Return the tasks of a job that exist so far, in order."""
    return [
        task
        for step in steps_of(record)
        for task in members_of(tables, tables.steps[step])
    ]


def members_of(tables: state.State, step: job.Step) -> list[job.Task]:
    """Return the tasks of a step in order."""
    count = tables.step_specification(step).count
    return [tables.tasks[_task_id(step.step, index)] for index in range(count)]


def handle_attempt_end(
    tables: state.State,
    task: job.Task,
    attempt: job.Attempt,
    ended: event.AttemptEnd,
) -> None:
    """Complete, cancel or retry a workflow's task after an attempt ends."""
    record = tables.jobs[task.job]
    step = tables.steps[task.step_id()]
    needs = tables.step_specification(step)
    if _is_completed(needs, step, attempt, ended.reason):
        complete_task(tables, task, attempt)
    elif task.attempt is None and (record.is_cancelled or record.is_abandoned):
        lifecycle.finish_task(tables, task, job.TaskState.CANCELLED)
    else:
        _retry_task(tables, task, attempt, ended)


def demote_if_worthless(tables: state.State, name: identity.StepId) -> bool:
    """Move a step behind others once its job is too late to be worth anything.

    The step is not dropped, because every accepted job is run. Lasting work
    is worth something whenever it runs: it is demoted only while it fits on no
    known target. Should one come, overdue lasting work gets room wherever it
    stands in its queue. Returns whether the step was demoted by this call.
    """
    step = tables.steps[name]
    if is_demoted(step):
        return False
    if tables.step_specification(step).is_lasting:
        if not _fits_nowhere(tables, step):
            return False
    elif tables.time < step.worthless_at:
        return False
    numbers = list(tables.waiting.steps[name])
    members = members_of(tables, step)
    for number in numbers:
        queueing.remove_task(tables, members[number])
    tables.steps[name] = msgspec.structs.replace(
        step, order=step.order + _DEMOTION_MS
    )
    for number in numbers:
        queueing.add_task(tables, members[number])
    return True


def is_demoted(step: job.Step) -> bool:
    """Return whether a step has been moved behind others.

    Steps of jobs in excess are behind others from the start.
    """
    # Before a demotion, the order is earlier than worthless_at.
    return step.order > step.worthless_at + _DEMOTION_MS // 2


def trace_unfinished_steps(
    tables: state.State, record: job.Job, final: job.TaskState
) -> None:
    """Trace the end of the released steps that a job ended without."""
    steps = (tables.steps[name] for name in steps_of(record))
    for step in steps:
        if step.unfinished and not step.blocked_by:
            members = members_of(tables, step)
            step_timing.trace_end(tables, step, members, final.value)


def highest_attempt_number(tables: state.State, step: job.Step) -> int:
    """Return the highest attempt number of any task of a step."""
    numbers = (task.attempts for task in members_of(tables, step))
    return max(itertools.chain(numbers, (0,)))


def _due_at(record: job.Job, occurrence: int) -> int:
    recurrence = record.specification.recurrence
    if recurrence is None:
        return record.submitted_at
    return recurrence.first_at + occurrence * recurrence.interval_ms


def _fits_nowhere(tables: state.State, step: job.Step) -> bool:
    """Return whether a step has waited and suits no target, even an empty one.

    False while no target is known, as when a cell starts.
    """
    loads = tables.fleet.loads.values()
    if not loads or tables.time - step.released_at < _MISFIT_PATIENCE_MS:
        return False
    needs = tables.step_specification(step)
    pool = tables.jobs[step.job].specification.pool
    demand = needs.demand()
    return not any(
        load.matches(pool, needs.label) and resource.fits(demand, load.capacity)
        for load in loads
    )


def _release(tables: state.State, record: job.Job) -> None:
    occurrence = record.released
    specification = record.specification
    tables.jobs[record.job] = msgspec.structs.replace(
        record, released=occurrence + 1
    )
    due_at = max(_due_at(record, occurrence), record.submitted_at)
    typical_ms = estimate.typical_duration_ms(tables, specification.queue)
    allowed_ms = objective.objective_ms(specification, typical_ms)
    first_order = due_at + allowed_ms + team_rate.order_delay_ms(record)
    for number, needs in enumerate(specification.steps):
        chain_ms = objective.critical_path_ms(specification, number, typical_ms)
        step = job.Step(
            step=job.step_id(record.job, occurrence, number),
            job=record.job,
            occurrence=occurrence,
            number=number,
            sequence=record.sequence,
            order=first_order - chain_ms,
            worthless_at=due_at
            + overload.WORTHLESS_FACTOR * allowed_ms
            - chain_ms,
            blocked_by=len(set(needs.after)),
            unfinished=needs.count,
            released_at=0 if needs.after else tables.time,
            expected_ms=estimate.corrected_ms(needs.estimate_ms, typical_ms),
        )
        tables.steps[step.step] = step
        for index in range(needs.count):
            _add_task(tables, step, index)


def _add_task(tables: state.State, step: job.Step, index: int) -> None:
    task = job.Task(
        task=_task_id(step.step, index),
        job=step.job,
        number=index,
        state=job.TaskState.BLOCKED,
        submitted_at=tables.time,
        waiting_since=tables.time,
        occurrence=step.occurrence,
        step=step.number,
        sequence=step.sequence,
    )
    if step.blocked_by:
        tables.tasks[task.task] = task
    else:
        queueing.requeue(tables, task)


def _is_completed(
    needs: job.StepSpecification,
    step: job.Step,
    attempt: job.Attempt,
    reason: job.EndReason,
) -> bool:
    if needs.is_lasting:
        return False
    if reason is job.EndReason.COMPLETED:
        return True
    # A gang run counts as completed once one member has completed.
    return needs.is_gang and step.completed_run == attempt.number


def complete_task(
    tables: state.State, task: job.Task, attempt: job.Attempt
) -> None:
    """Complete a task by an attempt; its step ends with the last task.

    The members of a gang complete together: those that wait because their
    attempts of the same run were taken for lost are completed too. Other live
    attempts of the task are stopped.
    """
    step = tables.steps[task.step_id()]
    # A late end may be reported after its target has left.
    if attempt.started_at and attempt.target in tables.targets:
        queue = tables.specification(task).queue
        elapsed_ms = near_room.near_ms(
            tables, task, attempt.target, tables.time - attempt.started_at
        )
        estimate.add_sample(tables, queue, attempt.target, elapsed_ms)
    run_length.add_run(tables, step, attempt)
    step = tables.steps[step.step]
    task_copy.supersede(tables, task, attempt)
    is_gang = tables.step_specification(step).is_gang
    if is_gang:
        step = msgspec.structs.replace(step, completed_run=attempt.number)
        tables.steps[step.step] = step
    _finish_completed(tables, task)
    if is_gang:
        for member in _waiting_members(tables, step, attempt.number):
            queueing.remove_task(tables, member)
            _finish_completed(tables, member)


def _waiting_members(
    tables: state.State, step: job.Step, number: int
) -> list[job.Task]:
    """Return the members of a gang that wait since the run of that number."""
    return [
        member
        for member in members_of(tables, step)
        if member.state is job.TaskState.WAITING and member.attempts == number
    ]


def _finish_completed(tables: state.State, task: job.Task) -> None:
    step = tables.steps[task.step_id()]
    step = msgspec.structs.replace(step, unfinished=step.unfinished - 1)
    tables.steps[step.step] = step
    lifecycle.finish_task(tables, task, job.TaskState.COMPLETED)
    if step.unfinished == 0:
        members = members_of(tables, step)
        speed.add_samples(tables, step, members)
        step_timing.trace_end(
            tables, step, members, job.TaskState.COMPLETED.value
        )
        _unblock_dependents(tables, step)


def _unblock_dependents(tables: state.State, completed: job.Step) -> None:
    record = tables.jobs[completed.job]
    if record.is_cancelled or record.is_abandoned:
        return
    for number, needs in enumerate(record.specification.steps):
        if completed.number not in needs.after:
            continue
        name = job.step_id(completed.job, completed.occurrence, number)
        step = _note_completed_earlier_step(tables, name)
        if step.blocked_by == 0:
            for task in members_of(tables, step):
                queueing.requeue(tables, task)


def _note_completed_earlier_step(
    tables: state.State, name: identity.StepId
) -> job.Step:
    step = tables.steps[name]
    blocked_by = step.blocked_by - 1
    released_at = 0 if blocked_by else tables.time
    step = msgspec.structs.replace(
        step, blocked_by=blocked_by, released_at=released_at
    )
    tables.steps[name] = step
    return step


def _retry_task(
    tables: state.State,
    task: job.Task,
    attempt: job.Attempt,
    ended: event.AttemptEnd,
) -> None:
    step = tables.steps[task.step_id()]
    needs = tables.step_specification(step)
    if ended.reason in job.NEVER_RAN_REASONS:
        _drop_ticket(tables, step, attempt)
    if ended.reason is job.EndReason.FAILED:
        task = msgspec.structs.replace(task, failures=task.failures + 1)
    if needs.is_gang:
        # Store the task first, because stopping the gang reads all members.
        tables.tasks[task.task] = task
        _stop_gang_run(tables, task, attempt, ended.reason)
    if task.attempt is not None:
        is_exhausted = _is_exhausted(tables, task)
        task_copy.go_on(
            tables, task, attempt, ended.reason, is_exhausted=is_exhausted
        )
        return
    if _is_exhausted(tables, task):
        lifecycle.finish_task(tables, task, job.TaskState.FAILED)
        _abandon_job(tables, task.job)
        return
    queueing.requeue(tables, task, _retry_at(tables, task, ended.reason))


def _retry_at(
    tables: state.State, task: job.Task, reason: job.EndReason
) -> int:
    if reason in job.NEVER_RAN_REASONS:
        return tables.time + _RETRY_DELAY_MS
    if (
        reason is not job.EndReason.FAILED
        or task.failures <= _UNDELAYED_FAILURES
    ):
        return 0
    max_multiple = _MAX_RETRY_DELAY_MS // _RETRY_DELAY_MS
    doublings = min(task.failures - _UNDELAYED_FAILURES - 1, max_multiple)
    return tables.time + _RETRY_DELAY_MS * min(1 << doublings, max_multiple)


def _is_exhausted(tables: state.State, task: job.Task) -> bool:
    step = tables.steps[task.step_id()]
    needs = tables.step_specification(step)
    if needs.is_lasting:
        return False
    failures = step.failures if needs.is_gang else task.failures
    return failures >= retry.failure_limit(tables, task)


def _stop_gang_run(
    tables: state.State,
    task: job.Task,
    attempt: job.Attempt,
    reason: job.EndReason,
) -> None:
    """Count a failed gang run and stop its members, as none can go on alone."""
    step = tables.steps[task.step_id()]
    if reason is job.EndReason.FAILED and step.failed_run != attempt.number:
        step = msgspec.structs.replace(
            step, failures=step.failures + 1, failed_run=attempt.number
        )
        tables.steps[step.step] = step
    if reason not in _GANG_RESTART_REASONS:
        return
    live = [
        tables.attempts[member.attempt]
        for member in members_of(tables, step)
        if member.attempt is not None
    ]
    for other in live:
        lifecycle.stop(tables, other, job.StopReason.GANG_BROKEN)


def _drop_ticket(
    tables: state.State, step: job.Step, attempt: job.Attempt
) -> None:
    """Drop the ticket of an attempt, but keep one granted since."""
    kept = tuple(
        ticket
        for ticket in step.tickets
        if ticket.target != attempt.target or ticket.ticket != attempt.ticket
    )
    if len(kept) < len(step.tickets):
        tables.steps[step.step] = msgspec.structs.replace(step, tickets=kept)


def _abandon_job(tables: state.State, name: identity.JobId) -> None:
    """Cancel the unfinished tasks of a job that can no longer complete."""
    record = tables.jobs[name]
    if record.is_abandoned:
        return
    record = msgspec.structs.replace(record, is_abandoned=True)
    tables.jobs[name] = record
    for task in tasks_of(tables, record):
        lifecycle.cancel_task(tables, task, job.StopReason.ABANDONED)
    drop_occurrences(tables, name)


def _task_id(step: identity.StepId, index: int) -> identity.TaskId:
    return identity.TaskId(f'{step}.{index}')
