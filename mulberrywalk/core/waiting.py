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

from . import identity, job, locality_wait, resource


class QueueKey(NamedTuple):
    """Identifies a queue by the rank of its urgency and its team."""

    rank: int
    team: str


class Position(NamedTuple):
    """Position of a task in its queue, or of a step for all of its tasks."""

    order: int
    sequence: int
    number: int
    task: str


class WaitingStep(NamedTuple):
    """A step of which a number of tasks wait for near room."""

    step: identity.StepId
    tasks: int


class ExpectedEnds(NamedTuple):
    """The expected ends on a target with a number of attempts."""

    attempts: int
    releases: tuple[locality_wait.Release, ...]


@dataclasses.dataclass(slots=True)
class NearWork:
    """What a scheduling pass finds out about the room near the data of steps.

    claims holds, by rack, the steps that wait for its room and were looked at
    before, because they have precedence. taken are the racks on which work was
    placed that had not waited for them.
    """

    claims: dict[str, list[WaitingStep]] = dataclasses.field(
        default_factory=dict
    )
    taken: set[str] = dataclasses.field(default_factory=set)
    releases: dict[identity.TargetId, ExpectedEnds] = dataclasses.field(
        default_factory=dict
    )


class Misfit(NamedTuple):
    """A step that fitted on no target, and what must not have changed since.

    step is its record and waiting_tasks their number. changes is
    the number of changes of the fleet so far. until is when a ticket lapses or
    the adviser may be asked again, None for never.
    """

    step: job.Step
    waiting_tasks: int
    changes: int
    until: int | None


@dataclasses.dataclass(slots=True)
class WaitingTasks:
    """All waiting tasks.

    delayed holds the tasks that wait for a retry time, infeasible those that
    fit on no known target even when it is empty. steps holds the numbers of
    the waiting tasks of each step that is in a queue.
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
    # A lower bound of the declared amounts of the tasks in each queue.
    smallest: dict[QueueKey, resource.Resources] = dataclasses.field(
        default_factory=dict
    )
    # The last position tried behind the front of a queue (see lookahead).
    tried: dict[QueueKey, Position] = dataclasses.field(default_factory=dict)
    # Steps that were found to fit nowhere. Left out of the comparison of
    # states, because it changes no decision.
    misfits: dict[str, Misfit] = dataclasses.field(
        default_factory=dict, compare=False
    )
    # Steps whose demand no target had room for in the current pass.
    without_room: set[str] = dataclasses.field(default_factory=set)
    # Steps with no further task that can be placed in the current pass.
    exhausted_steps: set[str] = dataclasses.field(default_factory=set)
    # What the current pass has found out about near room.
    near: NearWork = dataclasses.field(default_factory=NearWork)

    def add(self, key: QueueKey, position: Position) -> None:
        """Add a task to a queue."""
        queue = self.queues.get(key)
        if queue is None:
            # Not setdefault, which would create a list on each call.
            queue = SortedList()
            self.queues[key] = queue
        queue.add(position)

    def discard(self, key: QueueKey, position: Position) -> None:
        """Remove a task from a queue if it is there."""
        queue = self.queues.get(key)
        if queue is None:
            return
        queue.discard(position)
        if not queue:
            self.queues.pop(key)
            self.smallest.pop(key, None)
            self.tried.pop(key, None)

    def note_amount(self, key: QueueKey, amount: resource.Resources) -> None:
        """Lower the bound of a queue to the amount of an added task."""
        self.smallest[key] = resource.elementwise_min(
            self.smallest.get(key, amount), amount
        )

    def add_step_task(
        self, key: QueueKey, position: Position, number: int
    ) -> None:
        """Add a task of a step; the step represents it in the queue."""
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
        """Remove a task of a step, and the step with its last task."""
        step = identity.StepId(position.task)
        numbers = self.steps.get(step)
        if numbers is None:
            return
        numbers.discard(number)
        if not numbers:
            self.steps.pop(step)
            self.misfits.pop(step, None)
            self.discard(key, position)

    def peek(self, key: QueueKey, limit: int) -> list[Position]:
        """Return the first positions of a queue, up to a limit."""
        queue = self.queues.get(key)
        if queue is None:
            return []
        return list(itertools.islice(queue, limit))

    def pop_due(self, now: int) -> Iterator[identity.TaskId]:
        """Yield and remove the delayed tasks that are due."""
        while self.delayed and self.delayed[0][0] <= now:
            _, task = self.delayed.pop(0)
            yield task

    def adjust_count(self, key: QueueKey, change: int) -> None:
        """Change the number of waiting tasks of an urgency and team."""
        total = self.counts.get(key, 0) + change
        if total:
            self.counts[key] = total
        else:
            self.counts.pop(key, None)


def queue_key(urgency: job.Urgency, team: str) -> QueueKey:
    """Return the key of the queue of an urgency and a team."""
    return QueueKey(job.rank(urgency), team)
