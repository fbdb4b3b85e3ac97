"""Requests advice for lasting work on a silent target before it is lost.

Work on a silent target is run again once the lease has expired. If the
adviser were asked only then, its response time would delay each recovery,
which adds up when targets are lost one after the other.
"""

from __future__ import annotations

from . import advice, identity, state, step_placement, target

# Time for the question and the answer to pass through the log.
_LOG_DELAY_MS = 300


def is_due(tables: state.State) -> bool:
    """Return whether advice may be needed, as a target is silent."""
    return bool(tables.silent)


def prefetch(tables: state.State) -> None:
    """Ask for advice on the steps whose tasks will soon have to run again."""
    for name in sorted(tables.silent):
        session = tables.targets[name].session
        if session is not None:
            _prefetch_for_session(tables, session)


def _prefetch_for_session(
    tables: state.State, session: identity.SessionId
) -> None:
    expires_at = _lease_expires_at(tables, session)
    attempts = sorted(tables.attempts_by_session.get(session, ()))
    steps = dict.fromkeys(
        tables.tasks[tables.attempts[name].task].step_id() for name in attempts
    )
    for name in steps:
        if name in tables.steps and _is_request_due(tables, name, expires_at):
            eligible = step_placement.find_eligible_targets(tables, name)
            advice.request_advice(tables, tables.steps[name], eligible)


def _lease_expires_at(tables: state.State, session: identity.SessionId) -> int:
    """Return when the lease of a silent target has certainly expired."""
    record = tables.sessions[session]
    silence = tables.targets[record.target].silence
    heard_at = silence.last_heard_at() if silence else tables.time
    return heard_at + record.lease_ms + target.LEASE_MARGIN_MS


def _is_request_due(
    tables: state.State, name: identity.StepId, expires_at: int
) -> bool:
    step = tables.steps[name]
    settings = tables.jobs[step.job].specification.advice
    if settings is None or not tables.step_specification(step).is_lasting:
        return False
    request_from = expires_at - advice.max_answer_ms(settings) - _LOG_DELAY_MS
    return tables.time >= request_from and not advice.find_valid_tickets(
        tables, step
    )
