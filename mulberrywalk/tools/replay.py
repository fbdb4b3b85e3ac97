"""Discrete-event simulation that runs workloads through the reducer.

It measures cells that are too large to run on one machine. Simulated time
comes from an event queue, without clocks or processes. The targets are
simulated too and respond to every command.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import time
from collections.abc import Iterable

from ..core import (
    effect,
    event,
    identity,
    job,
    outcome,
    reducer,
    resource,
    state,
)

NS_PER_MS = 1_000_000
# All events within this window precede one placement pass.
BATCH_WINDOW_MS = 5
# Delay until a target reports that an attempt started, failed or stopped.
TARGET_RESPONSE_MS = 2
USAGE_REPORT_DELAY_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """Number of targets, capacity of each, and their topology.

    rack_size is the number of targets in a rack; racks are assigned to data
    centres in turn. The first black_holes targets fail every attempt that
    they start.
    """

    targets: int
    capacity: resource.Resources
    rack_size: int
    data_centres: int
    black_holes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job with its submission time and the run time of its tasks.

    Times are in milliseconds of simulated time. used_bytes is the memory
    that each task uses, zero if it uses what it declares. cancel_at is when
    the caller cancels the job, zero for never.
    """

    submit_at: int
    label: str
    specification: job.Specification
    run_ms: int
    used_bytes: int = 0
    cancel_at: int = 0


