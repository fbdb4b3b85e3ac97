"""First-come, first-served scheduler with first-fit placement.

It is the baseline that the scheduler is compared with.
"""

from __future__ import annotations

import collections
import heapq
import itertools
from collections.abc import Iterable

from ..core import resource
from . import replay

MAX_QUEUED_TASKS = 10_000


class FirstFit:
    """Places tasks from one FIFO queue; the first task blocks the others."""

    def __init__(self, plan: replay.FleetPlan) -> None:
        """Start with an empty queue and idle targets."""
        self.metrics = replay.RunMetrics()
        self._free_by_target = [plan.capacity for _ in range(plan.targets)]
        self._total_millicores = plan.capacity.millicores * plan.targets
        self._queue: collections.deque[tuple[replay.Arrival, int]] = (
            collections.deque()
        )
        self._pending_ends: list[tuple[int, int, int, replay.Arrival]] = []
        self._sequence = itertools.count()

    def run(
        self, arrivals: Iterable[replay.Arrival], until: int
    ) -> replay.RunMetrics:
        """Simulate arrivals, sorted by time, until a time in milliseconds."""
        for arrival in arrivals:
            self._process_ends(arrival.submit_at)
            self._enqueue(arrival)
            self._place_waiting(arrival.submit_at)
        self._process_ends(until)
        return self.metrics

    def _enqueue(self, arrival: replay.Arrival) -> None:
        count = len(arrival.specification.tasks)
        self.metrics.submitted[arrival.label] += count
        if len(self._queue) + count > MAX_QUEUED_TASKS:
            self.metrics.refused[arrival.label] += count
            return
        self._queue.extend((arrival, number) for number in range(count))

    def _process_ends(self, until: int) -> None:
        while self._pending_ends and self._pending_ends[0][0] <= until:
            ended_at, _, target_index, arrival = heapq.heappop(
                self._pending_ends
            )
            self._free_by_target[target_index] = resource.add(
                self._free_by_target[target_index],
                arrival.specification.tasks[0].demand(),
            )
            self.metrics.completed[arrival.label] += 1
            self._place_waiting(ended_at)

    def _place_waiting(self, now: int) -> None:
        while self._queue:
            arrival, _ = self._queue[0]
            demand = arrival.specification.tasks[0].demand()
            target_index = self._find_target(demand)
            if target_index is None:
                break
            self._queue.popleft()
            self._free_by_target[target_index] = resource.subtract(
                self._free_by_target[target_index], demand
            )
            self.metrics.waits[arrival.label].append(now - arrival.submit_at)
            end = (
                now + arrival.run_ms,
                next(self._sequence),
                target_index,
                arrival,
            )
            heapq.heappush(self._pending_ends, end)
        if self._queue:
            free_millicores = sum(
                resources.millicores for resources in self._free_by_target
            )
            used = resource.PARTS_PER_MILLION * (
                self._total_millicores - free_millicores
            )
            self.metrics.utilization_ppm.append(used // self._total_millicores)

    def _find_target(self, demand: resource.Resources) -> int | None:
        return next(
            (
                target_index
                for target_index, free in enumerate(self._free_by_target)
                if resource.fits(demand, free)
            ),
            None,
        )
