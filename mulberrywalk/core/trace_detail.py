"""What the lines about an attempt tell of its times, in milliseconds.

The load that this answers: recoveries of several attempts, each of which was
short enough. The stages of one add up to its whole.
"""

from __future__ import annotations

from . import absence, effect, event, job, state


def for_placement(tables: state.State, task: job.Task) -> str:
    """Return how long a task that is placed has waited."""
    waited_ms = tables.time - task.waiting_since
    return effect.format_detail(
        {'waited_ms': waited_ms, **_absent(tables, task)}
    )


def for_start(tables: state.State, attempt: job.Attempt) -> str:
    """Return how long ago an attempt that is confirmed was placed."""
    told = _placed(tables, attempt)
    return effect.format_detail(
        {**told, **_absent(tables, tables.tasks[attempt.task])}
    )


def for_end(
    tables: state.State, attempt: job.Attempt, ended: event.AttemptEnd
) -> str:
    """Return why an attempt has ended, and how long it held its capacity."""
    told = _placed(tables, attempt)
    if attempt.started_at:
        told['started_ms_ago'] = tables.time - attempt.started_at
    else:
        is_proof = ended.reason in absence.REASONS_PROVING_START
        told['started'] = 'unseen' if is_proof else 'never'
    if attempt.stopping is not None:
        told['stopping'] = attempt.stopping.value
    if attempt.lost_at:
        told['lost_ms'] = tables.time - attempt.lost_at
    silence = tables.targets[attempt.target].silence
    if silence is not None:
        told['silent_ms'] = tables.time - silence.last_heard_at()
    words = (ended.reason.value, ended.detail, effect.format_detail(told))
    return ' '.join(word for word in words if word)


def _placed(tables: state.State, attempt: job.Attempt) -> dict[str, int | str]:
    return {'placed_ms_ago': tables.time - attempt.placed_at}


def _absent(tables: state.State, task: job.Task) -> dict[str, int | str]:
    """Return for how long a task that lasts has not run."""
    if task.task not in tables.absent:
        return {}
    return {'absent_ms': tables.time - absence.absent_since(tables, task)}
