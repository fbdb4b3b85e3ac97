"""Which targets have fallen silent, long before their leases have run out.

The load that this answers: targets that crash or are cut off while much work
is placed. What is placed on one of them is stuck until its lease has run out,
for the order may have been carried out.
"""

from __future__ import annotations

from ..core import event, identity, outcome, target
from . import engine, lease

# A target at work is looked at far more often than an idle one.
BUSY_MS = 1200
IDLE_MS = 2500


class Silences:
    """Notes when targets fall silent, and when they are heard again."""

    def __init__(self, running: engine.Engine, leases: lease.Leases) -> None:
        """Compare the leases with what the state says."""
        self._engine = running
        self._leases = leases
        self._noted: dict[identity.SessionId, bool] = {}
        self._known_from: dict[identity.SessionId, int] = {}

    def review(self, now: int) -> None:
        """Propose each change, once; now is of the monotonic clock, in ms."""
        sessions = self._engine.tables.sessions
        self._known_from = {
            name: self._known_from.get(name, now) for name in sessions
        }
        for session in list(sessions.values()):
            is_silent = self._is_silent(session, now)
            if is_silent != self._is_noted(session):
                self._note(session.session, is_silent=is_silent)
        self._noted = {
            name: is_silent
            for name, is_silent in self._noted.items()
            if name in sessions
        }

    def _is_silent(self, session: target.Session, now: int) -> bool:
        tables = self._engine.tables
        is_busy = bool(tables.by_session.get(session.session))
        patience_ms = BUSY_MS if is_busy else IDLE_MS
        heard_at = max(
            self._leases.renewed_at(session.session),
            self._known_from[session.session],
        )
        return now - heard_at > patience_ms

    def _is_noted(self, session: target.Session) -> bool:
        proposed = self._noted.get(session.session)
        if proposed is not None:
            return proposed
        record = self._engine.tables.targets[session.target]
        return record.session == session.session and record.is_silent

    def _note(self, session: identity.SessionId, *, is_silent: bool) -> None:
        self._noted[session] = is_silent
        self._engine.propose(
            event.SilenceNoted(self._engine.time(), session, is_silent),
            _ignore,
        )


def _ignore(told: outcome.Outcome | None) -> None:
    """Take an outcome that nobody waits for."""
