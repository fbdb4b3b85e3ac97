"""Estimates of tasks, corrected by what tasks of their queue have taken.

The load that this answers: estimates that are off by more than the tasks of
a queue differ from each other. By them, work that is still worth something
was put behind all other, and work was ordered by chance.
"""

from __future__ import annotations

from . import identity, speed, state

# A sample counts for one of so many parts.
_PARTS = 16
# Of a corrected estimate, so many parts are what is typical, and one is told.
_TYPICAL_PARTS = 3
_US_PER_MS = 1000


def add_sample(
    tables: state.State, queue: str, name: identity.TargetId, took_ms: int
) -> None:
    """Take note of what a task of a queue took on a target."""
    slowness = speed.slowness_of(tables, name)
    sample = took_ms * _US_PER_MS * speed.AVERAGE_SLOWNESS // slowness
    known = tables.durations.get(queue, sample)
    tables.durations[queue] = known + (sample - known) // _PARTS


def typical_duration_ms(tables: state.State, queue: str) -> int:
    """Return what a task of a queue takes, zero while that is not known."""
    return tables.durations.get(queue, 0) // _US_PER_MS


def corrected_ms(estimate_ms: int, typical: int) -> int:
    """Return an estimate moved towards what is typical, in milliseconds."""
    if not typical:
        return estimate_ms
    return (estimate_ms + _TYPICAL_PARTS * typical) // (_TYPICAL_PARTS + 1)
