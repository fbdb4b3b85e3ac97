"""Sessions of targets: opening, draining, reports and end."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from . import (
    departure,
    effect,
    evacuation,
    event,
    fleet,
    gang,
    health,
    identity,
    job,
    late_end,
    lifecycle,
    outcome,
    queueing,
    resource,
    state,
    target,
)

ReportItem = TypeVar(
    'ReportItem', event.AttemptStart, event.AttemptCheckpoint, event.AttemptEnd
)


def open_session(
    tables: state.State,
    announcement: event.Announcement,
    replaced: tuple[identity.SessionId, ...] = (),
    sequence: int = 0,
) -> outcome.Outcome:
    """Open a session for a target; a repeated announcement gets the same.

    An earlier session that the target reports as ended is ended here, and so
    are the conflicting ones if all of them are in replaced; otherwise the
    announcement is refused. Other earlier sessions hold the capacity of their
    attempts until their leases expire. sequence is that of the heartbeat.
    """
    existing = _find_existing_session(tables, announcement)
    if existing is not None:
        return outcome.SessionGranted(existing)
    if find_conflicting(tables, announcement).difference(replaced):
        return outcome.NotRun(
            outcome.RefusalReason.SUPERSEDED_LIFE,
            f'another process is known as {announcement.target}'
            f' or at {announcement.address}',
        )
    refusal = departure.find_refusal(tables, announcement, sequence)
    if refusal is not None:
        return refusal
    _end_reported_session(tables, announcement)
    _end_previous_target(tables, announcement)
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
    last_heard_at = _last_heard_at(tables, session.target)
    _record_target(tables, announcement, session.session)
    _take_over_attempts(tables, session, last_heard_at)
    tables.emit(
        effect.Trace(
            'session opened',
            target=announcement.target,
            detail=session.session,
        )
    )
    return outcome.SessionGranted(session.session)


def find_conflicting(
    tables: state.State, announcement: event.Announcement
) -> frozenset[identity.SessionId]:
    """Return the sessions of other processes with its name or its address.

    The announced process has no session yet. One process at a time runs at an
    address, and one under the name of a polled target; an announcement alone
    does not show which one. A target that connects by itself may open a session
    beside its earlier ones.
    """
    names = {announcement.target, tables.addresses.get(announcement.address)}
    records = (tables.targets.get(name) for name in names if name is not None)
    live = (
        tables.sessions[record.session]
        for record in records
        if record is not None and record.session is not None
    )
    return frozenset(
        other.session for other in live if other.born_at or announcement.born_at
    )


def end_session(
    tables: state.State, identifier: identity.SessionId | None
) -> None:
    """End a session none of whose attempts is running any more."""
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
    """Stop placing tasks on a target, and recall attempts not yet started.

    If remaining_ms is given, tasks that would not end in that time are moved
    to other targets.
    """
    session = tables.sessions.get(identifier)
    if session is None:
        return _refuse_ended_session(identifier)
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


def drain_unregistered(
    tables: state.State, announced: event.UnregisteredDeparture
) -> outcome.Outcome:
    """Keep a target that leaves without a session from being used.

    A session that was opened for it meanwhile is drained.
    """
    existing = _find_existing_session(tables, announced.announcement)
    if existing is not None:
        return drain(tables, existing, announced.remaining_ms)
    return departure.record_unregistered(tables, announced)


def record_silence(
    tables: state.State, identifier: identity.SessionId, quiet_ms: int
) -> outcome.Outcome:
    """Record that a target is silent, or with zero quiet_ms no longer so.

    Nothing is placed on a silent target until it is heard from again.
    """
    session = tables.sessions.get(identifier)
    if session is None:
        return _refuse_ended_session(identifier)
    record = tables.targets[session.target]
    if record.session == identifier:
        silence = target.Silence(quiet_ms, tables.time) if quiet_ms else None
        tables.targets[record.target] = msgspec.structs.replace(
            record, silence=silence, silence_changed_at=tables.time
        )
        health.mark_unsteady(tables, record.target)
        health.refresh_index(tables, record.target)
        label = f'silent for {quiet_ms} ms' if quiet_ms else 'heard again'
        tables.emit(effect.Trace(label, target=record.target))
    return outcome.Recorded()


def record_report(
    tables: state.State, received: event.ReportReceived
) -> outcome.Outcome:
    """Record starts, checkpoints and ends that a target reports.

    Ends of unknown attempts are acknowledged too, so that the target stops
    reporting them.
    """
    if received.session not in tables.sessions:
        return _refuse_ended_session(received.session)
    _record_each(tables, received, received.started, lifecycle.record_start)
    _record_each(tables, received, received.saved, lifecycle.record_checkpoint)
    _record_each(tables, received, received.ended, lifecycle.record_end)
    for ended in received.ended:
        late_end.record(tables, ended)
    if received.ended:
        names = tuple(one.attempt for one in received.ended)
        tables.emit(effect.AcknowledgeEnds(received.session, names))
    return outcome.Recorded()


def _record_each(
    tables: state.State,
    received: event.ReportReceived,
    reported: tuple[ReportItem, ...],
    record: Callable[[state.State, ReportItem], None],
) -> None:
    """Record the items about live attempts of the session."""
    for one in reported:
        if _belongs_to_session(tables, one.attempt, received.session):
            record(tables, one)


def _refuse_ended_session(identifier: identity.SessionId) -> outcome.NotRun:
    return outcome.NotRun(
        outcome.RefusalReason.SESSION_GONE,
        f'session {identifier} has ended',
    )


def _belongs_to_session(
    tables: state.State,
    name: identity.AttemptId,
    session: identity.SessionId,
) -> bool:
    attempt = tables.attempts.get(name)
    return attempt is not None and attempt.session == session


def _find_existing_session(
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
    existing = tables.targets.get(announcement.target)
    record = target.Target(
        target=announcement.target,
        data_centre=announcement.data_centre,
        rack=announcement.rack,
        capacity=announcement.capacity,
        session=session,
        health=existing.health if existing else target.Health(),
        pool=announcement.pool,
        labels=announcement.labels,
        address=announcement.address,
        speed=existing.speed if existing else target.Speed(),
        unsteady_until=existing.unsteady_until if existing else 0,
    )
    if existing is not None:
        _release_address(tables, existing)
    if record.address:
        tables.addresses[record.address] = record.target
    old_capacities = set(tables.fleet.capacities)
    tables.targets[record.target] = record
    index_target(tables, record)
    if set(tables.fleet.capacities) != old_capacities:
        _requeue_waiting(tables)


def index_target(tables: state.State, record: target.Target) -> None:
    """Add a target to the index, less the resources its attempts hold.

    A target that starts again stays reserved, as the record of the reservation
    goes on naming it.
    """
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
            reserved_for=gang.find_reserving_job(tables, record.target),
            pool=record.pool,
            labels=frozenset(record.labels),
        )
    )
    health.refresh_index(tables, record.target)


def _end_reported_session(
    tables: state.State, announcement: event.Announcement
) -> None:
    """End a session that a target reports as ended, if it is its own."""
    if announcement.ended is None:
        return
    reported = tables.sessions.get(announcement.ended)
    if reported is not None and reported.target == announcement.target:
        end_session(tables, reported.session)


def _end_previous_target(
    tables: state.State, announcement: event.Announcement
) -> None:
    """End the session of another target that was at the same address.

    The announced one has answered there since, so nothing of the earlier one
    is running. An order still in flight names the earlier target, so the new
    one refuses it.
    """
    earlier = tables.addresses.get(announcement.address)
    existing = tables.targets.get(earlier) if earlier else None
    if existing is None or existing.target == announcement.target:
        return
    end_session(tables, existing.session)


def _last_heard_at(tables: state.State, name: identity.TargetId) -> int:
    """Return when a silent target was last heard from, otherwise now."""
    existing = tables.targets.get(name)
    if existing is None or existing.silence is None:
        return tables.time
    return existing.silence.last_heard_at()


def _take_over_attempts(
    tables: state.State, session: target.Session, last_heard_at: int
) -> None:
    """Stop the attempts of the target's sessions from before its restart.

    They are no longer running, but the restarted target has the same name
    and would carry out a start order still in flight. Each attempt is
    therefore moved to the new session and stopped there, and holds its
    capacity until the target confirms that.
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
            _move_attempt(
                tables, tables.attempts[attempt], session.session, last_heard_at
            )
        end_session(tables, name)


