"""Requests advice for lasting work on a silent target before it is lost.

If the adviser were asked only once the lease has expired, its response time
would delay each recovery.
"""

from __future__ import annotations

from . import advice, identity, silent_work, state, step_placement

# Time for the question and the answer to pass through the log.
_LOG_DELAY_MS = 300


def is_due(tables: state.State) -> bool:
    """Return whether advice may be needed, as a target is silent."""
    return bool(tables.silent)


def prefetch(tables: state.State) -> None:
    """Ask for advice on the steps whose tasks will soon have to run again."""
    due: dict[identity.StepId, int] = {}
    for expires_at, attempt in silent_work.find_attempts(tables):
        due.setdefault(tables.tasks[attempt.task].step_id(), expires_at)
    for name, expires_at in due.items():
        if name in tables.steps and _is_request_due(tables, name, expires_at):
            eligible = step_placement.find_eligible_targets(tables, name)
            advice.request_advice(tables, tables.steps[name], eligible)


def _is_request_due(
    tables: state.State, name: identity.StepId, expires_at: int
) -> bool:
    step = tables.steps[name]
    settings = tables.jobs[step.job].specification.advice
    if settings is None:
        return False
    request_from = expires_at - advice.max_answer_ms(settings) - _LOG_DELAY_MS
    return tables.time >= request_from and not advice.find_valid_tickets(
        tables, step
    )
