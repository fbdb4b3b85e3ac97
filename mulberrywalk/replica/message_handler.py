"""What the leader makes of the messages of entries."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from types import MappingProxyType
from typing import Any

from ..core import event, identity, outcome
from ..telemetry import clock
from ..transport import wire
from . import (
    advice_queue,
    assignment,
    delivery,
    engine,
    lease,
    link,
    proposal,
    request,
    silence,
)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderComponents:
    """The parts of a leader that messages of entries concern."""

    leases: lease.Leases
    silence_detector: silence.SilenceDetector
    delivery: delivery.Delivery
    assignments: assignment.Assignments
    advice_queue: advice_queue.AdviceQueue
    requests: request.Requests


class MessageHandler:
    """Takes each message while this replica leads."""

    def __init__(
        self, running: engine.Engine, components: LeaderComponents
    ) -> None:
        """Hand messages on to the components, or propose them as events."""
        self._engine = running
        self._components = components
        self._takers: MappingProxyType[Any, Callable[..., None]] = (
            MappingProxyType(
                {
                    wire.Call: self._take_call,
                    wire.Renewals: self._renew,
                    wire.PolledSessions: self._keep_carried,
                    wire.Report: self._propose_report,
                    wire.Departure: self._take_departure,
                    wire.AdviceResult: self._take_advice,
                    wire.EntryHeartbeat: self._take_pulse,
                }
            )
        )

    def receive(self, origin: link.Link, received: wire.FromEntry) -> None:
        """Take one message of an entry."""
        self._takers[type(received)](origin, received)

    def _take_call(self, origin: link.Link, received: wire.Call) -> None:
        self._components.requests.serve(origin, received)

    def _take_departure(
        self, origin: link.Link, received: wire.Departure
    ) -> None:
        self._engine.propose(
            event.DepartureAnnounced(self._engine.time(), received.session),
            proposal.ignore_outcome,
        )

    def _take_pulse(
        self, origin: link.Link, received: wire.EntryHeartbeat
    ) -> None:
        origin.is_stopping = received.is_stopping
        origin.version = received.version
        origin.pulse_sent_at = received.sent_at
        origin.cost = received.cost

    def _take_advice(
        self, origin: link.Link, received: wire.AdviceResult
    ) -> None:
        self._components.advice_queue.complete(received.step)
        self._engine.propose(
            event.AdviceReceived(
                self._engine.time(),
                received.step,
                received.asked,
                received.allowed,
                received.age_ms,
            ),
            proposal.ignore_outcome,
        )

    def _renew(self, origin: link.Link, received: wire.Renewals) -> None:
        now = clock.monotonic_ms()
        leases = self._components.leases
        renewed: list[tuple[identity.SessionId, int]] = []
        gone: list[identity.SessionId] = []
        for session, count in received.sessions:
            if not self._is_carried(session, origin, now):
                gone.append(session)
            elif self._may_renew(session, now):
                renewed.append((session, count))
                if leases.renew(session, origin.process, now):
                    self._components.delivery.resend_session(session, now)
        if renewed:
            origin.send(wire.RenewedSessions(tuple(renewed)))
        if gone:
            origin.send(wire.EndedSessions(tuple(gone)))

    def _keep_carried(
        self, origin: link.Link, received: wire.PolledSessions
    ) -> None:
        now = clock.monotonic_ms()
        assignments = self._components.assignments
        gone = tuple(
            session
            for session in received.sessions
            if not assignments.accept_claim(session, origin, now)
        )
        if gone:
            origin.send(wire.EndedSessions(gone))
        assignments.resend_missing(origin, received.sessions, now)

    def _may_renew(self, session: identity.SessionId, now: int) -> bool:
        """Return whether a lease is neither over nor in a silence.

        After a silence it is renewed once it is noted that it is over: a later
        leader may count the lease from the silence.
        """
        components = self._components
        is_over = components.leases.is_expiring(session)
        return not is_over and components.silence_detector.record_contact(
            session, now
        )

    def _is_carried(
        self, session: identity.SessionId, origin: link.Link, now: int
    ) -> bool:
        """Return whether a session is live, and may be with that entry."""
        if session not in self._engine.tables.sessions:
            return False
        assignments = self._components.assignments
        return assignments.may_renew(
            session, origin.process
        ) or assignments.accept_claim(session, origin, now)

    def _bar_strangers(self, origin: link.Link, received: wire.Report) -> None:
        """Stop what a target runs that no live attempt of its session is.

        An order that was held up may be carried out after its attempt has
        ended or was given up.
        """
        attempts = self._engine.tables.attempts
        strangers = tuple(
            wire.StopCommand(one.attempt, is_checkpointed=False)
            for one in received.started
            if one.attempt not in attempts
            or attempts[one.attempt].session != received.session
        )
        if strangers:
            term = self._engine.node.term
            origin.send(
                wire.Commands(received.session, stop=strangers, term=term)
            )

    def _propose_report(self, origin: link.Link, received: wire.Report) -> None:
        self._bar_strangers(origin, received)

        def tell(told: outcome.Outcome | None) -> None:
            if isinstance(told, outcome.NotRun):
                origin.send(wire.EndedSessions((received.session,)))

        self._engine.propose(
            event.ReportReceived(
                self._engine.time(),
                received.session,
                received.started,
                received.ended,
                received.usage,
                received.saved,
            ),
            tell,
        )
