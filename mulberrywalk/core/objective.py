"""The longest chain of a workflow, and in which time it should be done."""

from __future__ import annotations

import collections
import functools

from . import estimate, job

_PERCENT = 100
_US_PER_MS = 1000
# An answer of the adviser on so many targets belongs to each step's chain.
_ADVISED_TARGETS = 30
_CHAINS_KEPT = 4096


def critical_path_ms(
    specification: job.Specification, number: int, typical_ms: int = 0
) -> int:
    """Return the longest chain of estimates from a step to the end, in ms.

    typical_ms is what a task of the job's queue takes, zero if not known.
    """
    return _chains(specification, typical_ms)[number]


def objective_ms(specification: job.Specification, typical_ms: int = 0) -> int:
    """Return in which time after its release a job should be done."""
    longest = max(_chains(specification, typical_ms), default=0)
    return (
        longest * specification.slack_percent // _PERCENT
        + specification.objective_ms
    )


@functools.lru_cache(maxsize=_CHAINS_KEPT)
def _chains(
    specification: job.Specification, typical_ms: int
) -> tuple[int, ...]:
    advised = 0
    if specification.advice is not None:
        per_target = specification.advice.per_target_us * _ADVISED_TARGETS
        advised = specification.advice.decision_ms + per_target // _US_PER_MS
    chains: dict[int, int] = {}
    followers: dict[int, int] = collections.defaultdict(int)
    for number, step in reversed(list(enumerate(specification.steps))):
        expected = estimate.corrected_ms(step.estimate_ms, typical_ms)
        chains[number] = advised + expected + followers[number]
        for earlier in step.after:
            followers[earlier] = max(followers[earlier], chains[number])
    return tuple(chain for _, chain in sorted(chains.items()))
