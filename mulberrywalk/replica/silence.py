"""Detection of silent targets long before their leases expire.

Handles targets that crash or are disconnected during heavy placement, and the
loss of leaders at the same time. Work placed on such a target is blocked until
the lease expires, because the start command may have been executed. As silences
are recorded in the replicated state, a new leader need not wait for a whole
lease again.
"""

from __future__ import annotations

import itertools

from ..core import event, identity, outcome
from . import engine, lease

# A busy target is polled more often than an idle one. When an idle target
# becomes busy, its next poll may still be a second away.
BUSY_TIMEOUT_MS = 1300
IDLE_TIMEOUT_MS = 2500
# The event clock may run up to a tenth faster than the monotonic clock.
_CERTAIN_PERCENT = 90
_PERCENT = 100


class SilenceDetector:
    """Proposes an event when a target becomes silent or is heard again.

    Times are milliseconds of this process's monotonic clock.
    """

    def __init__(
        self, replica_engine: engine.Engine, leases: lease.Leases
    ) -> None:
        """Compare the leases with the silences recorded in the state."""
        self._engine = replica_engine
        self._leases = leases
        self._proposed: dict[identity.SessionId, bool] = {}
        self._numbers = itertools.count(1)
        # The number of the latest proposal for a session, until it is known to
        # be committed, and with it all earlier ones.
        self._uncommitted: dict[identity.SessionId, int] = {}
        self._heard_at: dict[identity.SessionId, int] = {}
        self._busy_since: dict[identity.SessionId, int] = {}

    def restore(self, now: int) -> None:
        """Start the leases of silent targets from the start of their silence.

        Each silence is recorded again by the clock of this leader, so that the
        next leader can continue from it. One that the leader before did not
        record again was noted by another clock, and has lasted at least since
        that leader began.
        """
        tables = self._engine.tables
        for record in list(tables.targets.values()):
            if record.silence is None or record.session is None:
                continue
            known_at = max(record.silence.noted_at, tables.leader_since)
            elapsed_ms = max(0, tables.time - known_at)
            certain_ms = elapsed_ms * _CERTAIN_PERCENT // _PERCENT
            quiet_ms = record.silence.quiet_ms + certain_ms
            self._leases.backdate(record.session, now - quiet_ms)
            self._propose(record.session, quiet_ms)

    def check(self, now: int) -> None:
        """Propose each new silence, once."""
        sessions = self._engine.tables.sessions
        self._heard_at = {
            name: self._heard_at.get(name, now) for name in sessions
        }
        attempts = self._engine.tables.attempts_by_session
        self._busy_since = {
            name: self._busy_since.get(name, now)
            for name in sessions
            if attempts.get(name)
        }
        for session in list(sessions):
            quiet_ms = now - self._last_heard_at(session)
            if self._is_overdue(session, quiet_ms, now):
                self._propose(session, quiet_ms)
        self._proposed = {
            name: is_silent
            for name, is_silent in self._proposed.items()
            if name in sessions
        }

    def record_contact(self, session: identity.SessionId, now: int) -> bool:
        """Handle contact from a target; return whether it is not silent.

        A silence that was proposed counts until its end, which is proposed
        here, is committed: a later leader may have only the silence.
        """
        if self._proposed.get(session, False):
            self._propose(session, 0)
        is_heard = session not in self._uncommitted
        if is_heard and not self._is_silent(session):
            return True
        self._heard_at[session] = now
        return False

    def _last_heard_at(self, session: identity.SessionId) -> int:
        renewed_at = self._leases.renewed_at(session)
        return max(renewed_at, self._heard_at.get(session, 0))

    def _is_overdue(
        self, session: identity.SessionId, quiet_ms: int, now: int
    ) -> bool:
        if self._is_recorded(session):
            return False
        busy_ms = now - self._busy_since.get(session, now)
        return (
            quiet_ms > IDLE_TIMEOUT_MS
            or min(quiet_ms, busy_ms) > BUSY_TIMEOUT_MS
        )

    def _is_silent(self, name: identity.SessionId) -> bool:
        tables = self._engine.tables
        record = tables.targets[tables.sessions[name].target]
        return record.session == name and record.silence is not None

    def _is_recorded(self, session: identity.SessionId) -> bool:
        """Return whether a silence was proposed last, or is in the state."""
        return self._proposed.get(session, self._is_silent(session))

    def _propose(self, session: identity.SessionId, quiet_ms: int) -> None:
        self._proposed[session] = bool(quiet_ms)
        number = next(self._numbers)
        self._uncommitted[session] = number

        def note_commit(event_outcome: outcome.Outcome | None) -> None:
            is_committed = event_outcome is not None
            if is_committed and self._uncommitted.get(session) == number:
                self._uncommitted.pop(session)

        self._engine.propose(
            event.SilenceNoted(self._engine.time(), session, quiet_ms),
            note_commit,
        )
