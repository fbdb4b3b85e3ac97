"""Details of trace lines about an attempt, with durations in milliseconds.

They show where a recovery spent its time when it took several attempts, each
of them short enough: the stages of a recovery add up to its whole duration.
"""

from __future__ import annotations

from . import absence, effect, event, job, state


def for_placement(tables: state.State, task: job.Task) -> str:
    """Return how long a task waited until it was placed."""
    waited_ms = tables.time - task.waiting_since
    return effect.format_detail(
        {'waited_ms': waited_ms, **_time_absent(tables, task)}
    )


def for_start(tables: state.State, attempt: job.Attempt) -> str:
    """Return how long before its confirmed start an attempt was placed."""
    durations = _time_since_placement(tables, attempt)
    return effect.format_detail(
        {**durations, **_time_absent(tables, tables.tasks[attempt.task])}
    )


def for_end(
    tables: state.State, attempt: job.Attempt, ended: event.AttemptEnd
) -> str:
    """Return why an attempt ended and how long it held its capacity."""
    details = _time_since_placement(tables, attempt)
    if attempt.started_at:
        details['started_ms_ago'] = tables.time - attempt.started_at
    else:
        has_run = ended.reason in absence.REASONS_PROVING_START
        details['started'] = 'unseen' if has_run else 'never'
    if attempt.stopping is not None:
        details['stopping'] = attempt.stopping.value
    if attempt.stopping_at:
        details['stopping_ms'] = tables.time - attempt.stopping_at
    if attempt.lost_at:
        details['lost_ms'] = tables.time - attempt.lost_at
    silence = tables.targets[attempt.target].silence
    if silence is not None:
        details['silent_ms'] = tables.time - silence.last_heard_at()
    words = (ended.reason.value, ended.detail, effect.format_detail(details))
    return ' '.join(word for word in words if word)


def _time_since_placement(
    tables: state.State, attempt: job.Attempt
) -> dict[str, int | str]:
    return {'placed_ms_ago': tables.time - attempt.placed_at}


def _time_absent(tables: state.State, task: job.Task) -> dict[str, int | str]:
    """Return for how long a lasting task has not been running."""
    if task.task not in tables.absent:
        return {}
    return {'absent_ms': tables.time - absence.absent_since(tables, task)}
