"""Relative speed of targets, measured by the tasks that they have run.

A step of several tasks ends with its slowest one, and targets differ in speed
or become slow while they run. Urgent work therefore goes to fast targets, and
less urgent work leaves these free. What targets announce is not used.
"""

from __future__ import annotations

import msgspec

from . import identity, job, state, target

# Slowness is a duration in permille of the duration on an average target.
AVERAGE_SLOWNESS = 1000
# From this slowness on, a target is used for what fits nowhere else.
SLOW_THRESHOLD = 1500
_MIN_TASKS = 3
_MIN_SLOWNESS = 250
_MAX_SLOWNESS = 8000
# A new sample enters the moving average with the weight 1 / divisor.
_SMOOTHING_DIVISOR = 8
# Time without samples after which the deviation from the average is halved.
_HALF_LIFE_MS = 10_000


def slowness_of(tables: state.State, name: identity.TargetId) -> int:
    """Return the duration of tasks on a target, in permille of the average."""
    measured = tables.targets[name].speed
    elapsed_ms = tables.time - measured.learned_at
    excess = measured.slowness - AVERAGE_SLOWNESS
    return AVERAGE_SLOWNESS + excess * _HALF_LIFE_MS // (
        _HALF_LIFE_MS + elapsed_ms
    )


def add_samples(
    tables: state.State, step: job.Step, members: list[job.Task]
) -> None:
    """Compare the durations of the tasks of an ended step with each other.

    The tasks of a step are equal work, so inaccurate estimates do not matter.
    """
    needs = tables.step_specification(step)
    if needs.is_gang or needs.count < _MIN_TASKS:
        return
    durations = [
        (record.target, record.ended_at - record.started_at)
        for task in members
        for record in _last_run(task)
        if record.started_at and is_near(tables, needs, record.target)
    ]
    if len(durations) < _MIN_TASKS:
        return
    nominal_ms = sum(
        took_ms * AVERAGE_SLOWNESS // slowness_of(tables, name)
        for name, took_ms in durations
    ) // len(durations)
    for name, took_ms in durations:
        _add_sample(
            tables, name, took_ms * AVERAGE_SLOWNESS // max(1, nominal_ms)
        )


def add_overtaken(
    tables: state.State, overtaken: job.Attempt, completed: job.Attempt
) -> None:
    """Learn from a run that another run of the same task has overtaken.

    It is stopped and never measured, so that without this its target would
    keep the speed from before it became slow.
    """
    needs = tables.step_specification(
        tables.steps[tables.tasks[completed.task].step_id()]
    )
    runs = (overtaken, completed)
    if not all(
        run.started_at and is_near(tables, needs, run.target) for run in runs
    ):
        return
    ran_ms, took_ms = (tables.time - run.started_at for run in runs)
    nominal_ms = (
        took_ms * AVERAGE_SLOWNESS // slowness_of(tables, completed.target)
    )
    sample = ran_ms * AVERAGE_SLOWNESS // max(1, nominal_ms)
    if sample > slowness_of(tables, overtaken.target):
        _add_sample(tables, overtaken.target, sample)


def _last_run(task: job.Task) -> tuple[job.AttemptRecord, ...]:
    """Return the record of the run that completed a task, if there is one.

    Of a speculative step, the end of another attempt may follow it.
    """
    completed = [
        record
        for record in task.history
        if record.reason is job.EndReason.COMPLETED
    ]
    return tuple(completed[-1:]) or task.history[-1:]


def is_near(
    tables: state.State, needs: job.StepSpecification, name: identity.TargetId
) -> bool:
    """Return whether a target is still known and was near the data."""
    record = tables.targets.get(name)
    if record is None:
        return False
    return not needs.data_rack or record.rack == needs.data_rack


def _add_sample(
    tables: state.State, name: identity.TargetId, sample: int
) -> None:
    current = slowness_of(tables, name)
    clamped = max(_MIN_SLOWNESS, min(_MAX_SLOWNESS, sample))
    slowness = current + (clamped - current) // _SMOOTHING_DIVISOR
    tables.targets[name] = msgspec.structs.replace(
        tables.targets[name], speed=target.Speed(slowness, tables.time)
    )
