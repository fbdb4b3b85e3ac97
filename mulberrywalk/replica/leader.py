"""Duties of the leader: leases, assignments, delivery, requests, repair."""

from __future__ import annotations

from collections.abc import Callable
from types import MappingProxyType
from typing import Any

import anyio

from ..consensus import node
from ..core import (
    advice_prefetch,
    confirmation,
    effect,
    ended_job,
    event,
    identity,
    locality_wait,
    speculation,
    target,
)
from ..telemetry import clock, journal, metric
from ..transport import region, wire
from . import (
    absence_monitor,
    advice_queue,
    assignment,
    configuration_transfer,
    delivery,
    engine,
    identification,
    lease,
    link,
    membership,
    message_handler,
    proposal,
    registry,
    request,
    silence,
    status,
    view,
)

_ROUND_INTERVAL_S = 0.1
_DISPATCH_INTERVAL_MS = 250
_REPAIR_INTERVAL_MS = 200
_GAUGE_INTERVAL_MS = 1000


class Leader:
    """Serves the entries, tracks leases, carries out effects and repairs."""

    def __init__(
        self,
        replica_engine: engine.Engine,
        logger: journal.Journal,
        metrics: metric.SeriesMetrics,
        policy: membership.Policy,
        statuses: status.Statuses,
        regions: region.Regions = region.ONE_REGION,
        remote_permille: int = locality_wait.NO_SLOWDOWN,
    ) -> None:
        """Prepare; nothing runs before this replica leads.

        remote_permille comes into force with each term of this leader.
        """
        self._remote_permille = remote_permille
        self.links = link.Links(
            replica_engine,
            logger,
            statuses.meter,
            self._receive,
            self._send_initial_state,
        )
        self._identification = identification.Identification(
            replica_engine, self.links, logger
        )
        self.registry = registry.Registry(replica_engine, self._identification)
        self._configurations = configuration_transfer.ConfigurationTransfers(
            replica_engine
        )
        self._statuses = statuses
        self._regions = regions
        self._engine = replica_engine
        self._journal = logger
        self._metrics = metrics
        self._absence_monitor = absence_monitor.AbsenceMonitor(
            replica_engine, logger, metrics
        )
        self.membership = membership.Manager(
            replica_engine, logger, metrics, policy
        )
        self._term = 0
        self._dispatched_at = 0
        self._repaired_at = 0
        self._gauged_at = 0
        self._reset()

    async def run(self) -> None:
        """Run the periodic work forever, in rounds while this replica leads."""
        while True:
            await anyio.sleep(_ROUND_INTERVAL_S)
            if self._engine.is_serving():
                self._run_round(clock.monotonic_ms())

    def update_role(self) -> None:
        """Reset the leader's components when this replica leads a new term.

        This waits until all entries of earlier terms are applied, because the
        outstanding work is derived from the state.
        """
        raft_node = self._engine.node
        is_leading = (
            raft_node.role is node.Role.LEADER and self._engine.has_caught_up()
        )
        if is_leading and raft_node.term != self._term:
            self._term = raft_node.term
            # The first event of the term: silences that are recorded after it
            # are timed by this leader's clock.
            self._engine.propose(
                event.LeadershipBegun(
                    self._engine.time(), self._remote_permille
                ),
                proposal.ignore_outcome,
            )
            self._reset()
        if raft_node.role is not node.Role.LEADER:
            self._absence_monitor.clear()
            self._requests.team_gauges.clear()
        self.links.broadcast(self._members_changed())

    def carry_out(self, effects: list[effect.Effect]) -> None:
        """Carry out the effects of one applied event."""
        for applied_effect in effects:
            execute = self._effects.get(type(applied_effect))
            if execute is not None:
                execute(applied_effect)

    def _reset(self) -> None:
        now = clock.monotonic_ms()
        self._leases = lease.Leases(now, self._lease_length_of)
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
            self._regions,
        )
        self._silence_detector = silence.SilenceDetector(
            self._engine, self._leases
        )
        self._silence_detector.restore(now)
        self._leases.add_new(self._engine.tables.sessions, now)
        self._advice_queue = advice_queue.AdviceQueue(self.links)
        self.registry.reset()
        self._identification.reset()
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
                self._identification,
                self._configurations,
                self._journal,
                self._metrics,
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
                    effect.PublishConfiguration: self._publish_configuration,
                    effect.AskAdvice: self._advice_queue.add,
                    effect.CopyNoted: self._count_copy,
                    effect.Trace: self._record_trace,
                    effect.Sample: self._record_sample,
                }
            )
        )

    def _run_round(self, now: int) -> None:
        tables = self._engine.tables
        self._leases.add_new(tables.sessions, now)
        for session in self._leases.expire(list(tables.sessions), now):
            self._engine.propose(
                event.SessionExpired(self._engine.time(), session),
                proposal.ignore_outcome,
            )
        for session in self.registry.take_ending(now):
            self.registry.stop_attempts(session)
        self._identification.advance(now)
        self._silence_detector.check(now)
        self._assignments.rebalance(now)
        self.links.grant_relief()
        self._advice_queue.send_waiting()
        self._delivery.resend_overdue(now)
        self._configurations.forget(frozenset(self.links.open))
        self._requests.answer_overdue_cancels(now)
        self._dispatch_if_due(now)
        if now - self._repaired_at >= _REPAIR_INTERVAL_MS:
            self._repaired_at = now
            self.membership.adjust(now)
        if now - self._gauged_at >= _GAUGE_INTERVAL_MS:
            self._gauged_at = now
            self._update_gauges()
            self.membership.place_leader(self._regions, self._statuses, now)

    def _dispatch_if_due(self, now: int) -> None:
        waiting = self._engine.tables.waiting
        is_due = (
            bool(waiting.queues)
            or self._is_timer_due()
            or confirmation.has_overdue_start(
                self._engine.tables, self._engine.time()
            )
            or advice_prefetch.is_due(self._engine.tables)
        )
        is_due = is_due or speculation.is_due(
            self._engine.tables, self._engine.time()
        )
        if is_due and now - self._dispatched_at >= _DISPATCH_INTERVAL_MS:
            self._dispatched_at = now
            self._engine.request_dispatch()

    def _is_timer_due(self) -> bool:
        tables = self._engine.tables
        event_time = self._engine.time()
        delayed = tables.waiting.delayed
        return bool(
            (delayed and delayed[0][0] <= event_time)
            or (tables.quarantined and tables.quarantined[0][0] <= event_time)
            or ended_job.is_due(tables, event_time)
            or (tables.due and tables.due[0][0] <= event_time)
        )

    def _update_gauges(self) -> None:
        tables = self._engine.tables
        self._metrics.gauge('attempts', len(tables.attempts))
        self._metrics.gauge('sessions', len(tables.sessions))
        self._metrics.gauge('waiting', sum(tables.waiting.counts.values()))
        self._metrics.gauge('backlog', self._engine.backlog())
        self._metrics.gauge(
            'early_cancellations', len(tables.early_cancellations)
        )
        self._metrics.gauge(
            'stopping_longest_ms',
            self._delivery.longest_stop_ms(self._engine.time()),
        )
        self._metrics.gauge(
            'targets_of_busiest_entry',
            max(self._assignments.count_by_entry().values(), default=0),
        )
        self._absence_monitor.report()
        self._requests.team_gauges.update(tables)
        self.membership.report_learners()
        for step, detail in view.explain_queue_heads(tables):
            job = step.split('.', maxsplit=1)[0]
            self._journal.record('first in queue', f'{step} {detail}', job=job)

    def _send_initial_state(self, new_link: link.Link) -> None:
        new_link.send(self._members_changed())
        self._configurations.send(new_link, clock.monotonic_ms())
        self._journal.record('entry linked', new_link.process)

    def _members_changed(self) -> wire.MembersChanged:
        members = self._engine.node.membership.members
        return wire.MembersChanged(tuple(member.address for member in members))

    def _receive(self, origin: link.Link, received: wire.FromEntry) -> bool:
        """Handle a message; return False while this replica may not lead."""
        if not self._engine.is_serving():
            return False
        self._message_handler.receive(origin, received)
        return True

    def _lease_length_of(self, session: identity.SessionId) -> int:
        record = self._engine.tables.sessions.get(session)
        return record.lease_ms if record else target.LEASE_MS

    def _start(self, applied_effect: effect.StartAttempt) -> None:
        self._metrics.incr('starts')
        attempt = applied_effect.attempt
        task = self._engine.tables.tasks[attempt.task]
        if task.copy != attempt.attempt:
            waited_ms = attempt.placed_at - task.waiting_since
            self._metrics.timing('wait', waited_ms)
        self._delivery.start(attempt, clock.monotonic_ms())

    def _stop(self, applied_effect: effect.StopAttempt) -> None:
        self._delivery.stop(applied_effect.attempt, clock.monotonic_ms())

    def _throttle(self, applied_effect: effect.ThrottleAttempt) -> None:
        self._delivery.throttle(applied_effect.attempt)

    def _end_session(self, applied_effect: effect.EndSession) -> None:
        entry = self._leases.entry_of(applied_effect.session)
        self.links.send(entry, wire.EndedSessions((applied_effect.session,)))
        self._leases.remove(applied_effect.session)

    def _report_job_end(self, applied_effect: effect.ReportJobEnd) -> None:
        self._requests.answer_job_waiters(applied_effect.job)

    def _publish_configuration(
        self, applied_effect: effect.PublishConfiguration
    ) -> None:
        now = clock.monotonic_ms()
        for entry in self.links.open.values():
            self._configurations.send(entry, now)

    def _count_copy(self, applied_effect: effect.CopyNoted) -> None:
        stage = applied_effect.stage.value
        self._metrics.incr(f'copies_{stage}')
        if applied_effect.core_ms:
            self._metrics.incr('copies_wasted_core_ms', applied_effect.core_ms)

    def _record_trace(self, applied_effect: effect.Trace) -> None:
        self._journal.record(
            applied_effect.what,
            applied_effect.detail,
            job=applied_effect.job,
            task=applied_effect.task,
            attempt=applied_effect.attempt,
            target=applied_effect.target,
        )

    def _record_sample(self, applied_effect: effect.Sample) -> None:
        self._metrics.timing(applied_effect.stat, applied_effect.duration_ms)
