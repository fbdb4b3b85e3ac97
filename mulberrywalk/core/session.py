"""Sessions of targets: announcement, departure, end."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from . import (
    effect,
    evacuation,
    event,
    fleet,
    health,
    identity,
    job,
    lifecycle,
    outcome,
    queueing,
    resource,
    state,
    target,
)

Reported = TypeVar(
    'Reported', event.AttemptStart, event.AttemptCheckpoint, event.AttemptEnd
)


def open_session(
    tables: state.State, announcement: event.Announcement
) -> outcome.Outcome:
    """Open a session for a target; a repeated announcement gets the same.

    An earlier session that the target certifies as ended ends here. Others
    keep the capacity of their attempts until their lease has run out.
    """
    known = _find(tables, announcement)
    if known is not None:
        return outcome.SessionGranted(known)
    if _is_superseded(tables, announcement):
        return outcome.NotRun(
            outcome.RefusalReason.SUPERSEDED_LIFE,
            f'{announcement.target} has been followed at its address',
        )
    if announcement.ended in tables.sessions:
        end_session(tables, announcement.ended)
    _end_earlier_life(tables, announcement)
    session = target.Session(
        session=identity.SessionId(f's{tables.next_sequence()}'),
        target=announcement.target,
        nonce=announcement.nonce,
        opened_at=tables.time,
        born_at=announcement.born_at,
        lease_ms=announcement.lease_ms,
    )
    tables.sessions[session.session] = session
    tables.session_counts[session.target] += 1
    heard_at = _heard_at(tables, session.target)
    _record_target(tables, announcement, session.session)
    _carry_over(tables, session, heard_at)
    tables.emit(
        effect.Trace(
            'session opened',
            target=announcement.target,
            detail=session.session,
        )
    )
    return outcome.SessionGranted(session.session)


def end_session(
    tables: state.State, identifier: identity.SessionId | None
) -> None:
    """End a session of which nothing runs any more."""
    if identifier is None or identifier not in tables.sessions:
        return
    session = tables.sessions[identifier]
    for attempt in sorted(tables.attempts_by_session.get(identifier, ())):
        lifecycle.record_end(
            tables,
            event.AttemptEnd(attempt, job.EndReason.SESSION_LOST, tables.time),
        )
    tables.sessions.pop(identifier)
    tables.session_counts[session.target] -= 1
    tables.attempts_by_session.pop(identifier, None)
    tables.emit(effect.EndSession(identifier))
    tables.emit(
        effect.Trace('session ended', target=session.target, detail=identifier)
    )
    _close_target(tables, session)


def drain(
    tables: state.State,
    identifier: identity.SessionId,
    remaining_ms: int | None = None,
) -> outcome.Outcome:
    """Place nothing more on a target, and recall what has not begun.

    What would not end in the remaining time goes on elsewhere.
    """
    session = tables.sessions.get(identifier)
    if session is None:
        return _gone(identifier)
    record = tables.targets[session.target]
    if record.session == identifier and not record.is_leaving:
        tables.targets[record.target] = msgspec.structs.replace(
            record, is_leaving=True
        )
        health.refresh_index(tables, record.target)
        tables.emit(effect.Trace('leaving', target=record.target))
    for name in sorted(tables.attempts_by_session.get(identifier, ())):
        attempt = tables.attempts[name]
        if not attempt.started_at:
            lifecycle.stop(tables, attempt, job.StopReason.RECALLED)
    if remaining_ms is not None:
        evacuation.evacuate(tables, identifier, remaining_ms)
    return outcome.Recorded()


def record_silence(
    tables: state.State, identifier: identity.SessionId, quiet_ms: int
) -> outcome.Outcome:
    """Place nothing on a target that is silent, until it is heard again."""
    session = tables.sessions.get(identifier)
    if session is None:
        return _gone(identifier)
    record = tables.targets[session.target]
    if record.session == identifier:
        silence = target.Silence(quiet_ms, tables.time) if quiet_ms else None
        tables.targets[record.target] = msgspec.structs.replace(
            record, silence=silence, silence_changed_at=tables.time
        )
        health.mark_unsteady(tables, record.target)
        health.refresh_index(tables, record.target)
        told = f'silent for {quiet_ms} ms' if quiet_ms else 'heard again'
        tables.emit(effect.Trace(told, target=record.target))
    return outcome.Recorded()


def record_report(
    tables: state.State, received: event.ReportReceived
) -> outcome.Outcome:
    """Record starts and ends that a target reports for its session.

    Ends of attempts that are not known are acknowledged too, so that the
    target forgets them.
    """
    if received.session not in tables.sessions:
        return _gone(received.session)
    _record_each(tables, received, received.started, lifecycle.record_start)
    _record_each(tables, received, received.saved, lifecycle.record_checkpoint)
    _record_each(tables, received, received.ended, lifecycle.record_end)
    if received.ended:
        names = tuple(one.attempt for one in received.ended)
        tables.emit(effect.AcknowledgeEnds(received.session, names))
    return outcome.Recorded()


def _record_each(
    tables: state.State,
    received: event.ReportReceived,
    reported: tuple[Reported, ...],
    record: Callable[[state.State, Reported], None],
) -> None:
    """Record what concerns live attempts of the session."""
    for one in reported:
        if _is_of_session(tables, one.attempt, received.session):
            record(tables, one)


def _gone(identifier: identity.SessionId) -> outcome.NotRun:
    return outcome.NotRun(
        outcome.RefusalReason.SESSION_GONE,
        f'session {identifier} has ended',
    )


def _is_of_session(
    tables: state.State,
    name: identity.AttemptId,
    session: identity.SessionId,
) -> bool:
    attempt = tables.attempts.get(name)
    return attempt is not None and attempt.session == session


def _find(
    tables: state.State, announcement: event.Announcement
) -> identity.SessionId | None:
    record = tables.targets.get(announcement.target)
    if record is None or record.session is None:
        return None
    session = tables.sessions[record.session]
    if session.nonce == announcement.nonce:
        return session.session
    return None


def _record_target(
    tables: state.State,
    announcement: event.Announcement,
    session: identity.SessionId,
) -> None:
    known = tables.targets.get(announcement.target)
    record = target.Target(
        target=announcement.target,
        data_centre=announcement.data_centre,
        rack=announcement.rack,
        capacity=announcement.capacity,
        session=session,
        health=known.health if known else target.Health(),
        pool=announcement.pool,
        labels=announcement.labels,
        address=announcement.address,
        speed=known.speed if known else target.Speed(),
        unsteady_until=known.unsteady_until if known else 0,
    )
    if record.address:
        tables.addresses[record.address] = record.target
    kinds = set(tables.fleet.capacities)
    tables.targets[record.target] = record
    index_target(tables, record)
    if set(tables.fleet.capacities) != kinds:
        _review_waiting(tables)


def index_target(tables: state.State, record: target.Target) -> None:
    """Enter a target into the index, with what its attempts hold."""
    old = tables.fleet.loads.get(record.target)
    attempts = old.attempts if old else set()
    free = record.capacity
    for name in attempts:
        free = resource.subtract(free, tables.attempts[name].held)
    if old:
        tables.fleet.remove(record.target)
    tables.fleet.add(
        fleet.TargetLoad(
            target=record.target,
            data_centre=record.data_centre,
            rack=record.rack,
            capacity=record.capacity,
            free=free,
            attempts=attempts,
            pool=record.pool,
            labels=frozenset(record.labels),
        )
    )
    health.refresh_index(tables, record.target)


def _is_superseded(
    tables: state.State, announcement: event.Announcement
) -> bool:
    """Return whether a later life is known at the target's address."""
    successor = tables.addresses.get(announcement.address)
    known = tables.targets.get(successor) if successor else None
    if known is None or known.session is None:
        return False
    return tables.sessions[known.session].born_at > announcement.born_at


