"""How long the tasks of a speculative step run, and which runs are watched."""

from __future__ import annotations

import dataclasses

import msgspec

from . import estimate, identity, job, speed, state, task_copy

# With fewer ended tasks, or less than this part of the step, the duration in
# the queue is used instead: those that end first are the shortest.
MIN_SIBLINGS = 3
_MIN_SIBLINGS_DIVISOR = 2
# Shorter runs are not compared: what a copy saves is less than it takes to
# order its start and to learn its end.
FLOOR_MS = 200
# The first review is at this part of the expected duration, which is in time
# for a run on a slow target.
_FIRST_REVIEW_DIVISOR = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Nominal:
    """Duration of a task on a target of average speed; zero if unknown.

    siblings counts the ended tasks of the step that show it; with none it is
    that of the queue.
    """

    ms: int
    siblings: int

    def on(self, tables: state.State, name: identity.TargetId) -> int:
        """Return the duration on a target of measured speed, in ms."""
        slowness = speed.slowness_of(tables, name)
        return self.ms * slowness // speed.AVERAGE_SLOWNESS


def find_nominal(tables: state.State, step: job.Step) -> Nominal:
    """Return how long a task of a step takes on an average target."""
    needs = tables.step_specification(step)
    least = max(MIN_SIBLINGS, needs.count // _MIN_SIBLINGS_DIVISOR)
    if step.ended_runs >= least:
        return Nominal(step.nominal_ms // step.ended_runs, step.ended_runs)
    queue = tables.jobs[step.job].specification.queue
    typical_ms = estimate.typical_duration_ms(tables, queue)
    if not typical_ms:
        return Nominal(0, 0)
    submitted_ms = needs.estimate_ms or typical_ms
    return Nominal(estimate.corrected_ms(submitted_ms, typical_ms), 0)


def add_run(
    tables: state.State, step: job.Step, completed: job.Attempt
) -> None:
    """Add the duration of a completed task to those of its step."""
    needs = tables.step_specification(step)
    is_measured = completed.started_at and speed.is_near(
        tables, needs, completed.target
    )
    if not is_measured or not task_copy.may_have(needs):
        return
    took_ms = tables.time - completed.started_at
    slowness = speed.slowness_of(tables, completed.target)
    tables.steps[step.step] = msgspec.structs.replace(
        step,
        ended_runs=step.ended_runs + 1,
        nominal_ms=step.nominal_ms
        + took_ms * speed.AVERAGE_SLOWNESS // slowness,
    )


def watch(tables: state.State, task: job.Task, started: job.Attempt) -> None:
    """Review a run that has started if its task may have a copy."""
    step = tables.steps.get(task.step_id())
    if step is None:
        return
    needs = tables.step_specification(step)
    if not task_copy.may_have(needs):
        return
    expected_ms = find_nominal(tables, step).ms or needs.estimate_ms
    delay_ms = max(FLOOR_MS, expected_ms // _FIRST_REVIEW_DIVISOR)
    tables.reviews.schedule(started.attempt, tables.time + delay_ms)


def review_now(tables: state.State, session: identity.SessionId) -> None:
    """Review the runs of a session at once, as its target is silent."""
    for name in sorted(tables.attempts_by_session.get(session, ())):
        task = tables.tasks[tables.attempts[name].task]
        needs = tables.task_specification(task)
        if isinstance(needs, job.StepSpecification) and task_copy.may_have(
            needs
        ):
            tables.reviews.schedule(name, tables.time)
