"""Leases of target sessions, as the leader counts them; not replicated.

The target counts a lease from when it sent a renewal, the leader from when
it received it, plus a margin. So the target has always stopped before the
leader declares the session dead.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from ..core import identity, target


@dataclasses.dataclass(slots=True)
class SessionLease:
    """When a session was last renewed, and which entry carries it."""

    renewed_at: int
    entry: str = ''


class Leases:
    """The leases of all sessions while this replica leads.

    Times are milliseconds of this process's monotonic clock.
    """

    def __init__(self, now: int) -> None:
        """Start as a new leader: every session may have renewed just now."""
        self._led_from = now
        self._sessions: dict[identity.SessionId, SessionLease] = {}
        self._expiring: set[identity.SessionId] = set()

    def renew(self, session: identity.SessionId, entry: str, now: int) -> bool:
        """Renew a lease, unless it is being declared over.

        Returns whether the session has come to another entry.
        """
        if session in self._expiring:
            return False
        known = self._sessions.get(session)
        self._sessions[session] = SessionLease(now, entry)
        return known is None or known.entry != entry

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
        oldest = now - target.LEASE_MS - target.MARGIN_MS
        expired = [
            session
            for session in sessions
            if session not in self._expiring
            and self._renewed_at(session) < oldest
        ]
        self._expiring.update(expired)
        return expired

    def forget(self, session: identity.SessionId) -> None:
        """Drop a session that has ended."""
        self._sessions.pop(session, None)
        self._expiring.discard(session)

    def _renewed_at(self, session: identity.SessionId) -> int:
        known = self._sessions.get(session)
        return known.renewed_at if known else self._led_from
