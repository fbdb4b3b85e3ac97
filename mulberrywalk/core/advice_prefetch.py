"""Advice for lasting work whose target is silent, before its end is known.

The load that this answers: targets that are lost one after the other. What ran
on a silent target is run again once the lease has run out; an adviser that is
asked only then adds the time of its answer to each loss.
"""

from __future__ import annotations

from . import advice, identity, state, step_placement, target

# For the way of the question and of the answer through the log.
_WAY_MS = 300


def is_due(tables: state.State) -> bool:
    """Return whether there may be something to ask for."""
    return bool(tables.silent)


def prefetch(tables: state.State) -> None:
    """Ask for the steps whose tasks will have to run again soon."""
    for name in sorted(tables.silent):
        session = tables.targets[name].session
        if session is not None:
            _prepare(tables, session)


def _prepare(tables: state.State, session: identity.SessionId) -> None:
    over_at = _ends_at(tables, session)
    attempts = sorted(tables.attempts_by_session.get(session, ()))
    steps = dict.fromkeys(
        tables.tasks[tables.attempts[name].task].step_id() for name in attempts
    )
    for name in steps:
        if name in tables.steps and _is_wanted(tables, name, over_at):
            usable = step_placement.find_eligible_targets(tables, name)
            advice.request_advice(tables, tables.steps[name], usable)


def _ends_at(tables: state.State, session: identity.SessionId) -> int:
    """Return when the lease of a silent target is known to have run out."""
    known = tables.sessions[session]
    silence = tables.targets[known.target].silence
    heard_at = silence.last_heard_at() if silence else tables.time
    return heard_at + known.lease_ms + target.LEASE_MARGIN_MS


def _is_wanted(
    tables: state.State, name: identity.StepId, over_at: int
) -> bool:
    step = tables.steps[name]
    terms = tables.jobs[step.job].specification.advice
    if terms is None or not tables.step_specification(step).is_lasting:
        return False
    asked_from = over_at - advice.max_answer_ms(terms) - _WAY_MS
    return tables.time >= asked_from and not advice.find_valid_tickets(
        tables, step
    )
