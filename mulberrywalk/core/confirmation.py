"""Stops attempts whose start is not confirmed in time.

A target may answer status requests and yet carry out no orders, and orders
may be lost or late while much lasting work is placed again. An attempt blocks
its task until it is known not to run, so each step towards the next attempt
needs a timeout. Members of a gang wait
for each other and give up by themselves after some seconds; stopping them
earlier lets the whole gang run again sooner.
"""

from __future__ import annotations

from . import job, lifecycle, state, workflow

# Counted from the placement. A gang member waits at least 3 s for the others,
# so a gang is stopped before its members give up.
GANG_START_TIMEOUT_MS = 1800
# Longer than it takes to send the start order twice.
START_TIMEOUT_MS = 2500


def has_overdue_start(tables: state.State, now: int) -> bool:
    """Return whether a start may have exceeded its timeout by now."""
    starts = tables.unconfirmed
    return bool(starts) and starts[0][0] + GANG_START_TIMEOUT_MS <= now


def stop_overdue_starts(tables: state.State) -> None:
    """Stop attempts that have not started in time, and their whole gang.

    Except in a gang, attempts on a silent target are left alone: they may be
    running, and the outcome is known once the target is heard from again or
    its lease expires.
    """
    if not has_overdue_start(tables, tables.time):
        return
    placed_until = (tables.time - GANG_START_TIMEOUT_MS + 1, '')
    overdue = tables.unconfirmed.irange(
        maximum=placed_until, inclusive=(True, False)
    )
    for _, name in list(overdue):
        _stop_if_overdue(tables, tables.attempts[name])


def _stop_if_overdue(tables: state.State, attempt: job.Attempt) -> None:
    task = tables.tasks[attempt.task]
    step = tables.steps[task.step_id()]
    waited_ms = tables.time - _timeout_start(tables, attempt)
    if tables.step_specification(step).is_gang:
        if waited_ms >= GANG_START_TIMEOUT_MS:
            _stop_gang(tables, step)
    elif waited_ms >= START_TIMEOUT_MS and not _is_silent(tables, attempt):
        lifecycle.stop(tables, attempt, job.StopReason.UNCONFIRMED)


def _timeout_start(tables: state.State, attempt: job.Attempt) -> int:
    """Return from when on a confirmation could have arrived.

    None can arrive while there is no leader or while the target is silent.
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
