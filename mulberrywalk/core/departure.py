"""Polled targets that have left, whose late heartbeats are ignored.

A heartbeat that was held up on its way can arrive after the target has left, at
a leader that has never heard of it.
"""

from __future__ import annotations

from . import event, state, target

# A heartbeat is not held up for longer.
RETENTION_MS = 600_000


def record_end(tables: state.State, session: target.Session) -> None:
    """Remember the incarnation of a leaving target whose session ends.

    A target that has announced that it leaves serves no longer under the same
    incarnation.
    """
    if not session.born_at or not tables.targets[session.target].is_leaving:
        return
    _delete_old(tables)
    tables.departed.pop(session.target, None)
    tables.departed[session.target] = target.Departure(
        session.born_at, tables.time
    )


def has_left(tables: state.State, announcement: event.Announcement) -> bool:
    """Return whether the announced incarnation, or a later one, has left."""
    departed = tables.departed.get(announcement.target)
    if departed is None or not announcement.born_at:
        return False
    return announcement.born_at <= departed.born_at


def _delete_old(tables: state.State) -> None:
    oldest_kept = tables.time - RETENTION_MS
    while tables.departed:
        name = next(iter(tables.departed))
        if tables.departed[name].at >= oldest_kept:
            return
        tables.departed.pop(name)