def _move_attempt(
    tables: state.State,
    attempt: job.Attempt,
    session: identity.SessionId,
    last_heard_at: int,
) -> None:
    lost_at = 0
    if attempt.started_at:
        lost_at = attempt.lost_at or max(last_heard_at, attempt.started_at)
    moved = msgspec.structs.replace(
        attempt,
        session=session,
        stopping=attempt.stopping or job.StopReason.RECALLED,
        stopping_at=attempt.stopping_at or tables.time,
        lost_at=lost_at,
    )
    state.remove_attempt(tables, attempt)
    state.add_attempt(tables, moved)
    state.mark_absent(tables, tables.tasks[moved.task])
    tables.emit(effect.StopAttempt(moved))


def _requeue_waiting(tables: state.State) -> None:
    """Queue the waiting tasks again; set aside those that fit on no target.

    Called when the set of target capacities has changed, so that the queues
    depend only on the records.
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
        departure.record_end(tables, session)
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
    gang.cancel_reservation_of(tables, load.target)
    tables.fleet.remove(load.target)
    record = tables.targets.pop(load.target)
    tables.silent.discard(load.target)
    _release_address(tables, record)
    tables.quarantined.discard((record.health.until, load.target))
    if load.capacity not in tables.fleet.capacities:
        _requeue_waiting(tables)


def _release_address(tables: state.State, record: target.Target) -> None:
    """Remove the index entry of an address that a target leaves."""
    if tables.addresses.get(record.address) == record.target:
        tables.addresses.pop(record.address)
