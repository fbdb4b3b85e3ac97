"""Moves work off a target that will leave before the work would end.

Targets can be taken away at short notice with long work on them. Attempts
that still run when a target leaves are lost, and are known to be lost only
once its lease has expired.
"""

from __future__ import annotations

from . import identity, job, lifecycle, speed, state

# Time until the leader learns that an attempt has ended.
_REPORT_DELAY_MS = 300
# The least remaining time that is assumed, as a fraction of the estimate:
# work that overruns its estimate is not taken to end at once.
_OVERRUN_DIVISOR = 4


def evacuate(
    tables: state.State, session: identity.SessionId, remaining_ms: int
) -> None:
    """Stop attempts that would not end in time, so that they run elsewhere."""
    for name in sorted(tables.attempts_by_session.get(session, ())):
        attempt = tables.attempts[name]
        if attempt.started_at and not _ends_within(
            tables, attempt, remaining_ms
        ):
            lifecycle.stop(tables, attempt, job.StopReason.EVACUATED)


def _ends_within(
    tables: state.State, attempt: job.Attempt, remaining_ms: int
) -> bool:
    task = tables.tasks[attempt.task]
    if not tables.specification(task).is_idempotent:
        # A task that is not idempotent would not be run again after a stop.
        return True
    needs = tables.task_specification(task)
    if isinstance(needs, job.StepSpecification) and needs.is_lasting:
        return False
    slowness = speed.slowness_of(tables, attempt.target)
    estimated_ms = needs.estimate_ms * slowness // speed.AVERAGE_SLOWNESS
    elapsed_ms = tables.time - attempt.started_at
    left_ms = max(estimated_ms - elapsed_ms, estimated_ms // _OVERRUN_DIVISOR)
    return left_ms + _REPORT_DELAY_MS < remaining_ms
