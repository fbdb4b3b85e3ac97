"""Leases of target sessions, tracked by the leader and not replicated.

The target counts a lease from when it sent a renewal; the leader counts it
from when it received the renewal, and adds a margin. The target has therefore
always stopped its work before the leader declares the session expired.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable

from ..core import identity, target


@dataclasses.dataclass(slots=True)
class SessionLease:
    """When a session was last renewed, and the entry that serves it."""

    renewed_at: int
    entry: str = ''


def _default_length(_: identity.SessionId) -> int:
    return target.LEASE_MS


class Leases:
    """The leases of all sessions while this replica leads.

    Times are milliseconds of this process's monotonic clock.
    """

    def __init__(
        self,
        now: int,
        length_of: Callable[[identity.SessionId], int] = _default_length,
    ) -> None:
        """Start as a new leader: every session may have just been renewed.

        length_of returns the length of a session's lease in milliseconds.
        """
        self._term_started_at = now
        self._length_of = length_of
        self._sessions: dict[identity.SessionId, SessionLease] = {}
        self._expiring: set[identity.SessionId] = set()

    def add_new(self, sessions: Iterable[identity.SessionId], now: int) -> None:
        """Start the leases of sessions that are new to this leader."""
        for session in sessions:
            self._sessions.setdefault(session, SessionLease(now))

    def renew(self, session: identity.SessionId, entry: str, now: int) -> bool:
        """Renew a lease, unless it has expired.

        Returns whether the session has changed to another entry.
        """
        if session in self._expiring:
            return False
        record = self._sessions.get(session)
        if record is None:
            self._sessions[session] = SessionLease(now, entry)
            return True
        has_moved = record.entry != entry
        record.renewed_at = now
        record.entry = entry
        return has_moved

    def assign(self, session: identity.SessionId, entry: str) -> None:
        """Record the entry that is to call the target of a session.

        This does not renew the lease.
        """
        record = self._sessions.get(session)
        if record is None:
            record = SessionLease(self._term_started_at)
            self._sessions[session] = record
        record.entry = entry

    def backdate(self, session: identity.SessionId, renewed_at: int) -> None:
        """Start a lease at a time since which no earlier leader renewed it."""
        self._sessions[session] = SessionLease(renewed_at)

    def is_expiring(self, session: identity.SessionId) -> bool:
        """Return whether a lease has expired and its session not yet ended."""
        return session in self._expiring

    def entry_of(self, session: identity.SessionId) -> str:
        """Return the entry that serves a session, or an empty string."""
        record = self._sessions.get(session)
        return record.entry if record else ''

    def expire(
        self, sessions: Iterable[identity.SessionId], now: int
    ) -> list[identity.SessionId]:
        """Return the sessions whose lease has newly expired.

        Each session is returned once and cannot be renewed afterwards.
        """
        expired = [
            session
            for session in sessions
            if session not in self._expiring and self._expires_at(session) < now
        ]
        self._expiring.update(expired)
        return expired

    def remove(self, session: identity.SessionId) -> None:
        """Remove a session that has ended."""
        self._sessions.pop(session, None)
        self._expiring.discard(session)

    def renewed_at(self, session: identity.SessionId) -> int:
        """Return when a session was last renewed.

        Sessions not known yet count from when this replica began to lead.
        """
        record = self._sessions.get(session)
        return record.renewed_at if record else self._term_started_at

    def _expires_at(self, session: identity.SessionId) -> int:
        length = self._length_of(session)
        return self.renewed_at(session) + length + target.LEASE_MARGIN_MS
