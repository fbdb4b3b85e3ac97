"""Which targets have fallen silent, long before their leases have run out.

The load that this answers: targets that crash or are cut off while much work
is placed, and leaders that are lost at the same time. What is placed on such a
target is stuck until its lease has run out, for the order may have been
carried out. A new leader that knows of the silence need not count the whole
lease anew.
"""

from __future__ import annotations

from ..core import event, identity
from . import engine, lease, proposal

# A target at work is looked at more often than an idle one, whose last look
# may wait for a second yet when work comes.
BUSY_TIMEOUT_MS = 1300
IDLE_TIMEOUT_MS = 2500
# The clock of events may run fast by a tenth against the monotonic one.
_SURE_PERCENT = 90
_PERCENT = 100


class SilenceDetector:
    """Notes when targets fall silent, and when they are heard again.

    Times are milliseconds of this process's monotonic clock.
    """

    def __init__(self, running: engine.Engine, leases: lease.Leases) -> None:
        """Compare the leases with what the state says."""
        self._engine = running
        self._leases = leases
        self._noted: dict[identity.SessionId, bool] = {}
        self._heard_at: dict[identity.SessionId, int] = {}
        self._busy_from: dict[identity.SessionId, int] = {}

    def restore(self, now: int) -> None:
        """Count the leases of silent targets from when they fell silent.

        Noted again by the clock of this leader, so that the next one may
        count on; these are the first events of its term.
        """
        tables = self._engine.tables
        for record in list(tables.targets.values()):
            if record.silence is None or record.session is None:
                continue
            passed = max(0, tables.time - record.silence.noted_at)
            sure = passed * _SURE_PERCENT // _PERCENT
            quiet_ms = record.silence.quiet_ms + sure
            self._leases.backdate(record.session, now - quiet_ms)
            self._note(record.session, quiet_ms)

    def check(self, now: int) -> None:
        """Propose each silence that has begun, once."""
        sessions = self._engine.tables.sessions
        self._heard_at = {
            name: self._heard_at.get(name, now) for name in sessions
        }
        busy = self._engine.tables.attempts_by_session
        self._busy_from = {
            name: self._busy_from.get(name, now)
            for name in sessions
            if busy.get(name)
        }
        for session in list(sessions):
            quiet_ms = now - self._last_heard_at(session)
            if self._is_overdue(session, quiet_ms, now):
                self._note(session, quiet_ms)
        self._noted = {
            name: is_silent
            for name, is_silent in self._noted.items()
            if name in sessions
        }

    def record_contact(self, session: identity.SessionId, now: int) -> bool:
        """Return whether a target that is heard is in no silence.

        Neither in one that was proposed: it may be committed yet.
        """
        if self._noted.get(session, False):
            self._heard_at[session] = now
            self._note(session, 0)
            return False
        return not self._is_silent(session)

    def _last_heard_at(self, session: identity.SessionId) -> int:
        renewed_at = self._leases.renewed_at(session)
        return max(renewed_at, self._heard_at.get(session, 0))

    def _is_overdue(
        self, session: identity.SessionId, quiet_ms: int, now: int
    ) -> bool:
        if self._is_noted(session):
            return False
        busy_ms = now - self._busy_from.get(session, now)
        return (
            quiet_ms > IDLE_TIMEOUT_MS
            or min(quiet_ms, busy_ms) > BUSY_TIMEOUT_MS
        )

    def _is_silent(self, name: identity.SessionId) -> bool:
        tables = self._engine.tables
        record = tables.targets[tables.sessions[name].target]
        return record.session == name and record.silence is not None

    def _is_noted(self, session: identity.SessionId) -> bool:
        """Return what was proposed last, or what the state says."""
        return self._noted.get(session, self._is_silent(session))

    def _note(self, session: identity.SessionId, quiet_ms: int) -> None:
        self._noted[session] = bool(quiet_ms)
        self._engine.propose(
            event.SilenceNoted(self._engine.time(), session, quiet_ms),
            proposal.ignore_outcome,
        )
