"""The critical path of a workflow and its completion objective."""

from __future__ import annotations

import collections
import functools

from . import estimate, job

_PERCENT = 100
_US_PER_MS = 1000
# The path of each step includes an adviser's answer on this many targets.
_ADVISED_TARGETS = 30
_CACHE_SIZE = 4096


def critical_path_ms(
    specification: job.Specification, number: int, typical_ms: int = 0
) -> int:
    """Return the longest path of estimates from a step to the end, in ms.

    typical_ms is the average duration of the tasks of the job's queue, zero
    if unknown.
    """
    return _critical_paths_ms(specification, typical_ms)[number]


def longest_path_ms(
    specification: job.Specification, typical_ms: int = 0
) -> int:
    """Return the time that a job takes without waiting, in ms."""
    return max(_critical_paths_ms(specification, typical_ms), default=0)


def objective_ms(specification: job.Specification, typical_ms: int = 0) -> int:
    """Return the time from its release in which a job should end, in ms."""
    longest_ms = longest_path_ms(specification, typical_ms)
    return (
        longest_ms * specification.slack_percent // _PERCENT
        + specification.objective_ms
    )


@functools.lru_cache(maxsize=_CACHE_SIZE)
def _critical_paths_ms(
    specification: job.Specification, typical_ms: int
) -> tuple[int, ...]:
    advice_ms = 0
    if specification.advice is not None:
        targets_us = specification.advice.per_target_us * _ADVISED_TARGETS
        advice_ms = specification.advice.decision_ms + targets_us // _US_PER_MS
    paths: dict[int, int] = {}
    longest_after: dict[int, int] = collections.defaultdict(int)
    for number, step in reversed(list(enumerate(specification.steps))):
        expected_ms = estimate.corrected_ms(step.estimate_ms, typical_ms)
        paths[number] = advice_ms + expected_ms + longest_after[number]
        for earlier in step.after:
            longest_after[earlier] = max(longest_after[earlier], paths[number])
    return tuple(path_ms for _, path_ms in sorted(paths.items()))
