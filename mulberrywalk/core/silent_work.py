"""Lasting work on silent targets, and when its end will be proved.

Such work runs again once the lease of its target has run out. What it needs
then, advice and room, is prepared before, since delays of each recovery add
up when targets are lost one after the other.
"""

from __future__ import annotations

from collections.abc import Iterator

from . import identity, job, state, target


def find_attempts(
    tables: state.State,
) -> Iterator[tuple[int, job.Attempt]]:
    """Yield when each lasting attempt on a silent target has surely ended.

    The time is that at which the lease has certainly expired, in milliseconds
    since 1970. Attempts of jobs that were cancelled or given up are left out.
    """
    for name in sorted(tables.silent):
        session = tables.targets[name].session
        if session is not None:
            expires_at = _lease_expires_at(tables, session)
            for attempt in sorted(tables.attempts_by_session.get(session, ())):
                yield from _if_lasting(tables, attempt, expires_at)


def _if_lasting(
    tables: state.State, name: identity.AttemptId, expires_at: int
) -> Iterator[tuple[int, job.Attempt]]:
    attempt = tables.attempts[name]
    task = tables.tasks[attempt.task]
    record = tables.jobs[task.job]
    is_ending = record.is_cancelled or record.is_abandoned
    if state.is_lasting(tables, task) and not is_ending:
        yield expires_at, attempt


def _lease_expires_at(tables: state.State, session: identity.SessionId) -> int:
    """Return when the lease of a silent target has certainly expired."""
    record = tables.sessions[session]
    silence = tables.targets[record.target].silence
    heard_at = silence.last_heard_at() if silence else tables.time
    return heard_at + record.lease_ms + target.LEASE_MARGIN_MS
