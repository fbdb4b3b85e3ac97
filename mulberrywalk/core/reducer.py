"""The reducer: applies one event to the state and returns the effects.

Deterministic: it uses no clock, no randomness and no input or output. Every
replica applies the same events in the same order and reaches the same state.
"""

from __future__ import annotations

from collections.abc import Callable
from types import MappingProxyType
from typing import Any

from . import (
    admission,
    advice,
    advice_prefetch,
    configuration_update,
    confirmation,
    dispatch,
    effect,
    event,
    health,
    outcome,
    queueing,
    run_length,
    session,
    speculation,
    state,
    step_timing,
    usage,
)


def reduce(
    tables: state.State, occurred: event.Event
) -> tuple[state.State, list[effect.Effect]]:
    """Apply an event; return the state and the effects, the answer first.

    The state passed in is changed in place and returned. Time never goes
    backwards: an event with an earlier time is applied at the state's time.
    """
    tables.time = max(tables.time, occurred.at)
    tables.effects = []
    answer = _HANDLERS[type(occurred)](tables, occurred)
    step_timing.count_questions(tables)
    return tables, [effect.Answer(answer), *tables.effects]


def _submit(
    tables: state.State, occurred: event.JobSubmitted
) -> outcome.Outcome:
    if tables.teams:
        # What is due since the last pass takes part in the decision, as it
        # does in a state that was restored meanwhile.
        health.end_due_quarantines(tables)
        queueing.release_due(tables)
    return admission.submit(tables, occurred)


def _open_session(
    tables: state.State, occurred: event.SessionOpened
) -> outcome.Outcome:
    return session.open_session(
        tables,
        occurred.announcement,
        occurred.replaced,
        occurred.sequence,
    )


def _expire_session(
    tables: state.State, occurred: event.SessionExpired
) -> outcome.Outcome:
    session.end_session(tables, occurred.session)
    return outcome.Recorded()


def _drain(
    tables: state.State, occurred: event.DepartureAnnounced
) -> outcome.Outcome:
    return session.drain(tables, occurred.session, occurred.remaining_ms)


def _begin_leadership(
    tables: state.State, occurred: event.LeadershipBegun
) -> outcome.Outcome:
    tables.leader_since = tables.time
    # Steps that fitted nowhere may fit near their data by another factor.
    tables.waiting.misfits.clear()
    tables.remote_permille = occurred.remote_permille
    return outcome.Recorded()


def _record_silence(
    tables: state.State, occurred: event.SilenceNoted
) -> outcome.Outcome:
    recorded = session.record_silence(
        tables, occurred.session, occurred.quiet_ms
    )
    if occurred.quiet_ms:
        run_length.review_now(tables, occurred.session)
    return recorded


def _record_report(
    tables: state.State, occurred: event.ReportReceived
) -> outcome.Outcome:
    recorded = session.record_report(tables, occurred)
    usage.apply_reported_usage(tables, occurred)
    return recorded


def _record_advice(
    tables: state.State, occurred: event.AdviceReceived
) -> outcome.Outcome:
    step = tables.steps.get(occurred.step)
    recorded = advice.record_answer(tables, occurred)
    if step is not None:
        step_timing.note_answer(tables, step)
    return recorded


def _advance_time(
    tables: state.State, occurred: event.TimePassed
) -> outcome.Outcome:
    confirmation.stop_overdue_starts(tables)
    dispatch.run(tables)
    speculation.run(tables)
    advice_prefetch.prefetch(tables)
    return outcome.Recorded()


_HANDLERS: MappingProxyType[Any, Callable[..., outcome.Outcome]] = (
    MappingProxyType(
        {
            event.JobSubmitted: _submit,
            event.JobCancelled: admission.cancel,
            event.SessionOpened: _open_session,
            event.SessionExpired: _expire_session,
            event.LeadershipBegun: _begin_leadership,
            event.SilenceNoted: _record_silence,
            event.DepartureAnnounced: _drain,
            event.UnregisteredDeparture: session.drain_unregistered,
            event.ReportReceived: _record_report,
            event.ConfigurationPatched: configuration_update.patch,
            event.ConfigurationReplaced: configuration_update.replace,
            event.AdviceReceived: _record_advice,
            event.TimePassed: _advance_time,
        }
    )
)
