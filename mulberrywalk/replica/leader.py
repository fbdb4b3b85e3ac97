"""What a replica does beyond the log while it leads."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from types import MappingProxyType
from typing import Any

import anyio
import msgspec

from ..consensus import node, repair
from ..core import (
    advice_prefetch,
    confirmation,
    effect,
    event,
    identity,
    target,
)
from ..telemetry import clock, journal, metric
from ..transport import wire
from . import (
    assignment,
    delivery,
    engine,
    intake,
    lease,
    link,
    proposal,
    question,
    registry,
    request,
    silence,
    status,
    view,
    watch,
)

_ROUND_S = 0.1
_DISPATCH_MS = 250
_REPAIR_MS = 200
_GAUGE_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How many voters are wanted and how long a silent one is kept."""

    voters: int
    repair_after_ms: int


class Leader:
    """Serves the entries, counts leases, carries out effects, repairs."""

    def __init__(
        self,
        running: engine.Engine,
        lines: journal.Journal,
        metrics: metric.Metrics,
        policy: Policy,
        statuses: status.Statuses,
    ) -> None:
        """Prepare; nothing is done before this replica leads."""
        self.links = link.Links(
            running, lines, statuses.meter, self._receive, self._open
        )
        self.registry = registry.Registry(running)
        self._statuses = statuses
        self._engine = running
        self._journal = lines
        self._metrics = metrics
        self._watch = watch.Watch(running, lines, metrics)
        self._policy = policy
        self._term = 0
        self._dispatched_at = 0
        self._repaired_at = 0
        self._gauged_at = 0
        self._begin()

    async def run(self) -> None:
        """Do the leader's rounds for ever, while this replica leads."""
        while True:
            await anyio.sleep(_ROUND_S)
            if self._engine.is_serving():
                self._run_round(clock.monotonic_ms())

    def change_role(self) -> None:
        """Start anew when this replica has begun to lead a term.

        It begins once all entries of earlier terms are applied: what is left
        to do is derived from the state then.
        """
        running = self._engine.node
        is_leading = (
            running.role is node.Role.LEADER and self._engine.has_caught_up()
        )
        if is_leading and running.term != self._term:
            self._term = running.term
            self._begin()
            self._engine.propose(
                event.LeadershipBegun(self._engine.time()), proposal.ignore
            )
        if running.role is not node.Role.LEADER:
            self._watch.stop()
        self.links.broadcast(self._members_changed())

    def carry_out(self, effects: list[effect.Effect]) -> None:
        """Carry out the effects of one applied event."""
        for effected in effects:
            carry = self._effects.get(type(effected))
            if carry is not None:
                carry(effected)

    def join(self, request: wire.JoinRequest) -> wire.JoinReply:
        """Admit a replica with an empty disk as a spare."""
        running = self._engine.node
        known = running.membership.find(request.member.identity) is not None
        members = running.membership.members
        if not self._engine.is_serving():
            leader = (
                running.membership.find(running.leader)
                if running.leader
                else None
            )
            address = leader.address if leader else ''
            return wire.JoinReply(known, address, members)
        planned = repair.admit(running, request.member)
        if planned is not None:
            self._journal.record('spare admitted', request.member.identity)
            self._engine.enter(node.MembershipProposed(planned))
        return wire.JoinReply(known, '', members)

    def _begin(self) -> None:
        now = clock.monotonic_ms()
        self._leases = lease.Leases(now, self._lease_length)
        self._delivery = delivery.Delivery(
            self._engine, self.links, self._leases
        )
        self._assignments = assignment.Assignments(
            self._engine,
            self.links,
            self._leases,
            self._delivery,
            self._journal,
            now,
        )
        self._silences = silence.Silences(self._engine, self._leases)
        self._silences.take_over(now)
        self._leases.begin_new(self._engine.tables.sessions, now)
        self._questions = question.Questions(self.links)
        self.registry.reset()
        self._requests = request.Requests(
            self._engine,
            self.links,
            self._leases,
            self._metrics,
            self._statuses,
        )
        self._intake = intake.Intake(
            self._engine,
            intake.Duties(
                self._leases,
                self._silences,
                self._delivery,
                self._assignments,
                self._questions,
                self._requests,
            ),
        )
        self._effects: MappingProxyType[Any, Callable[..., None]] = (
            MappingProxyType(
                {
                    effect.StartAttempt: self._start,
                    effect.StopAttempt: self._stop,
                    effect.ThrottleAttempt: self._throttle,
                    effect.AcknowledgeEnds: self._delivery.acknowledge,
                    effect.EndSession: self._end_session,
                    effect.ReportJobEnd: self._report_job_end,
                    effect.PublishConfiguration: self._publish,
                    effect.AskAdvice: self._questions.ask,
                    effect.Trace: self._trace,
                }
            )
        )

    def _run_round(self, now: int) -> None:
        tables = self._engine.tables
        self._leases.begin_new(tables.sessions, now)
        expired = self._leases.expire(list(tables.sessions), now)
        for session in expired:
            self._engine.propose(
                event.SessionExpired(self._engine.time(), session),
                proposal.ignore,
            )
        self._silences.review(now)
        self._assignments.review(now)
        self._questions.review()
        self._delivery.resend(now)
        self._dispatch_when_due(now)
        if now - self._repaired_at >= _REPAIR_MS:
            self._repaired_at = now
            self._repair()
        if now - self._gauged_at >= _GAUGE_MS:
            self._gauged_at = now
            self._gauge()

    def _dispatch_when_due(self, now: int) -> None:
        waiting = self._engine.tables.waiting
        is_due = (
            bool(waiting.queues)
            or self._is_timer_due()
            or confirmation.has_overdue_start(
                self._engine.tables, self._engine.time()
            )
            or advice_prefetch.is_due(self._engine.tables)
        )
        if is_due and now - self._dispatched_at >= _DISPATCH_MS:
            self._dispatched_at = now
            self._engine.request_dispatch()

    def _is_timer_due(self) -> bool:
        tables = self._engine.tables
        wall = self._engine.time()
        document = tables.configuration.document
        oldest = wall - document.finished_retention_ms
        delayed = tables.waiting.delayed
        return bool(
            (delayed and delayed[0][0] <= wall)
            or (tables.quarantined and tables.quarantined[0][0] <= wall)
            or (tables.finished and tables.finished[0][0] < oldest)
            or (tables.due and tables.due[0][0] <= wall)
        )

    def _repair(self) -> None:
        planned = repair.plan(
            self._engine.node,
            voters=self._policy.voters,
            patience_ms=self._policy.repair_after_ms,
        )
        if planned is not None:
            listed = ', '.join(planned.voters())
            self._journal.record('membership proposed', f'voters {listed}')
            self._engine.enter(node.MembershipProposed(planned))

    def _gauge(self) -> None:
        tables = self._engine.tables
        self._metrics.gauge('attempts', len(tables.attempts))
        self._metrics.gauge('sessions', len(tables.sessions))
        self._metrics.gauge('waiting', sum(tables.waiting.counts.values()))
        self._metrics.gauge('backlog', self._engine.backlog())
        self._metrics.gauge(
            'targets_of_busiest_entry',
            max(self._assignments.count().values(), default=0),
        )
        self._watch.review()
        for step, detail in view.explain_heads(tables):
            job = step.split('.', maxsplit=1)[0]
            self._journal.record('first in queue', f'{step} {detail}', job=job)

    def _open(self, opened: link.Link) -> None:
        opened.send(self._members_changed())
        opened.send(self._configuration_changed())
        self._journal.record('entry linked', opened.process)

    def _configuration_changed(self) -> wire.ConfigurationChanged:
        # Entries have no use for the operator's own text of the routing.
        current = self._engine.tables.configuration
        routing = msgspec.structs.replace(current.routing, source='')
        return wire.ConfigurationChanged(
            msgspec.structs.replace(current, routing=routing)
        )

    def _members_changed(self) -> wire.MembersChanged:
        members = self._engine.node.membership.members
        return wire.MembersChanged(tuple(one.address for one in members))

    def _receive(self, origin: link.Link, received: wire.FromEntry) -> None:
        if self._engine.is_serving():
            self._intake.take(origin, received)

    def _lease_length(self, session: identity.SessionId) -> int:
        known = self._engine.tables.sessions.get(session)
        return known.lease_ms if known else target.LEASE_MS

    def _start(self, effected: effect.StartAttempt) -> None:
        self._metrics.incr('starts')
        attempt = effected.attempt
        task = self._engine.tables.tasks[attempt.task]
        self._metrics.timing('wait', attempt.placed_at - task.waiting_since)
        self._delivery.start(attempt, clock.monotonic_ms())

    def _stop(self, effected: effect.StopAttempt) -> None:
        self._delivery.stop(effected.attempt, clock.monotonic_ms())

    def _throttle(self, effected: effect.ThrottleAttempt) -> None:
        self._delivery.throttle(effected.attempt)

    def _end_session(self, effected: effect.EndSession) -> None:
        entry = self._leases.entry_of(effected.session)
        self.links.send(entry, wire.Gone((effected.session,)))
        self._leases.forget(effected.session)

    def _report_job_end(self, effected: effect.ReportJobEnd) -> None:
        self._requests.answer_waiting(effected.job)

    def _publish(self, effected: effect.PublishConfiguration) -> None:
        self.links.broadcast(self._configuration_changed())

    def _trace(self, effected: effect.Trace) -> None:
        self._journal.record(
            effected.what,
            effected.detail,
            job=effected.job,
            task=effected.task,
            attempt=effected.attempt,
            target=effected.target,
        )
