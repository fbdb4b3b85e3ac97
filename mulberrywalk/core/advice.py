"""Questions to the adviser of a queue, and what its answers allow.

The load that this answers: queues whose policy lets a step run only on some
targets, told by an adviser whose answer takes long and soon lapses. A step
that waits for an answer holds up no other.
"""

from __future__ import annotations

import msgspec

from . import effect, event, fleet, identity, job, outcome, resource, state

MAX_TARGETS_PER_REQUEST = 30
# A ticket is not used so shortly before it lapses: the start has to arrive.
TICKET_MARGIN_MS = 500
_PATIENCE_MS = 1500
_ASK_AGAIN_MS = 250
_US_PER_MS = 1000


def find_valid_tickets(
    tables: state.State, step: job.Step
) -> dict[identity.TargetId, str]:
    """Return the tickets that can be used now, by target."""
    usable_until = tables.time + TICKET_MARGIN_MS
    return {
        ticket.target: ticket.ticket
        for ticket in step.tickets
        if ticket.expires_at > usable_until
        and _session_of(tables, ticket.target) == ticket.session
    }


def request_advice(
    tables: state.State, step: job.Step, suitable: list[fleet.TargetLoad]
) -> None:
    """Ask about targets without a valid ticket, unless a question is open.

    suitable are the targets that the step could run on but for the advice and
    the room. Those known to be allowed are asked first, for their answer is
    sure, and alone if they hold all that waits.
    """
    record = tables.jobs[step.job]
    terms = record.specification.advice
    if terms is None or is_request_pending(tables, step):
        return
    chosen = _choose(tables, step, suitable)
    if not chosen:
        return
    expected_ms = _expected_ms(terms, len(chosen))
    tables.steps[step.step] = msgspec.structs.replace(
        step, asked_at=tables.time
    )
    tables.emit(
        effect.AskAdvice(
            step.step, chosen, record.specification.urgency, expected_ms
        )
    )


def record_answer(
    tables: state.State, received: event.AdviceReceived
) -> outcome.Outcome:
    """Keep what the adviser allows; nothing asked means that it failed."""
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
        if (session := _session_of(tables, target)) is not None
    )
    barred = (answered - allowed) | set(step.barred)
    tables.steps[step.step] = msgspec.structs.replace(
        step,
        asked_at=0,
        ask_after=0 if answered else tables.time + _ASK_AGAIN_MS,
        tickets=tuple(tickets),
        barred=tuple(sorted(barred)),
    )
    counts = f'{len(allowed)} of {len(answered)}'
    tables.emit(
        effect.Trace(
            'advised',
            job=step.job,
            detail=f'{step.step}: {counts} {_tell_question(tables, step)}',
        )
    )
    return outcome.Recorded()


def _tell_question(tables: state.State, step: job.Step) -> str:
    """Return how long ago a question was asked, zero for one given up."""
    asked_ms = step.asked_at and tables.time - step.asked_at
    return effect.format_detail({'asked_ms_ago': asked_ms})


def _choose(
    tables: state.State, step: job.Step, suitable: list[fleet.TargetLoad]
) -> tuple[identity.TargetId, ...]:
    valid = find_valid_tickets(tables, step)
    barred = set(step.barred)
    known = {ticket.target for ticket in step.tickets}
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
    if not with_room:
        return ()
    room = sum(
        _count_room(tables, step, load)
        for load in with_room
        if load.target in known
    )
    if room >= len(tables.waiting.steps.get(step.step, ())):
        # Who is allowed never changes.
        candidates = [load for load in candidates if load.target in known]
    ordered = sorted(
        candidates,
        key=lambda load: (
            not resource.fits(demand, load.free),
            load.target not in known,
            -load.free.millicores,
            load.target,
        ),
    )
    return tuple(load.target for load in ordered[:MAX_TARGETS_PER_REQUEST])


def _count_room(
    tables: state.State, step: job.Step, load: fleet.TargetLoad
) -> int:
    """Return how many more tasks of a step a target may hold."""
    needs = tables.step_specification(step)
    room = resource.count_fitting(needs.demand(), load.free, job.MAX_TASKS)
    if not needs.per_target_limit:
        return room
    present = state.count_step_attempts(tables, step.step, load.target)
    return min(room, needs.per_target_limit - present)


def is_request_pending(tables: state.State, step: job.Step) -> bool:
    """Return whether a question is open, or the next one not yet due."""
    terms = tables.jobs[step.job].specification.advice
    if terms is None:
        return False
    if tables.time < step.ask_after:
        return True
    patience = max_answer_ms(terms) + _PATIENCE_MS
    return bool(step.asked_at) and tables.time < step.asked_at + patience


def max_answer_ms(terms: job.AdviceSettings) -> int:
    """Return what the answer to the largest question takes, in milliseconds."""
    return _expected_ms(terms, MAX_TARGETS_PER_REQUEST)


def _expected_ms(terms: job.AdviceSettings, count: int) -> int:
    return terms.decision_ms + terms.per_target_us * count // _US_PER_MS


def _session_of(
    tables: state.State, name: identity.TargetId
) -> identity.SessionId | None:
    record = tables.targets.get(name)
    return record.session if record else None
