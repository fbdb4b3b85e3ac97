"""Answers of the leader to requests from entries."""

from __future__ import annotations

from collections.abc import Callable
from types import MappingProxyType
from typing import Any

import msgspec

from ..core import event, identity, outcome, ownership
from ..telemetry import clock, metric
from ..transport import codec, team_request, wire
from . import (
    cancellation,
    engine,
    lease,
    link,
    status,
    team_gauges,
    team_refusals,
    team_view,
    view,
)

_MAX_BACKLOG = 4000
_RETRY_AFTER_MS = 1000

Waiter = tuple[link.Link, int]


class Requests:
    """Answers reads from the state and proposes writes as events."""

    def __init__(
        self,
        replica_engine: engine.Engine,
        links: link.Links,
        leases: lease.Leases,
        metrics: metric.SeriesMetrics,
        statuses: status.Statuses,
    ) -> None:
        """Start with no waiting callers."""
        self._statuses = statuses
        self._engine = replica_engine
        self._links = links
        self._leases = leases
        self._metrics = metrics
        self._waiters: dict[identity.JobId, list[Waiter]] = {}
        self._cancels = cancellation.WaitingCancels()
        self._refusals = team_refusals.TeamRefusals(replica_engine.time())
        self.team_gauges = team_gauges.TeamGauges(metrics, self._refusals)

    def serve(self, origin: link.Link, call: wire.Call) -> None:
        """Answer a call, at once or when its event is committed."""
        answer = _ANSWERS[type(call.request)]
        answer(self, origin, call.ticket, call.request)

    def answer_job_waiters(self, job: identity.JobId) -> None:
        """Answer the calls that wait for the end of a job."""
        for origin, ticket in self._waiters.pop(job, []):
            self.answer_job(origin, ticket, wire.GetJob(job))
        for cancel in self._cancels.take_ended(job):
            self._reply_cancelled(cancel.origin, cancel.ticket, job)

    def answer_overdue_cancels(self, now: int) -> None:
        """Answer the cancels that wait no longer for the end of their job."""
        for cancel in self._cancels.take_overdue(now):
            self._reply_cancelled(cancel.origin, cancel.ticket, cancel.job)

    def submit(
        self, origin: link.Link, ticket: int, request: wire.Submit
    ) -> None:
        """Propose a job, or refuse it when too many events are waiting."""
        if self._engine.backlog() > _MAX_BACKLOG:
            self._metrics.incr('refused_overload')
            refusal = outcome.Unavailable(
                outcome.RefusalReason.OVERLOADED,
                'the leader has too many events to decide',
                _RETRY_AFTER_MS,
            )
            self._count_refusal(request.specification.team, refusal)
            _reply_outcome(origin, ticket, refusal)
            return
        self._metrics.incr('submitted')
        new_event = event.JobSubmitted(
            self._engine.time(),
            request.specification,
            request.digest,
            request.request,
        )
        self._engine.propose(
            new_event,
            lambda event_outcome: self._answer_submit(
                origin, ticket, request.specification.team, event_outcome
            ),
        )

    def cancel(
        self, origin: link.Link, ticket: int, request: wire.Cancel
    ) -> None:
        """Propose the cancellation of a job.

        It is answered once nothing of the job runs any more, within a limit.
        """
        new_event = event.JobCancelled(
            self._engine.time(), request.job, request.team
        )
        self._engine.propose(
            new_event,
            lambda event_outcome: self._answer_cancel(
                origin, ticket, event_outcome
            ),
        )

    def patch(
        self,
        origin: link.Link,
        ticket: int,
        request: wire.PatchConfiguration,
    ) -> None:
        """Propose a patch of the configuration."""
        self._propose(
            origin,
            ticket,
            event.ConfigurationPatched(
                self._engine.time(),
                request.request_id,
                request.version,
                request.changes,
            ),
        )

    def open_session(
        self, origin: link.Link, ticket: int, request: wire.OpenSession
    ) -> None:
        """Propose the session of a target that connected to an entry."""
        new_event = event.SessionOpened(
            self._engine.time(), request.announcement
        )
        self._engine.propose(
            new_event,
            lambda event_outcome: self._grant(origin, ticket, event_outcome),
        )

    def answer_job(
        self, origin: link.Link, ticket: int, request: wire.GetJob
    ) -> None:
        """Answer with a job, after its end if the request waits for it."""
        record = self._engine.tables.jobs.get(request.job)
        if record is None:
            _reply_not_found(origin, ticket, request.job)
        elif request.is_waiting and record.unfinished:
            waiters = self._waiters.setdefault(request.job, [])
            waiters.append((origin, ticket))
        else:
            shown = view.show_job(self._engine.tables, record)
            _reply(origin, ticket, {codec.TAG: 'job', **shown})

    def answer_job_state(
        self, origin: link.Link, ticket: int, request: wire.GetState
    ) -> None:
        """Answer with only the state of a job."""
        record = self._engine.tables.jobs.get(request.job)
        if record is None:
            _reply_not_found(origin, ticket, request.job)
            return
        refusal = ownership.find_refusal(
            self._engine.tables, record, request.team
        )
        if refusal is not None:
            _reply_outcome(origin, ticket, refusal)
            return
        shown = view.reported_state(record).value
        _reply(origin, ticket, {codec.TAG: 'job_state', 'state': shown})

    def count_pending(
        self, origin: link.Link, ticket: int, request: wire.CountPending
    ) -> None:
        """Answer with the number of jobs of a queue that have not started."""
        count = self._engine.tables.pending[request.queue]
        _reply(origin, ticket, {codec.TAG: 'pending', 'count': count})

    def explain(
        self, origin: link.Link, ticket: int, request: wire.Explain
    ) -> None:
        """Answer with the reason why a job waits, or where it ran."""
        record = self._engine.tables.jobs.get(request.job)
        if record is None:
            _reply_not_found(origin, ticket, request.job)
            return
        explained = view.explain_job(self._engine.tables, record)
        _reply(origin, ticket, {codec.TAG: 'explanation', **explained})

    def answer_configuration(
        self,
        origin: link.Link,
        ticket: int,
        request: wire.GetConfiguration,
    ) -> None:
        """Answer with the configuration and the version of each process."""
        current = self._engine.tables.configuration
        shown = view.show_configuration(current)
        versions = {
            entry.process: entry.version for entry in self._links.open.values()
        }
        members = self._engine.node.membership.members
        statuses = (
            (replica, self._statuses.find(replica.identity))
            for replica in members
        )
        versions.update(
            {
                member.identity: applied.version
                for member, applied in statuses
                if applied is not None
            }
        )
        _reply(
            origin,
            ticket,
            {codec.TAG: 'configuration', **shown, 'reach': versions},
        )

    def answer_members(
        self, origin: link.Link, ticket: int, request: wire.GetMembers
    ) -> None:
        """Answer with the replicas and the entries that are linked."""
        shown = view.show_members(self._engine.node, self._statuses)
        entries = [
            {
                'process': entry.process,
                'data_centre': entry.data_centre,
                'cost': msgspec.to_builtins(entry.cost),
            }
            for _, entry in sorted(self._links.open.items())
        ]
        _reply(
            origin, ticket, {codec.TAG: 'members', **shown, 'entries': entries}
        )

    def answer_targets(
        self, origin: link.Link, ticket: int, request: wire.GetTargets
    ) -> None:
        """Answer with all targets."""
        shown = view.show_targets(self._engine.tables)
        _reply(origin, ticket, {codec.TAG: 'targets', 'targets': shown})

    def answer_teams(
        self, origin: link.Link, ticket: int, request: team_request.GetTeams
    ) -> None:
        """Answer with all teams."""
        shown = team_view.show_teams(self._engine.tables, self._refusals)
        _reply(origin, ticket, {codec.TAG: 'teams', **shown})

    def drain_target(
        self, origin: link.Link, ticket: int, request: wire.DrainTarget
    ) -> None:
        """Propose the departure of a target on behalf of an operator."""
        record = self._engine.tables.targets.get(request.target)
        if record is None or record.session is None:
            refusal = outcome.NotRun(
                outcome.RefusalReason.NOT_FOUND,
                f'no target {request.target} has a session',
            )
            _reply_outcome(origin, ticket, refusal)
            return
        new_event = event.DepartureAnnounced(
            self._engine.time(), record.session
        )
        self._propose(origin, ticket, new_event)

    def _answer_submit(
        self,
        origin: link.Link,
        ticket: int,
        team: str,
        event_outcome: outcome.Outcome | None,
    ) -> None:
        if isinstance(event_outcome, outcome.NotRun | outcome.Unavailable):
            reason = event_outcome.reason.value
            self._metrics.incr(f'submit_refused_{reason}')
            self._count_refusal(team, event_outcome)
        _reply_outcome(origin, ticket, event_outcome)

    def _count_refusal(
        self, team: str, refusal: outcome.NotRun | outcome.Unavailable
    ) -> None:
        is_routed = team in self._engine.tables.teams
        self._refusals.count(team, refusal.reason, is_routed=is_routed)

    def _answer_cancel(
        self,
        origin: link.Link,
        ticket: int,
        event_outcome: outcome.Outcome | None,
    ) -> None:
        if isinstance(event_outcome, outcome.NotRun | outcome.Unavailable):
            reason = event_outcome.reason.value
            self._metrics.incr(f'cancel_refused_{reason}')
        if not isinstance(event_outcome, outcome.Cancelled):
            _reply_outcome(origin, ticket, event_outcome)
            return
        job = event_outcome.job
        record = self._engine.tables.jobs.get(job)
        if record is not None and record.unfinished:
            self._cancels.add(job, origin, ticket, clock.monotonic_ms())
        else:
            self._reply_cancelled(origin, ticket, job)

    def _reply_cancelled(
        self, origin: link.Link, ticket: int, job: identity.JobId
    ) -> None:
        record = self._engine.tables.jobs.get(job)
        if record is None:
            _reply_not_found(origin, ticket, job)
        else:
            cancelled = outcome.Cancelled(job, record.state)
            _reply_outcome(origin, ticket, cancelled)

    def _grant(
        self,
        origin: link.Link,
        ticket: int,
        event_outcome: outcome.Outcome | None,
    ) -> None:
        if isinstance(event_outcome, outcome.SessionGranted):
            now = clock.monotonic_ms()
            self._leases.renew(event_outcome.session, origin.process, now)
        _reply_outcome(origin, ticket, event_outcome)

    def _propose(
        self, origin: link.Link, ticket: int, new_event: event.Event
    ) -> None:
        self._engine.propose(
            new_event,
            lambda event_outcome: _reply_outcome(origin, ticket, event_outcome),
        )


