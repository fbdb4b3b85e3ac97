"""Task estimates, corrected by the measured durations of their queue.

Submitted estimates can be off by more than the tasks of a queue differ from
each other. Uncorrected, they put work that still had value behind all other
work, and ordered work at random.
"""

from __future__ import annotations

from . import identity, speed, state

# A new sample enters the moving average with the weight 1 / divisor.
_SMOOTHING_DIVISOR = 16
# Weight of the typical duration; the submitted estimate has the weight 1.
_TYPICAL_WEIGHT = 3
_US_PER_MS = 1000


def add_sample(
    tables: state.State, queue: str, name: identity.TargetId, took_ms: int
) -> None:
    """Update the average of a queue by the duration of a task on a target.

    The duration is scaled to a target of average speed.
    """
    slowness = speed.slowness_of(tables, name)
    sample_us = took_ms * _US_PER_MS * speed.AVERAGE_SLOWNESS // slowness
    average_us = tables.durations.get(queue, sample_us)
    tables.durations[queue] = (
        average_us + (sample_us - average_us) // _SMOOTHING_DIVISOR
    )


def typical_duration_ms(tables: state.State, queue: str) -> int:
    """Return the average duration of a queue's tasks in ms, zero if unknown."""
    return tables.durations.get(queue, 0) // _US_PER_MS


def corrected_ms(estimate_ms: int, typical_ms: int) -> int:
    """Return an estimate moved towards the typical duration, in ms."""
    if not typical_ms:
        return estimate_ms
    return (estimate_ms + _TYPICAL_WEIGHT * typical_ms) // (_TYPICAL_WEIGHT + 1)
