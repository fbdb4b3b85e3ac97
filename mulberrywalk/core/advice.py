"""Requests to the adviser of a queue, and the tickets that it grants.

The policy of a queue may let a step run only on some targets. An adviser
decides which; its answers are slow and expire soon. A step that waits for an
answer does not block other steps.
"""

from __future__ import annotations

import msgspec

from . import (
    effect,
    event,
    fleet,
    identity,
    job,
    locality_wait,
    outcome,
    resource,
    state,
)

MAX_TARGETS_PER_REQUEST = 30
# Tickets that expire sooner than this are not used, because the start has to
# reach the target before the ticket expires.
TICKET_MARGIN_MS = 500
_ANSWER_GRACE_MS = 1500
_RETRY_DELAY_MS = 250
_US_PER_MS = 1000


def find_valid_tickets(
    tables: state.State, step: job.Step
) -> dict[identity.TargetId, str]:
    """Return the tickets that are usable now, by target."""
    usable_until = tables.time + TICKET_MARGIN_MS
    return {
        ticket.target: ticket.ticket
        for ticket in step.tickets
        if ticket.expires_at > usable_until
        and _current_session(tables, ticket.target) == ticket.session
    }


def request_advice(
    tables: state.State,
    step: job.Step,
    suitable: list[fleet.TargetLoad],
    *,
    copies: int = 0,
) -> None:
    """Ask about targets without a valid ticket, unless a request is pending.

    suitable lists the targets that the step could run on, leaving aside
    advice and free capacity. Targets with room come first, and among them
    those that were allowed before, because they will be allowed again. If
    these can hold all waiting tasks and the wanted copies of running ones, no
    others are asked about. While no target has room, only lasting work asks:
    room may be reserved for it.
    """
    record = tables.jobs[step.job]
    terms = record.specification.advice
    if terms is None or not can_request(tables, step):
        return
    wanted = len(tables.waiting.steps.get(step.step, ())) + copies
    targets = _choose_targets(tables, step, suitable, wanted)
    if not targets:
        return
    expected_ms = _expected_answer_ms(terms, len(targets))
    tables.steps[step.step] = msgspec.structs.replace(
        step, asked_at=tables.time
    )
    tables.emit(
        effect.AskAdvice(
            step.step,
            targets,
            record.specification.urgency,
            expected_ms,
            # While teams overload the adviser, it is asked first for work that
            # can still meet its objective.
            order=step.order if tables.teams else 0,
        )
    )


def record_answer(
    tables: state.State, received: event.AdviceReceived
) -> outcome.Outcome:
    """Record which targets the adviser allows.

    An answer about no targets means that the request failed.
    """
    step = tables.steps.get(received.step)
    if step is None:
        return outcome.Recorded()
    terms = tables.jobs[step.job].specification.advice
    if terms is None:
        return outcome.Recorded()
    expires_at = tables.time - received.age_ms + terms.valid_ms
    answered = set(received.asked)
    allowed = {target for target, _ in received.allowed}
    tickets = [
        ticket for ticket in step.tickets if ticket.target not in answered
    ]
    tickets.extend(
        job.Ticket(target, session, text, expires_at)
        for target, text in received.allowed
        if (session := _current_session(tables, target)) is not None
    )
    barred = (answered - allowed) | set(step.barred)
    tables.steps[step.step] = msgspec.structs.replace(
        step,
        asked_at=0,
        ask_after=0 if answered else tables.time + _RETRY_DELAY_MS,
        tickets=tuple(tickets),
        barred=tuple(sorted(barred)),
    )
    counts = f'{len(allowed)} of {len(answered)}'
    tables.emit(
        effect.Trace(
            'advised',
            job=step.job,
            detail=f'{step.step}: {counts} {_format_request_age(tables, step)}',
        )
    )
    return outcome.Recorded()


