"""Leases of target sessions, as the leader counts them; not replicated.

The target counts a lease from when it sent a renewal, the leader from when
it received it, plus a margin. So the target has always stopped before the
leader declares the session dead.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable

from ..core import identity, target


@dataclasses.dataclass(slots=True)
class SessionLease:
    """When a session was last renewed, and which entry carries it."""

    renewed_at: int
    entry: str = ''


def _usual_length(_: identity.SessionId) -> int:
    return target.LEASE_MS


class Leases:
    """The leases of all sessions while this replica leads.

    Times are milliseconds of this process's monotonic clock.
    """

    def __init__(
        self,
        now: int,
        length_of: Callable[[identity.SessionId], int] = _usual_length,
    ) -> None:
        """Start as a new leader: every session may have renewed just now.

        length_of tells the length of a session's lease in milliseconds.
        """
        self._led_from = now
        self._length_of = length_of
        self._sessions: dict[identity.SessionId, SessionLease] = {}
        self._expiring: set[identity.SessionId] = set()

    def add_new(self, sessions: Iterable[identity.SessionId], now: int) -> None:
        """Count the leases of sessions that are new to this leader from now."""
        for session in sessions:
            self._sessions.setdefault(session, SessionLease(now))

    def renew(self, session: identity.SessionId, entry: str, now: int) -> bool:
        """Renew a lease, unless it is being declared over.

        Returns whether the session has come to another entry.
        """
        if session in self._expiring:
            return False
        known = self._sessions.get(session)
        if known is None:
            self._sessions[session] = SessionLease(now, entry)
            return True
        is_moved = known.entry != entry
        known.renewed_at = now
        known.entry = entry
        return is_moved

    def assign(self, session: identity.SessionId, entry: str) -> None:
        """Note which entry is to call the target of a session.

        The lease is not renewed by that.
        """
        known = self._sessions.get(session)
        if known is None:
            known = SessionLease(self._led_from)
            self._sessions[session] = known
        known.entry = entry

    def backdate(self, session: identity.SessionId, renewed_at: int) -> None:
        """Count a lease that an earlier leader is known not to have renewed."""
        self._sessions[session] = SessionLease(renewed_at)

    def is_expiring(self, session: identity.SessionId) -> bool:
        """Return whether a session is being declared over."""
        return session in self._expiring

    def entry_of(self, session: identity.SessionId) -> str:
        """Return the entry that carries a session, or nothing."""
        known = self._sessions.get(session)
        return known.entry if known else ''

    def expire(
        self, sessions: Iterable[identity.SessionId], now: int
    ) -> list[identity.SessionId]:
        """Return the sessions whose lease has run out, each one once.

        From then on they cannot be renewed any more.
        """
        expired = [
            session
            for session in sessions
            if session not in self._expiring and self._expires_at(session) < now
        ]
        self._expiring.update(expired)
        return expired

    def remove(self, session: identity.SessionId) -> None:
        """Drop a session that has ended."""
        self._sessions.pop(session, None)
        self._expiring.discard(session)

    def renewed_at(self, session: identity.SessionId) -> int:
        """Return when a session was renewed, or this replica began to lead."""
        known = self._sessions.get(session)
        return known.renewed_at if known else self._led_from

    def _expires_at(self, session: identity.SessionId) -> int:
        length = self._length_of(session)
        return self.renewed_at(session) + length + target.LEASE_MARGIN_MS
