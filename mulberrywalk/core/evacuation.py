"""Work is taken off a target that will have left before the work would end.

The load that this answers: targets that are taken away at short notice with
long work on them. What still runs when they go is lost, and is known to be lost
only when their leases have run out.
"""

from __future__ import annotations

from . import identity, job, lifecycle, speed, state

# Until an end is known to the leader.
_REPORT_MS = 300
# Work beyond its estimate has so much of it left, as far as anybody knows.
_OVERRUN_PART = 4


def evacuate(
    tables: state.State, session: identity.SessionId, remaining_ms: int
) -> None:
    """Stop what would not end within the remaining time, to go on elsewhere."""
    for name in sorted(tables.attempts_by_session.get(session, ())):
        attempt = tables.attempts[name]
        if attempt.started_at and not _ends_in(tables, attempt, remaining_ms):
            lifecycle.stop(tables, attempt, job.StopReason.EVACUATED)


def _ends_in(
    tables: state.State, attempt: job.Attempt, remaining_ms: int
) -> bool:
    task = tables.tasks[attempt.task]
    if not tables.specification(task).is_idempotent:
        # Stopped, it would not be run again.
        return True
    needs = tables.task_specification(task)
    if isinstance(needs, job.StepSpecification) and needs.is_lasting:
        return False
    slowness = speed.slowness_of(tables, attempt.target)
    whole = needs.estimate_ms * slowness // speed.AVERAGE_SLOWNESS
    passed = tables.time - attempt.started_at
    left = max(whole - passed, whole // _OVERRUN_PART)
    return left + _REPORT_MS < remaining_ms