def _end_earlier_life(
    tables: state.State, announcement: event.Announcement
) -> None:
    """End the session of another target that was at the same address.

    Only one life can be there, so that nothing of the earlier one runs. An
    order to it that is still under way names it and is refused there.
    """
    earlier = tables.addresses.get(announcement.address)
    known = tables.targets.get(earlier) if earlier else None
    if known is None or known.target == announcement.target:
        return
    end_session(tables, known.session)


def _heard_at(tables: state.State, name: identity.TargetId) -> int:
    """Return when a target was last heard, as far as that is noted."""
    known = tables.targets.get(name)
    if known is None or known.silence is None:
        return tables.time
    return known.silence.last_heard_at()


def _carry_over(
    tables: state.State, session: target.Session, heard_at: int
) -> None:
    """Bar what an earlier life of the same target was told to run.

    It runs no more, but an order that is still under way would be taken by
    the new life, which has the same name: each is stopped there first, and
    holds its capacity until then.
    """
    if not session.born_at:
        return
    earlier = [
        one.session
        for one in tables.sessions.values()
        if one.target == session.target and one.session != session.session
    ]
    for name in earlier:
        for attempt in sorted(tables.attempts_by_session.get(name, ())):
            _move(tables, tables.attempts[attempt], session.session, heard_at)
        end_session(tables, name)


def _move(
    tables: state.State,
    attempt: job.Attempt,
    session: identity.SessionId,
    heard_at: int,
) -> None:
    lost_at = 0
    if attempt.started_at:
        lost_at = attempt.lost_at or max(heard_at, attempt.started_at)
    moved = msgspec.structs.replace(
        attempt,
        session=session,
        stopping=attempt.stopping or job.StopReason.RECALLED,
        lost_at=lost_at,
    )
    state.remove_attempt(tables, attempt)
    state.add_attempt(tables, moved)
    state.mark_absent(tables, tables.tasks[moved.task])
    tables.emit(effect.StopAttempt(moved))


def _review_waiting(tables: state.State) -> None:
    """Set aside what fits on no kind of target, and let the rest queue.

    Called when the kinds of targets have changed, so that the queues are a
    function of the records alone.
    """
    queued = [
        position.task
        for queue in tables.waiting.queues.values()
        for position in queue
        if position.task not in tables.steps
    ]
    for name in sorted((*queued, *tables.waiting.infeasible)):
        task = tables.tasks[name]
        key = queueing.key_of(tables, task)
        tables.waiting.discard(key, queueing.position_of(task))
        tables.waiting.infeasible.pop(name, None)
        queueing.enqueue(tables, task)


def _close_target(tables: state.State, session: target.Session) -> None:
    record = tables.targets[session.target]
    if record.session == session.session:
        record = msgspec.structs.replace(
            record, session=None, is_leaving=False, silence=None
        )
        tables.targets[record.target] = record
        health.refresh_index(tables, record.target)
    # Earlier sessions of the target may still hold capacity.
    if not tables.session_counts[record.target]:
        tables.session_counts.pop(record.target)
        _remove_target(tables, tables.fleet.loads[record.target])


def _remove_target(tables: state.State, load: fleet.TargetLoad) -> None:
    tables.fleet.remove(load.target)
    record = tables.targets.pop(load.target)
    tables.silent.discard(load.target)
    if tables.addresses.get(record.address) == record.target:
        tables.addresses.pop(record.address)
    tables.quarantined.discard((record.health.until, load.target))
    if load.capacity not in tables.fleet.capacities:
        _review_waiting(tables)
