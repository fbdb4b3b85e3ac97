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
    absence_monitor,
    advice_queue,
    assignment,
    delivery,
    engine,
    lease,
    link,
    message_handler,
    proposal,
    registry,
    request,
    silence,
    status,
    view,
)

_ROUND_S = 0.1
_DISPATCH_MS = 250
_REPAIR_MS = 200
_GAUGE_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipPolicy:
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
        policy: MembershipPolicy,
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
        self._absence_monitor = absence_monitor.AbsenceMonitor(
            running, lines, metrics
        )
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

    def update_role(self) -> None:
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
                event.LeadershipBegun(self._engine.time()),
                proposal.ignore_outcome,
            )
        if running.role is not node.Role.LEADER:
            self._absence_monitor.clear()
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
        planned = repair.add_learner(running, request.member)
        if planned is not None:
            self._journal.record('spare admitted', request.member.identity)
            self._engine.enqueue(node.MembershipProposed(planned))
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
        self._silence_detector = silence.SilenceDetector(
            self._engine, self._leases
        )
        self._silence_detector.restore(now)
        self._leases.add_new(self._engine.tables.sessions, now)
        self._advice_queue = advice_queue.AdviceQueue(self.links)
        self.registry.reset()
        self._requests = request.Requests(
            self._engine,
            self.links,
            self._leases,
            self._metrics,
            self._statuses,
        )
        self._message_handler = message_handler.MessageHandler(
            self._engine,
            message_handler.LeaderComponents(
                self._leases,
                self._silence_detector,
                self._delivery,
                self._assignments,
                self._advice_queue,
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
                    effect.AskAdvice: self._advice_queue.add,
                    effect.Trace: self._trace,
                }
            )
        )

    def _run_round(self, now: int) -> None:
        tables = self._engine.tables
        self._leases.add_new(tables.sessions, now)
        expired = self._leases.expire(list(tables.sessions), now)
        for session in expired:
            self._engine.propose(
                event.SessionExpired(self._engine.time(), session),
                proposal.ignore_outcome,
            )
        self._silence_detector.check(now)
        self._assignments.rebalance(now)
        self._advice_queue.send_waiting()
        self._delivery.resend_overdue(now)
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
        planned = repair.plan_membership_change(
            self._engine.node,
            voter_count=self._policy.voters,
            timeout_ms=self._policy.repair_after_ms,
        )
        if planned is not None:
            listed = ', '.join(planned.voters())
            self._journal.record('membership proposed', f'voters {listed}')
            self._engine.enqueue(node.MembershipProposed(planned))

    def _gauge(self) -> None:
        tables = self._engine.tables
        self._metrics.gauge('attempts', len(tables.attempts))
        self._metrics.gauge('sessions', len(tables.sessions))
        self._metrics.gauge('waiting', sum(tables.waiting.counts.values()))
        self._metrics.gauge('backlog', self._engine.backlog())
        self._metrics.gauge(
            'targets_of_busiest_entry',
            max(self._assignments.count_by_entry().values(), default=0),
        )
        self._absence_monitor.report()
        for step, detail in view.explain_queue_heads(tables):
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
            self._message_handler.receive(origin, received)

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
        self._leases.remove(effected.session)

    def _report_job_end(self, effected: effect.ReportJobEnd) -> None:
        self._requests.answer_job_waiters(effected.job)

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
