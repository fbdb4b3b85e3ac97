"""The target sessions of an entry, independent of their transport."""

from __future__ import annotations

import abc
import dataclasses

from ..core import identity
from ..telemetry import clock, journal
from ..transport import wire
from . import call_log, upstream

# How long a target counts as just heard after it has answered. Within this time
# a request for renewal that reached no leader is sent to the next one.
_MAX_REQUEST_AGE_MS = 1000


class TargetSession(abc.ABC):
    """The session of one target at this entry."""

    @abc.abstractmethod
    def is_polled(self) -> bool:
        """Return whether the leader assigned this entry to poll the target."""

    @abc.abstractmethod
    def command(self, commands: wire.Commands) -> None:
        """Pass the leader's commands on to the target."""

    @abc.abstractmethod
    def renew(self, sequence: int) -> None:
        """Handle a renewal of the lease by the leader.

        sequence is the number with which the renewal was requested.
        """

    @abc.abstractmethod
    def end(self) -> None:
        """Handle the end of the session or its move to another entry."""

    @abc.abstractmethod
    def relocate(self) -> None:
        """Let the target move to another entry, as this one is stopping."""


@dataclasses.dataclass(slots=True)
class _RenewalRequest:
    """A request for renewal that no leader has answered yet.

    link is the number of the stream on which it was last sent, -1 before.
    """

    sequence: int
    requested_at: int
    link: int = -1


class Sessions:
    """All target sessions of this entry, by session id."""

    def __init__(
        self, leader: upstream.Upstream, event_log: journal.Journal
    ) -> None:
        """Register as the handler of the leader's messages for targets."""
        self.open: dict[identity.SessionId, TargetSession] = {}
        self._leader = leader
        self._event_log = event_log
        self._unanswered: dict[identity.SessionId, _RenewalRequest] = {}
        leader.target_handlers = upstream.TargetHandlers(
            self._list_polled,
            self.take_renewals,
            self._command,
            self._renew,
            self._end,
        )

    def add(
        self, name: identity.SessionId, target_session: TargetSession
    ) -> None:
        """Add a session; end the one that it replaces."""
        replaced = self.open.get(name)
        self.open[name] = target_session
        if replaced is not None:
            replaced.end()

    def remove(
        self, name: identity.SessionId, target_session: TargetSession
    ) -> bool:
        """Remove a session unless another replaced it.

        Returns whether it was removed.
        """
        if self.open.get(name) is not target_session:
            return False
        self.open.pop(name)
        return True

    def request_renewal(
        self,
        name: identity.SessionId,
        sequence: int,
        *,
        is_urgent: bool = False,
    ) -> None:
        """Request the renewal of a lease with the next batch.

        The target has just answered. Without a leader, the request is sent to
        the next one, so that the lease need not wait for another answer. An
        urgent request waits for no heartbeat.
        """
        self._unanswered[name] = _RenewalRequest(sequence, clock.monotonic_ms())
        if is_urgent:
            self._leader.flush()

    def take_renewals(self) -> tuple[wire.Renewals, ...]:
        """Return the requests that were not sent on the current stream."""
        now = clock.monotonic_ms()
        self._unanswered = {
            name: request
            for name, request in self._unanswered.items()
            if now - request.requested_at <= _MAX_REQUEST_AGE_MS
        }
        link = self._leader.link_count
        unsent = [
            (name, one)
            for name, one in self._unanswered.items()
            if one.link != link
        ]
        for _, request in unsent:
            request.link = link
        batch = tuple((name, one.sequence) for name, one in unsent)
        return (wire.Renewals(batch),) if batch else ()

    def count(self) -> int:
        """Return the number of open sessions."""
        return len(self.open)

    def relocate(self) -> None:
        """Let all targets move to other entries."""
        for target_session in list(self.open.values()):
            target_session.relocate()

    def _forget_answered(self, name: identity.SessionId, sequence: int) -> None:
        request = self._unanswered.get(name)
        if request is not None and request.sequence <= sequence:
            self._unanswered.pop(name)

    def _list_polled(self) -> tuple[identity.SessionId, ...]:
        return tuple(
            name
            for name, target_session in self.open.items()
            if target_session.is_polled()
        )

    def _command(self, commands: wire.Commands) -> None:
        target_session = self.open.get(commands.session)
        if target_session is None:
            reason = f'session {commands.session} is not open here'
            unknown = identity.TargetId('')
            log = call_log.CallLog(self._event_log, unknown)
            log.record_dropped(commands, reason)
        else:
            target_session.command(commands)

    def _renew(self, renewed: wire.RenewedSessions) -> None:
        for name, sequence in renewed.sessions:
            self._forget_answered(name, sequence)
            target_session = self.open.get(name)
            if target_session is not None:
                target_session.renew(sequence)

    def _end(self, gone: wire.EndedSessions) -> None:
        for name in gone.sessions:
            self._unanswered.pop(name, None)
            target_session = self.open.get(name)
            if target_session is not None:
                target_session.end()