def _format_request_age(tables: state.State, step: job.Step) -> str:
    """Return the age of the request, zero if it is no longer open."""
    request_age_ms = step.asked_at and tables.time - step.asked_at
    return effect.format_detail({'asked_ms_ago': request_age_ms})


def _choose_targets(
    tables: state.State,
    step: job.Step,
    suitable: list[fleet.TargetLoad],
    wanted: int,
) -> tuple[identity.TargetId, ...]:
    valid = find_valid_tickets(tables, step)
    barred = set(step.barred)
    previously_allowed = {ticket.target for ticket in step.tickets}
    needs = tables.step_specification(step)
    demand = needs.demand()
    candidates = [
        load
        for load in suitable
        if load.target not in valid and load.target not in barred
    ]
    with_room = [
        load for load in candidates if resource.fits(demand, load.free)
    ]
    if not with_room and not needs.is_lasting:
        return ()
    slots = sum(
        _count_fitting_tasks(tables, step, load)
        for load in with_room
        if load.target in previously_allowed
    )
    if slots >= wanted:
        # The set of targets that an adviser allows never changes.
        candidates = [
            load for load in candidates if load.target in previously_allowed
        ]
    # A step can wait only for near targets that are known to be allowed.
    is_near_first = bool(needs.data_rack) and (
        tables.remote_permille > locality_wait.NO_SLOWDOWN
    )
    ordered = sorted(
        candidates,
        key=lambda load: (
            is_near_first and load.rack != needs.data_rack,
            not resource.fits(demand, load.free),
            load.target not in previously_allowed,
            -load.free.millicores,
            load.target,
        ),
    )
    return tuple(load.target for load in ordered[:MAX_TARGETS_PER_REQUEST])


def _count_fitting_tasks(
    tables: state.State, step: job.Step, load: fleet.TargetLoad
) -> int:
    """Return how many more tasks of a step a target can take."""
    needs = tables.step_specification(step)
    slots = resource.count_fitting(needs.demand(), load.free, job.MAX_TASKS)
    if not needs.per_target_limit:
        return slots
    live_count = state.count_step_attempts(tables, step.step, load.target)
    return min(slots, needs.per_target_limit - live_count)


def can_request(tables: state.State, step: job.Step) -> bool:
    """Return whether a step has an adviser and no request pending."""
    terms = tables.jobs[step.job].specification.advice
    return terms is not None and not is_request_pending(tables, step)


def is_request_pending(tables: state.State, step: job.Step) -> bool:
    """Return whether a request is open or the next one is not due yet."""
    terms = tables.jobs[step.job].specification.advice
    if terms is None:
        return False
    if tables.time < step.ask_after:
        return True
    timeout_ms = max_answer_ms(terms) + _ANSWER_GRACE_MS
    return bool(step.asked_at) and tables.time < step.asked_at + timeout_ms


def find_next_change(tables: state.State, step: job.Step) -> int | None:
    """Return when a ticket lapses or a new request may be made, if known."""
    terms = tables.jobs[step.job].specification.advice
    if terms is None:
        return None
    times = [ticket.expires_at - TICKET_MARGIN_MS for ticket in step.tickets]
    times.append(step.ask_after)
    if step.asked_at:
        timeout_ms = max_answer_ms(terms) + _ANSWER_GRACE_MS
        times.append(step.asked_at + timeout_ms)
    return min((at for at in times if at > tables.time), default=None)


def max_answer_ms(terms: job.AdviceSettings) -> int:
    """Return the expected time to answer the largest request, in ms."""
    return _expected_answer_ms(terms, MAX_TARGETS_PER_REQUEST)


def _expected_answer_ms(terms: job.AdviceSettings, count: int) -> int:
    return terms.decision_ms + terms.per_target_us * count // _US_PER_MS


def _current_session(
    tables: state.State, name: identity.TargetId
) -> identity.SessionId | None:
    record = tables.targets.get(name)
    return record.session if record else None
