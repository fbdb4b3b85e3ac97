"""Runs workloads over the reducer alone, for sizes beyond one machine.

Time is the workload's: an event queue in place of clocks and processes. The
targets of this module are records, not processes; they obey.
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
BATCH_WINDOW_MS = 5
TARGET_RESPONSE_MS = 2
USAGE_REPORT_DELAY_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """How many targets there are and what each holds.

    The first black_holes of them fail everything they start.
    """

    targets: int
    capacity: resource.Resources
    rack_size: int
    data_centres: int
    black_holes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job and when it is submitted; run_ms is how long its tasks take.

    used_bytes is what each of its tasks uses, zero for what it declares.
    cancel_at is when its caller cancels it, zero for never.
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
    """Feeds arrivals and obedient targets to one state."""

    def __init__(self, plan: FleetPlan) -> None:
        """Open the sessions of all targets."""
        self.tables = state.State()
        self.metrics = RunMetrics()
        self._now = 1
        self._timers: list[tuple[int, int, event.Event]] = []
        self._numbers = itertools.count()
        self._labels: dict[identity.JobId, Arrival] = {}
        self._black_holes = {f't{number}' for number in range(plan.black_holes)}
        for number in range(plan.targets):
            self._apply(
                event.SessionOpened(self._now, make_announcement(plan, number))
            )

    def run(self, arrivals: Iterable[Arrival], until: int) -> RunMetrics:
        """Replay arrivals in order of time; stop at a time in ms."""
        for at, batch in itertools.groupby(arrivals, key=_batch_of):
            self._run_timers(at)
            self._now = max(self._now, at)
            for arrival in batch:
                self._submit(arrival)
            self._dispatch()
        self._run_timers(until)
        return self.metrics

    def _run_timers(self, until: int) -> None:
        while self._timers and self._timers[0][0] <= until:
            self._now = max(self._now, self._timers[0][0])
            last = self._now + BATCH_WINDOW_MS
            while self._timers and self._timers[0][0] <= min(last, until):
                self._apply(heapq.heappop(self._timers)[2])
            self._dispatch()

    def _submit(self, arrival: Arrival) -> None:
        count = len(arrival.specification.tasks)
        self.metrics.submitted[arrival.label] += count
        submitted = event.JobSubmitted(self._now, arrival.specification, '')
        answer = self._apply(submitted)[0]
        told = answer.outcome if isinstance(answer, effect.Answer) else None
        if isinstance(told, outcome.Accepted):
            self._labels[told.job] = arrival
            if arrival.cancel_at:
                cancelled = event.JobCancelled(arrival.cancel_at, told.job)
                self._later(arrival.cancel_at - self._now, cancelled)
        else:
            self.metrics.refused[arrival.label] += count

    def _dispatch(self) -> None:
        self._apply(event.TimePassed(self._now))
        if self.tables.waiting.queues:
            used = self.tables.fleet.total.millicores - sum(
                load.free.millicores
                for load in self.tables.fleet.loads.values()
            )
            whole = self.tables.fleet.total.millicores or 1
            self.metrics.utilization_ppm.append(
                used * resource.PARTS_PER_MILLION // whole
            )

    def _start(self, attempt: job.Attempt) -> None:
        task = self.tables.tasks[attempt.task]
        arrival = self._labels[task.job]
        if task.attempts == 1:
            waited = self._now - arrival.submit_at
            self.metrics.waits[arrival.label].append(waited)
        else:
            self.metrics.retried[arrival.label] += 1
        self.metrics.starts += 1
        if attempt.target in self._black_holes:
            self._end_later(attempt, TARGET_RESPONSE_MS, job.EndReason.FAILED)
            return
        started = event.AttemptStart(attempt.attempt, self._now)
        self._report_later(attempt, TARGET_RESPONSE_MS, started=(started,))
        if arrival.used_bytes and arrival.run_ms > USAGE_REPORT_DELAY_MS:
            used = event.AttemptUsage(
                attempt.attempt, attempt.held.millicores, arrival.used_bytes
            )
            self._report_later(attempt, USAGE_REPORT_DELAY_MS, usage=(used,))
        self._end_later(attempt, arrival.run_ms, job.EndReason.COMPLETED)

    def _end_later(
        self, attempt: job.Attempt, delay_ms: int, reason: job.EndReason
    ) -> None:
        at = self._now + delay_ms
        ended = event.AttemptEnd(attempt.attempt, reason, at)
        self._report_later(attempt, delay_ms, ended=(ended,))

    def _report_later(
        self,
        attempt: job.Attempt,
        delay_ms: int,
        *,
        started: tuple[event.AttemptStart, ...] = (),
        ended: tuple[event.AttemptEnd, ...] = (),
        usage: tuple[event.AttemptUsage, ...] = (),
    ) -> None:
        at = self._now + delay_ms
        self._later(
            delay_ms,
            event.ReportReceived(at, attempt.session, started, ended, usage),
        )

    def _later(self, delay_ms: int, occurred: event.Event) -> None:
        entry = (self._now + delay_ms, next(self._numbers), occurred)
        heapq.heappush(self._timers, entry)

    def _apply(self, occurred: event.Event) -> list[effect.Effect]:
        began_at = time.perf_counter_ns()
        _, effects = reducer.reduce(self.tables, occurred)
        self.metrics.reducer_ns.append(time.perf_counter_ns() - began_at)
        for effected in effects:
            if isinstance(effected, effect.ReportJobEnd):
                self._count_end(effected.job)
            elif isinstance(effected, effect.StartAttempt):
                self._start(effected.attempt)
            elif isinstance(effected, effect.StopAttempt):
                self._end_later(
                    effected.attempt, TARGET_RESPONSE_MS, job.EndReason.STOPPED
                )
        return effects

    def _count_end(self, name: identity.JobId) -> None:
        record = self.tables.jobs[name]
        arrival = self._labels.get(name)
        if arrival is None:
            return
        count = len(record.specification.tasks)
        if record.state is job.JobState.COMPLETED:
            self.metrics.completed[arrival.label] += count
        elif record.state is job.JobState.CANCELLED:
            self.metrics.cancelled[arrival.label] += count


def _batch_of(arrival: Arrival) -> int:
    return arrival.submit_at // BATCH_WINDOW_MS * BATCH_WINDOW_MS


def make_announcement(plan: FleetPlan, number: int) -> event.Announcement:
    """Return the announcement of one target of a fleet."""
    rack = number // plan.rack_size
    centre = rack % plan.data_centres
    return event.Announcement(
        target=identity.TargetId(f't{number}'),
        data_centre=identity.DataCentre(f'dc{centre}'),
        rack=identity.Rack(f'rack{rack}'),
        capacity=plan.capacity,
        nonce=f'n{number}',
    )
