"""First come, first fit: what the scheduler is compared with."""

from __future__ import annotations

import collections
import heapq
import itertools
from collections.abc import Iterable

from ..core import resource
from . import replay

MAX_QUEUED_TASKS = 10_000


class FirstFit:
    """One queue in order of arrival; its head waits until it fits."""

    def __init__(self, plan: replay.FleetPlan) -> None:
        """Start with empty targets."""
        self.metrics = replay.RunMetrics()
        self._free = [plan.capacity for _ in range(plan.targets)]
        self._total = plan.capacity.millicores * plan.targets
        self._queue: collections.deque[tuple[replay.Arrival, int]] = (
            collections.deque()
        )
        self._ends: list[tuple[int, int, int, replay.Arrival]] = []
        self._numbers = itertools.count()

    def run(
        self, arrivals: Iterable[replay.Arrival], until: int
    ) -> replay.RunMetrics:
        """Replay arrivals in order of time; stop at a time in ms."""
        for arrival in arrivals:
            self._run_ends(arrival.submit_at)
            self._submit(arrival)
            self._place(arrival.submit_at)
        self._run_ends(until)
        return self.metrics

    def _submit(self, arrival: replay.Arrival) -> None:
        count = len(arrival.specification.tasks)
        self.metrics.submitted[arrival.label] += count
        if len(self._queue) + count > MAX_QUEUED_TASKS:
            self.metrics.refused[arrival.label] += count
            return
        self._queue.extend((arrival, number) for number in range(count))

    def _run_ends(self, until: int) -> None:
        while self._ends and self._ends[0][0] <= until:
            at, _, place, arrival = heapq.heappop(self._ends)
            self._free[place] = resource.add(
                self._free[place], arrival.specification.tasks[0].demand()
            )
            self.metrics.completed[arrival.label] += 1
            self._place(at)

    def _place(self, now: int) -> None:
        while self._queue:
            arrival, _ = self._queue[0]
            demand = arrival.specification.tasks[0].demand()
            place = self._find(demand)
            if place is None:
                break
            self._queue.popleft()
            self._free[place] = resource.subtract(self._free[place], demand)
            self.metrics.waits[arrival.label].append(now - arrival.submit_at)
            end = (now + arrival.run_ms, next(self._numbers), place, arrival)
            heapq.heappush(self._ends, end)
        if self._queue:
            free = sum(one.millicores for one in self._free)
            used = resource.PARTS_PER_MILLION * (self._total - free)
            self.metrics.utilization_ppm.append(used // self._total)

    def _find(self, demand: resource.Resources) -> int | None:
        return next(
            (
                place
                for place, free in enumerate(self._free)
                if resource.fits(demand, free)
            ),
            None,
        )
