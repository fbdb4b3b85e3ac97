"""The longest chain of a workflow, and in which time it should be done."""

from __future__ import annotations

import collections
import functools

from . import job

_PERCENT = 100
_US_PER_MS = 1000
# An answer of the adviser on so many targets belongs to each step's chain.
_ADVISED_TARGETS = 30
_CHAINS_KEPT = 4096


def chain_ms(specification: job.Specification, number: int) -> int:
    """Return the longest chain of estimates from a step to the end, in ms."""
    return _chains(specification)[number]


def objective_ms(specification: job.Specification) -> int:
    """Return in which time after its release a job should be done."""
    longest = max(_chains(specification), default=0)
    return (
        longest * specification.slack_percent // _PERCENT
        + specification.objective_ms
    )


@functools.lru_cache(maxsize=_CHAINS_KEPT)
def _chains(specification: job.Specification) -> tuple[int, ...]:
    advised = 0
    if specification.advice is not None:
        per_target = specification.advice.per_target_us * _ADVISED_TARGETS
        advised = specification.advice.decision_ms + per_target // _US_PER_MS
    chains: dict[int, int] = {}
    followers: dict[int, int] = collections.defaultdict(int)
    for number, step in reversed(list(enumerate(specification.steps))):
        chains[number] = advised + step.estimate_ms + followers[number]
        for earlier in step.after:
            followers[earlier] = max(followers[earlier], chains[number])
    return tuple(chain for _, chain in sorted(chains.items()))
