"""Queues of waiting tasks, one for each urgency and team.

Derived from the task records: the order within a queue is the order of
submission, so that a retried task keeps its place.
"""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterator
from typing import NamedTuple

from sortedcontainers import SortedList

from . import identity, job, resource


class QueueKey(NamedTuple):
    """Identifies a queue: the place of its urgency, and its team."""

    rank: int
    team: str


class Position(NamedTuple):
    """Where a task, or a step for all of its tasks, stands in its queue."""

    order: int
    sequence: int
    number: int
    task: str


@dataclasses.dataclass(slots=True)
class WaitingTasks:
    """All waiting tasks.

    delayed holds the tasks that wait for a retry time, aside those that fit
    on no target that is known, however empty. steps holds the numbers of the
    waiting tasks of each step that stands in a queue.
    """

    queues: dict[QueueKey, SortedList] = dataclasses.field(default_factory=dict)
    delayed: SortedList = dataclasses.field(default_factory=SortedList)
    infeasible: dict[identity.TaskId, resource.Resources] = dataclasses.field(
        default_factory=dict
    )
    counts: dict[QueueKey, int] = dataclasses.field(default_factory=dict)
    steps: dict[identity.StepId, SortedList] = dataclasses.field(
        default_factory=dict
    )
    # Steps of which nothing more can be placed in the present pass.
    exhausted_steps: set[str] = dataclasses.field(default_factory=set)

    def add(self, key: QueueKey, position: Position) -> None:
        """Let a task wait in its queue."""
        queue = self.queues.get(key)
        if queue is None:
            # Not setdefault: it would build a list for each task.
            queue = SortedList()
            self.queues[key] = queue
        queue.add(position)

    def discard(self, key: QueueKey, position: Position) -> None:
        """Take a task out of its queue if it is there."""
        queue = self.queues.get(key)
        if queue is None:
            return
        queue.discard(position)
        if not queue:
            self.queues.pop(key)

    def add_step_task(
        self, key: QueueKey, position: Position, number: int
    ) -> None:
        """Let a task of a step wait; the step stands in the queue for it."""
        step = identity.StepId(position.task)
        numbers = self.steps.get(step)
        if numbers is None:
            numbers = SortedList()
            self.steps[step] = numbers
            self.add(key, position)
        numbers.add(number)

    def discard_step_task(
        self, key: QueueKey, position: Position, number: int
    ) -> None:
        """Take a task of a step out, and the step with its last one."""
        step = identity.StepId(position.task)
        numbers = self.steps.get(step)
        if numbers is None:
            return
        numbers.discard(number)
        if not numbers:
            self.steps.pop(step)
            self.discard(key, position)

    def first(self, key: QueueKey, limit: int) -> list[Position]:
        """Return the first positions of a queue."""
        queue = self.queues.get(key)
        if queue is None:
            return []
        return list(itertools.islice(queue, limit))

    def pop_due(self, now: int) -> Iterator[identity.TaskId]:
        """Yield and remove the delayed tasks whose time has come."""
        while self.delayed and self.delayed[0][0] <= now:
            _, task = self.delayed.pop(0)
            yield task

    def adjust_count(self, key: QueueKey, change: int) -> None:
        """Change how many tasks of a queue's urgency and team wait."""
        counted = self.counts.get(key, 0) + change
        if counted:
            self.counts[key] = counted
        else:
            self.counts.pop(key, None)


def queue_key(urgency: job.Urgency, team: str) -> QueueKey:
    """Return the queue of an urgency and a team."""
    return QueueKey(job.rank(urgency), team)
