"""Polled targets that leave or have left, whose late heartbeats are ignored.

A heartbeat that was held up on its way can arrive after the target has left, at
a leader that has never heard of it. It can also arrive while the target, which
has lost its session, stays on after the announcement that it leaves.
"""

from __future__ import annotations

from typing import TypeVar

from . import effect, event, identity, outcome, state, target

# A heartbeat is not held up for longer.
RETENTION_MS = 600_000
MAX_UNREGISTERED = 10_000
_RETRY_AFTER_MS = 1000

Record = TypeVar('Record', target.Departure, target.UnregisteredDeparture)


def record_end(tables: state.State, session: target.Session) -> None:
    """Remember the incarnation of a leaving target whose session ends.

    A target that has announced that it leaves serves no longer under the same
    incarnation.
    """
    if not session.born_at or not tables.targets[session.target].is_leaving:
        return
    _delete_old(tables, tables.departed)
    tables.departed.pop(session.target, None)
    tables.departed[session.target] = target.Departure(
        session.born_at, tables.time
    )


def record_unregistered(
    tables: state.State, announced: event.UnregisteredDeparture
) -> outcome.Outcome:
    """Remember that a target without a session leaves.

    Its acknowledgement promises that no task is started on it. Without room
    for the record the answer is Unavailable.
    """
    announcement = announced.announcement
    leaving = tables.leaving_unregistered
    if is_recorded(tables, announcement):
        return outcome.Recorded()
    _delete_old(tables, leaving)
    leaving.pop(announcement.target, None)
    if len(leaving) >= MAX_UNREGISTERED:
        return outcome.Unavailable(
            outcome.RefusalReason.OVERLOADED,
            'too many targets without a session leave',
            _RETRY_AFTER_MS,
        )
    leaving[announcement.target] = target.UnregisteredDeparture(
        announcement.born_at,
        announced.sequence,
        describe(announcement),
        tables.time,
    )
    tables.emit(
        effect.Trace('leaving without a session', target=announcement.target)
    )
    return outcome.Recorded()


def describe(announcement: event.Announcement) -> target.Description:
    """Return what a target says of itself for as long as its process runs."""
    return target.Description(
        announcement.address,
        announcement.pool,
        announcement.data_centre,
        announcement.labels,
        announcement.capacity,
    )


def is_recorded(tables: state.State, announcement: event.Announcement) -> bool:
    """Return whether the same process is known to leave without a session."""
    leaving = tables.leaving_unregistered.get(announcement.target)
    return (
        leaving is not None
        and leaving.born_at == announcement.born_at
        and leaving.description == describe(announcement)
    )


def is_contradicted(
    tables: state.State, announcement: event.Announcement
) -> bool:
    """Return whether the announced incarnation was said to leave.

    Unless the announcement is late, one of the two is from another writer.
    """
    leaving = tables.leaving_unregistered.get(announcement.target)
    return leaving is not None and leaving.born_at == announcement.born_at


def find_refusal(
    tables: state.State, announcement: event.Announcement, sequence: int
) -> outcome.NotRun | None:
    """Return a refusal if the announced incarnation leaves or has left.

    sequence is that of the heartbeat, by which a late one is known.
    """
    if not announcement.born_at:
        return None
    if _has_left(tables, announcement):
        verb = 'has left'
    elif _is_late(tables, announcement, sequence):
        verb = 'leaves'
    else:
        return None
    return outcome.NotRun(
        outcome.RefusalReason.SUPERSEDED_LIFE, f'{announcement.target} {verb}'
    )


def _has_left(tables: state.State, announcement: event.Announcement) -> bool:
    """Return whether the announced incarnation, or a later one, has left."""
    departed = tables.departed.get(announcement.target)
    return departed is not None and announcement.born_at <= departed.born_at


def _is_late(
    tables: state.State, announcement: event.Announcement, sequence: int
) -> bool:
    """Return whether a heartbeat was sent before the one that told to leave."""
    leaving = tables.leaving_unregistered.get(announcement.target)
    return (
        leaving is not None
        and sequence <= leaving.sequence
        and is_recorded(tables, announcement)
    )


def _delete_old(
    tables: state.State, records: dict[identity.TargetId, Record]
) -> None:
    """Delete the first of the records, which are in the order of their time."""
    oldest_kept = tables.time - RETENTION_MS
    while records:
        name = next(iter(records))
        if records[name].at >= oldest_kept:
            return
        records.pop(name)
