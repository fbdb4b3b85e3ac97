"""Reports where a step spent its time, once, when it has ended.

Only what the tasks' history doesn't hold is noted while the step goes on, so
that the scheduling pass is not slowed down.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import msgspec

from . import effect, job, state, task_copy


def count_questions(tables: state.State) -> None:
    """Count the questions to the adviser among the effects of an event."""
    for requested in tables.effects:
        if isinstance(requested, effect.AskAdvice):
            step = tables.steps[requested.step]
            tables.steps[step.step] = msgspec.structs.replace(
                step, questions=step.questions + 1
            )


def note_answer(tables: state.State, before: job.Step) -> None:
    """Note the time of an answer, and of the first ticket.

    before is the step as it was before the answer was recorded.
    """
    step = tables.steps[before.step]
    asking_ms = step.asking_ms
    if before.asked_at and not step.asked_at:
        asking_ms += tables.time - before.asked_at
    first_ticket_at = step.first_ticket_at
    if step.tickets and not first_ticket_at:
        first_ticket_at = tables.time
    tables.steps[step.step] = msgspec.structs.replace(
        step, asking_ms=asking_ms, first_ticket_at=first_ticket_at
    )


def trace_end(
    tables: state.State, step: job.Step, members: list[job.Task], final: str
) -> None:
    """Add the timeline entry of a step whose tasks have all ended."""
    fields: dict[str, int | str] = {
        'queue': tables.jobs[step.job].specification.queue,
        'tasks': len(members),
    }
    if step.released_at:
        fields |= _find_stages(tables, step, members)
    fields |= _add_up_attempts(members)
    fields['questions'] = step.questions
    fields['asking_ms'] = step.asking_ms
    detail = f'{step.step}: {final} {effect.format_detail(fields)}'
    tables.emit(effect.Trace('step ended', job=step.job, detail=detail))


def _find_stages(
    tables: state.State, step: job.Step, members: list[job.Task]
) -> dict[str, int]:
    """Return the stages of a step, which add up to its whole time.

    A stage that the step never left lasts until its end.
    """
    placed = [
        task_copy.first_placed_at(tables, task)
        for task in members
        if task.history
    ]
    first_at = min(placed, default=tables.time)
    last_at = max(placed) if len(placed) == len(members) else tables.time
    advised_at = step.released_at
    if tables.jobs[step.job].specification.advice is not None:
        advised_at = min(step.first_ticket_at or tables.time, first_at)
    return {
        'ms': tables.time - step.released_at,
        'advice_ms': advised_at - step.released_at,
        'first_place_ms': first_at - advised_at,
        'last_place_ms': last_at - first_at,
        'after_ms': tables.time - last_at,
    }


def _add_up_attempts(members: list[job.Task]) -> dict[str, int]:
    """Return the sums over all attempts of all tasks, as far as kept."""
    attempts = [ended for task in members for ended in task.history]
    uncompleted = [
        ended
        for ended in attempts
        if ended.reason is not job.EndReason.COMPLETED
    ]
    return {
        'start_ms': sum(
            (ended.started_at or ended.ended_at) - ended.placed_at
            for ended in attempts
        ),
        'run_ms': sum(
            ended.ended_at - ended.started_at
            for ended in attempts
            if ended.started_at
        ),
        'again_ms': sum(
            wait for task in members for wait in _find_waits_between(task)
        ),
        'attempts': len(attempts),
        'uncompleted': len(uncompleted),
    }


def _find_waits_between(task: job.Task) -> Iterator[int]:
    """Yield how long a task waited after each attempt for the next one."""
    for earlier, later in itertools.pairwise(task.history):
        # Two attempts of a task of a speculative step may overlap.
        yield max(0, later.placed_at - earlier.ended_at)