@dataclasses.dataclass(slots=True)
class RunMetrics:
    """Measurements of a run; waits in milliseconds by label.

    retried counts attempts beyond the first of a task. utilization_ppm has
    one sample, the used share of the processors in parts per million, for
    each placement pass that left tasks waiting. reducer_ns has the duration
    of each reducer call.
    """

    waits: dict[str, list[int]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    submitted: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    completed: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    cancelled: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    retried: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    utilization_ppm: list[int] = dataclasses.field(default_factory=list)
    starts: int = 0
    reducer_ns: list[int] = dataclasses.field(default_factory=list)


class Replay:
    """Simulates a cell: one scheduler state and its targets."""

    def __init__(self, plan: FleetPlan) -> None:
        """Open a session for each target."""
        self.tables = state.State()
        self.metrics = RunMetrics()
        self._now = 1
        self._event_queue: list[tuple[int, int, event.Event]] = []
        self._sequence = itertools.count()
        self._arrivals_by_job: dict[identity.JobId, Arrival] = {}
        self._black_holes = {f't{number}' for number in range(plan.black_holes)}
        for number in range(plan.targets):
            self._apply(
                event.SessionOpened(self._now, make_announcement(plan, number))
            )

    def run(self, arrivals: Iterable[Arrival], until: int) -> RunMetrics:
        """Simulate arrivals, sorted by time, until a time in milliseconds."""
        for batch_start, batch in itertools.groupby(arrivals, key=_batch_start):
            self._run_events(batch_start)
            self._now = max(self._now, batch_start)
            for arrival in batch:
                self._submit(arrival)
            self._dispatch()
        self._run_events(until)
        return self.metrics

    def _run_events(self, until: int) -> None:
        while self._event_queue and self._event_queue[0][0] <= until:
            self._now = max(self._now, self._event_queue[0][0])
            batch_end = self._now + BATCH_WINDOW_MS
            while self._event_queue and self._event_queue[0][0] <= min(
                batch_end, until
            ):
                self._apply(heapq.heappop(self._event_queue)[2])
            self._dispatch()

    def _submit(self, arrival: Arrival) -> None:
        count = len(arrival.specification.tasks)
        self.metrics.submitted[arrival.label] += count
        submitted = event.JobSubmitted(self._now, arrival.specification, '')
        answer = self._apply(submitted)[0]
        submission = (
            answer.outcome if isinstance(answer, effect.Answer) else None
        )
        if isinstance(submission, outcome.Accepted):
            self._arrivals_by_job[submission.job] = arrival
            if arrival.cancel_at:
                cancelled = event.JobCancelled(
                    arrival.cancel_at, submission.job
                )
                self._schedule(arrival.cancel_at - self._now, cancelled)
        else:
            self.metrics.refused[arrival.label] += count

    def _dispatch(self) -> None:
        self._apply(event.TimePassed(self._now))
        if self.tables.waiting.queues:
            used_millicores = self.tables.fleet.total.millicores - sum(
                load.free.millicores
                for load in self.tables.fleet.loads.values()
            )
            total_millicores = self.tables.fleet.total.millicores or 1
            self.metrics.utilization_ppm.append(
                used_millicores * resource.PARTS_PER_MILLION // total_millicores
            )

    def _handle_start(self, attempt: job.Attempt) -> None:
        task = self.tables.tasks[attempt.task]
        arrival = self._arrivals_by_job[task.job]
        if task.attempts == 1:
            waited = self._now - arrival.submit_at
            self.metrics.waits[arrival.label].append(waited)
        else:
            self.metrics.retried[arrival.label] += 1
        self.metrics.starts += 1
        if attempt.target in self._black_holes:
            self._schedule_end(
                attempt, TARGET_RESPONSE_MS, job.EndReason.FAILED
            )
            return
        started = event.AttemptStart(attempt.attempt, self._now)
        self._schedule_report(attempt, TARGET_RESPONSE_MS, started=(started,))
        if arrival.used_bytes and arrival.run_ms > USAGE_REPORT_DELAY_MS:
            used = event.AttemptUsage(
                attempt.attempt, attempt.held.millicores, arrival.used_bytes
            )
            self._schedule_report(attempt, USAGE_REPORT_DELAY_MS, usage=(used,))
        self._schedule_end(attempt, arrival.run_ms, job.EndReason.COMPLETED)

    def _schedule_end(
        self, attempt: job.Attempt, delay_ms: int, reason: job.EndReason
    ) -> None:
        due_at = self._now + delay_ms
        ended = event.AttemptEnd(attempt.attempt, reason, due_at)
        self._schedule_report(attempt, delay_ms, ended=(ended,))

    def _schedule_report(
        self,
        attempt: job.Attempt,
        delay_ms: int,
        *,
        started: tuple[event.AttemptStart, ...] = (),
        ended: tuple[event.AttemptEnd, ...] = (),
        usage: tuple[event.AttemptUsage, ...] = (),
    ) -> None:
        due_at = self._now + delay_ms
        self._schedule(
            delay_ms,
            event.ReportReceived(
                due_at, attempt.session, started, ended, usage
            ),
        )

    def _schedule(self, delay_ms: int, new_event: event.Event) -> None:
        entry = (self._now + delay_ms, next(self._sequence), new_event)
        heapq.heappush(self._event_queue, entry)

    def _apply(self, new_event: event.Event) -> list[effect.Effect]:
        began_at = time.perf_counter_ns()
        _, effects = reducer.reduce(self.tables, new_event)
        self.metrics.reducer_ns.append(time.perf_counter_ns() - began_at)
        for emitted in effects:
            if isinstance(emitted, effect.ReportJobEnd):
                self._count_end(emitted.job)
            elif isinstance(emitted, effect.StartAttempt):
                self._handle_start(emitted.attempt)
            elif isinstance(emitted, effect.StopAttempt):
                self._schedule_end(
                    emitted.attempt, TARGET_RESPONSE_MS, job.EndReason.STOPPED
                )
        return effects

    def _count_end(self, job_id: identity.JobId) -> None:
        record = self.tables.jobs[job_id]
        arrival = self._arrivals_by_job.get(job_id)
        if arrival is None:
            return
        count = len(record.specification.tasks)
        if record.state is job.JobState.COMPLETED:
            self.metrics.completed[arrival.label] += count
        elif record.state is job.JobState.CANCELLED:
            self.metrics.cancelled[arrival.label] += count


def _batch_start(arrival: Arrival) -> int:
    return arrival.submit_at // BATCH_WINDOW_MS * BATCH_WINDOW_MS


def make_announcement(plan: FleetPlan, number: int) -> event.Announcement:
    """Return the announcement of one target of a fleet."""
    rack = number // plan.rack_size
    data_centre_number = rack % plan.data_centres
    return event.Announcement(
        target=identity.TargetId(f't{number}'),
        data_centre=identity.DataCentre(f'dc{data_centre_number}'),
        rack=identity.Rack(f'rack{rack}'),
        capacity=plan.capacity,
        nonce=f'n{number}',
    )