_ANSWERS: MappingProxyType[Any, Callable[..., None]] = MappingProxyType(
    {
        wire.Submit: Requests.submit,
        wire.Cancel: Requests.cancel,
        wire.GetJob: Requests.answer_job,
        wire.Explain: Requests.explain,
        wire.PatchConfiguration: Requests.patch,
        wire.GetConfiguration: Requests.answer_configuration,
        wire.GetMembers: Requests.answer_members,
        wire.GetTargets: Requests.answer_targets,
        wire.OpenSession: Requests.open_session,
        wire.DrainTarget: Requests.drain_target,
        wire.GetState: Requests.answer_job_state,
        wire.CountPending: Requests.count_pending,
        team_request.GetTeams: Requests.answer_teams,
    }
)


def _reply(origin: link.Link, ticket: int, body: dict[str, Any]) -> None:
    origin.send(wire.Reply(ticket, body))


def _reply_outcome(
    origin: link.Link, ticket: int, event_outcome: outcome.Outcome | None
) -> None:
    # No reply is sent when the outcome is unknown: the entry repeats the call
    # at the next leader with the same request id.
    if event_outcome is not None:
        _reply(origin, ticket, codec.to_builtins(event_outcome))


def _reply_not_found(
    origin: link.Link, ticket: int, name: identity.JobId
) -> None:
    refusal = outcome.NotRun(outcome.RefusalReason.NOT_FOUND, f'no job {name}')
    _reply_outcome(origin, ticket, refusal)
