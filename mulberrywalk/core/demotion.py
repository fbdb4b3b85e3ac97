"""Finds the steps at the front of the queues that have lost their value."""

from __future__ import annotations

from . import identity, job, state, waiting, workflow

# Positions of each queue that are looked at.
_FRONT = 16


def demote_worthless(tables: state.State) -> None:
    """Move steps that have lost their value behind those that have not.

    A queue that has not changed is looked at again only when the first of its
    steps loses its value.
    """
    due = [
        key
        for key in tables.waiting.queues
        if tables.time >= tables.waiting.worthless_at.get(key, 0)
    ]
    fronts = {key: _peek_steps(tables, key) for key in due}
    for key, names in fronts.items():
        demoted = [workflow.demote_if_worthless(tables, name) for name in names]
        if not any(demoted):
            tables.waiting.worthless_at[key] = _find_next(tables, names)


def _peek_steps(
    tables: state.State, key: waiting.QueueKey
) -> list[identity.StepId]:
    names = (
        identity.StepId(position.task)
        for position in tables.waiting.peek(key, _FRONT)
    )
    return [name for name in names if name in tables.waiting.steps]


def _find_next(tables: state.State, names: list[identity.StepId]) -> int:
    """Return when to look at steps again, none of which was demoted.

    Whether lasting work is demoted depends on more than the time.
    """
    steps = [tables.steps[name] for name in names]
    if any(tables.step_specification(step).is_lasting for step in steps):
        return 0
    times = (
        step.worthless_at for step in steps if step.worthless_at > tables.time
    )
    return min(times, default=job.MAX_INT64)
