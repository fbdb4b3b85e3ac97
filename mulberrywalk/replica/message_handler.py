"""Handling of messages from entries on the leader."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from types import MappingProxyType
from typing import Any

from ..core import event, identity, outcome
from ..telemetry import clock, journal, metric
from ..transport import configuration_part, wire
from . import (
    advice_queue,
    assignment,
    configuration_transfer,
    delivery,
    engine,
    identification,
    lease,
    link,
    proposal,
    request,
    silence,
)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderComponents:
    """The components of a leader that handle messages from entries."""

    leases: lease.Leases
    silence_detector: silence.SilenceDetector
    delivery: delivery.Delivery
    assignments: assignment.Assignments
    advice_requests: advice_queue.AdviceQueue
    requests: request.Requests
    identification: identification.Identification
    configurations: configuration_transfer.ConfigurationTransfers
    logger: journal.Journal
    metrics: metric.Metrics


class MessageHandler:
    """Handles messages from entries while this replica leads."""

    def __init__(
        self, replica_engine: engine.Engine, components: LeaderComponents
    ) -> None:
        """Pass messages on to the components or propose them as events."""
        self._engine = replica_engine
        self._components = components
        self._handlers: MappingProxyType[Any, Callable[..., None]] = (
            MappingProxyType(
                {
                    wire.Call: self._serve_call,
                    wire.Renewals: self._renew,
                    wire.PolledSessions: self._accept_claims,
                    wire.Report: self._propose_report,
                    wire.Departure: self._propose_departure,
                    wire.AdviceResult: self._propose_advice,
                    wire.EntryHeartbeat: self._record_pulse,
                    wire.IdentityResult: self._record_identity,
                    configuration_part.ConfigurationProgress: (
                        self._continue_transfer
                    ),
                }
            )
        )

    def receive(self, origin: link.Link, received: wire.FromEntry) -> None:
        """Handle one message from an entry."""
        self._handlers[type(received)](origin, received)

    def _serve_call(self, origin: link.Link, received: wire.Call) -> None:
        self._components.requests.serve(origin, received)

    def _propose_departure(
        self, origin: link.Link, received: wire.Departure
    ) -> None:
        self._engine.propose(
            event.DepartureAnnounced(self._engine.time(), received.session),
            proposal.ignore_outcome,
        )

    def _record_pulse(
        self, origin: link.Link, received: wire.EntryHeartbeat
    ) -> None:
        origin.is_stopping = received.is_stopping
        origin.version = received.version
        origin.pulse_sent_at = received.sent_at
        if received.cost.memory_bytes:
            origin.cost = received.cost
            origin.cost_sent_at = received.sent_at
            origin.limit_millicores = received.limit_millicores
        origin.relief = received.relief

    def _record_identity(
        self, origin: link.Link, received: wire.IdentityResult
    ) -> None:
        self._components.identification.receive(received)

    def _continue_transfer(
        self,
        origin: link.Link,
        received: configuration_part.ConfigurationProgress,
    ) -> None:
        self._components.configurations.handle_progress(
            origin, received, clock.monotonic_ms()
        )

    def _propose_advice(
        self, origin: link.Link, received: wire.AdviceResult
    ) -> None:
        self._components.advice_requests.complete(
            received.step, has_failed=not received.asked
        )
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
            if not self._may_serve(session, origin, now):
                gone.append(session)
            elif self._is_renewable(session, now):
                renewed.append((session, count))
                if leases.renew(session, origin.process, now):
                    self._components.delivery.resend_session(session, now)
        if renewed:
            origin.send(wire.RenewedSessions(tuple(renewed)))
        if gone:
            origin.send(wire.EndedSessions(tuple(gone)))

    def _accept_claims(
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

    def _is_renewable(self, session: identity.SessionId, now: int) -> bool:
        """Return whether a lease is not expiring and its target not silent.

        After a silence, the lease is renewed only once the end of the silence
        is committed: until then, a later leader may count the lease from the
        start of the silence.
        """
        components = self._components
        has_expired = components.leases.is_expiring(session)
        return not has_expired and components.silence_detector.record_contact(
            session, now
        )

    def _may_serve(
        self, session: identity.SessionId, origin: link.Link, now: int
    ) -> bool:
        """Return whether a session is live and the entry may serve it."""
        if session not in self._engine.tables.sessions:
            return False
        assignments = self._components.assignments
        return assignments.may_renew(
            session, origin.process
        ) or assignments.accept_claim(session, origin, now)

    def _stop_unknown_attempts(
        self, origin: link.Link, received: wire.Report
    ) -> None:
        """Stop reported attempts that are not live attempts of the session.

        A delayed start command may be executed after its attempt has ended
        or was abandoned. The end may have been proposed and not be committed,
        so known attempts are checked again with the commit of the report.
        """
        command_delivery = self._components.delivery
        for reported in received.started:
            name = reported.attempt
            if command_delivery.is_unknown(received.session, name):
                self._stop_unknown(origin, received.session, name)
            else:
                command_delivery.check_later(received.session, name)

    def _take_lost_attempts(
        self, received: wire.Report
    ) -> list[identity.AttemptId]:
        """Return attempts that ended in the state while they were reported.

        Called once for each report, when its outcome is known.
        """
        command_delivery = self._components.delivery
        return [
            reported.attempt
            for reported in received.started
            if command_delivery.has_become_unknown(
                received.session, reported.attempt
            )
        ]

    def _stop_unknown(
        self,
        origin: link.Link,
        session: identity.SessionId,
        name: identity.AttemptId,
    ) -> None:
        self._log_unknown(origin, session, name)
        self._components.delivery.stop_unknown(
            session, name, origin.process, clock.monotonic_ms()
        )

    def _log_unknown(
        self,
        origin: link.Link,
        session: identity.SessionId,
        name: identity.AttemptId,
    ) -> None:
        self._components.metrics.incr('unknown_runs')
        self._components.logger.record(
            'unknown run reported',
            f'by {origin.process}, stop sent',
            attempt=name,
            job=name.split('.', maxsplit=1)[0],
            target=self._target_of(session),
        )

    def _target_of(self, name: identity.SessionId) -> str:
        known = self._engine.tables.sessions.get(name)
        return known.target if known else ''

    def _accept_expired(
        self, origin: link.Link, received: wire.Report
    ) -> tuple[event.AttemptEnd, ...]:
        """Return the ends of expired starts if no other entry sends starts.

        The entry knows only the starts that were sent until the target was
        assigned to it, and its own.
        """
        is_current = self._components.assignments.is_current(
            received.session, origin.process, received.assignment
        )
        if not is_current:
            return ()
        command_delivery = self._components.delivery
        return tuple(
            ended
            for ended in received.expired
            if command_delivery.expire(received.session, ended.attempt)
        )

    def _propose_report(self, origin: link.Link, received: wire.Report) -> None:
        self._stop_unknown_attempts(origin, received)
        for ended in received.ended:
            self._components.delivery.confirm_end(
                received.session, ended.attempt
            )
        expired = self._accept_expired(origin, received)

        def notify(event_outcome: outcome.Outcome | None) -> None:
            lost = self._take_lost_attempts(received)
            if isinstance(event_outcome, outcome.NotRun):
                origin.send(wire.EndedSessions((received.session,)))
            elif event_outcome is not None:
                for name in lost:
                    self._stop_unknown(origin, received.session, name)

        self._engine.propose(
            event.ReportReceived(
                self._engine.time(),
                received.session,
                received.started,
                (*received.ended, *expired),
                received.usage,
                received.saved,
            ),
            notify,
        )
