"""Reads the history that targets write and checks it for violations."""

from __future__ import annotations

import dataclasses
import itertools
import json
import pathlib
from collections.abc import Iterable

# The end time of a run that has not ended: 2**62, after every real time.
NEVER = 4_611_686_018_427_387_904


@dataclasses.dataclass(frozen=True)
class Run:
    """One attempt as its target recorded it; times are monotonic ms."""

    attempt: str
    target: str
    started_at: int
    ended_at: int
    millicores: int
    memory_bytes: int
    label: str = ''

    @property
    def task(self) -> str:
        """Return the id of the task that the attempt belongs to."""
        return self.attempt.split('/')[0]

    @property
    def job(self) -> str:
        """Return the id of the job that the attempt belongs to."""
        return self.attempt.split('.')[0]


@dataclasses.dataclass(frozen=True)
class Capacity:
    """The resources and slots of one target."""

    millicores: int
    slots: int
    memory_bytes: int


def read(path: pathlib.Path, killed_at: dict[str, int]) -> list[Run]:
    """Return the runs recorded in a history file.

    killed_at maps a killed target to the monotonic ms of the kill. A run
    without a recorded end ended when its target was killed; if the target
    was not killed, the run ends at NEVER.
    """
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    ends = {
        (line['target'], line['attempt']): line['at']
        for line in lines
        if line['what'] == 'end'
    }
    return [
        Run(
            attempt=line['attempt'],
            target=line['target'],
            started_at=line['at'],
            ended_at=ends.get(
                (line['target'], line['attempt']),
                killed_at.get(line['target'], NEVER),
            ),
            millicores=line['millicores'],
            memory_bytes=line['memory_bytes'],
            label=line['label'],
        )
        for line in lines
        if line['what'] == 'start'
    ]


def check_overlaps(runs: Iterable[Run]) -> list[str]:
    """Return a message for each violation of exclusive execution.

    Two runs of a task must not overlap, and no attempt may run twice.
    """
    ordered = sorted(runs, key=lambda run: (run.task, run.started_at))
    violations: list[str] = []
    for task, group in itertools.groupby(ordered, key=lambda run: run.task):
        task_runs = list(group)
        violations.extend(
            f'{task} ran on {earlier.target} and {later.target} at once'
            for earlier, later in itertools.pairwise(task_runs)
            if later.started_at < earlier.ended_at
        )
        attempts = [run.attempt for run in task_runs]
        if len(attempts) > len(set(attempts)):
            violations.append(f'an attempt of {task} ran twice')
    return violations


def check_capacity(runs: Iterable[Run], capacity: Capacity) -> list[str]:
    """Return a message for each target whose peak load exceeds capacity."""
    ordered = sorted(runs, key=lambda run: run.target)
    violations: list[str] = []
    for target, group in itertools.groupby(ordered, key=lambda run: run.target):
        peak = _peak(list(group))
        if (
            peak.millicores > capacity.millicores
            or peak.slots > capacity.slots
            or peak.memory_bytes > capacity.memory_bytes
        ):
            violations.append(f'{target} exceeded its capacity: peak {peak}')
    return violations


def _peak(runs: list[Run]) -> Capacity:
    # Within one millisecond, ends sort before starts: the scheduler placed
    # such a start after it had learned of the end.
    changes = sorted(
        [(run.ended_at, 0, -1, run) for run in runs]
        + [(run.started_at, 1, 1, run) for run in runs],
        key=lambda change: change[:2],
    )
    millicores = list(
        itertools.accumulate(
            sign * run.millicores for _, _, sign, run in changes
        )
    )
    slots = list(itertools.accumulate(sign for _, _, sign, _ in changes))
    memory = list(
        itertools.accumulate(
            sign * run.memory_bytes for _, _, sign, run in changes
        )
    )
    return Capacity(
        max(millicores, default=0),
        max(slots, default=0),
        max(memory, default=0),
    )
