"""Gangs that do not come together are stopped before a member waits alone.

The load that this answers: starts of a gang that are delayed or lost while
others of it have begun to wait. Each member gives up by itself after some
seconds; stopped before, they are run again together, and sooner.
"""

from __future__ import annotations

from . import job, lifecycle, state, workflow

# From the placement; the least that a member waits for the others is 3 s.
PATIENCE_MS = 1800


def is_due(tables: state.State, now: int) -> bool:
    """Return whether a gang has not come together by this time."""
    waiting = tables.assembling
    return bool(waiting) and waiting[0][0] + PATIENCE_MS <= now


def review(tables: state.State) -> None:
    """Stop the runs of gangs of which a member has not started in time."""
    while is_due(tables, tables.time):
        _, name = tables.assembling[0]
        task = tables.tasks[tables.attempts[name].task]
        step = tables.steps[task.step_id()]
        for member in workflow.members_of(tables, step):
            if member.attempt is not None:
                lifecycle.stop(
                    tables,
                    tables.attempts[member.attempt],
                    job.StopReason.GANG_BROKEN,
                )
