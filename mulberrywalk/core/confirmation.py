"""Starts that no target confirms are given up before they hold a task up.

The load that this answers: targets that answer looks and carry out no orders,
and orders that are lost or late, while much lasting work is placed again. An
attempt holds its task until it is known not to run, so that each stage of the
way to the next one needs a bound. Members of a gang wait for each other and
give up by themselves after some seconds; stopped before, they are run again
together, and sooner.
"""

from __future__ import annotations

from . import job, lifecycle, state, workflow

# From the placement; the least that a member waits for the others is 3 s.
GANG_START_TIMEOUT_MS = 1800
# Beyond the first two times that the order is given.
START_TIMEOUT_MS = 2500


def has_overdue_start(tables: state.State, now: int) -> bool:
    """Return whether a start has not been confirmed by this time."""
    waiting = tables.unconfirmed
    return bool(waiting) and waiting[0][0] + GANG_START_TIMEOUT_MS <= now


def stop_overdue_starts(tables: state.State) -> None:
    """Stop what has not started in time; a gang as a whole.

    What is on a silent target is left alone: it may run, and its end is known
    when the target is heard again or its lease has run out.
    """
    if not has_overdue_start(tables, tables.time):
        return
    placed_until = (tables.time - GANG_START_TIMEOUT_MS + 1, '')
    late = tables.unconfirmed.irange(
        maximum=placed_until, inclusive=(True, False)
    )
    for _, name in list(late):
        _give_up(tables, tables.attempts[name])


def _give_up(tables: state.State, attempt: job.Attempt) -> None:
    task = tables.tasks[attempt.task]
    step = tables.steps[task.step_id()]
    waited_ms = tables.time - _waits_since(tables, attempt)
    if tables.step_specification(step).is_gang:
        if waited_ms >= GANG_START_TIMEOUT_MS:
            _stop_gang(tables, step)
    elif waited_ms >= START_TIMEOUT_MS and not _is_silent(tables, attempt):
        lifecycle.stop(tables, attempt, job.StopReason.UNCONFIRMED)


def _waits_since(tables: state.State, attempt: job.Attempt) -> int:
    """Return from when on a confirmation could have come.

    Not while nobody led, and not in a silence of the target.
    """
    changed_at = tables.targets[attempt.target].silence_changed_at
    return max(attempt.placed_at, tables.leader_since, changed_at)


def _stop_gang(tables: state.State, step: job.Step) -> None:
    live = [
        tables.attempts[member.attempt]
        for member in workflow.members_of(tables, step)
        if member.attempt is not None
    ]
    for attempt in live:
        is_missing = not attempt.started_at and not _is_silent(tables, attempt)
        reason = job.StopReason.GANG_BROKEN
        if is_missing:
            reason = job.StopReason.UNCONFIRMED
        lifecycle.stop(tables, attempt, reason)


def _is_silent(tables: state.State, attempt: job.Attempt) -> bool:
    return tables.targets[attempt.target].silence is not None
