"""How fast targets are, by what they did and not by what they say.

The load that this answers: urgent steps of several tasks, which end with
their slowest one, on targets of unlike speed, some of which turn slow. Urgent
work goes to fast targets, and work with patience leaves these to it.
"""

from __future__ import annotations

import msgspec

from . import identity, job, state, target

# What an average target takes, in permille of it.
AVERAGE_SLOWNESS = 1000
# From here on a target is used for what fits nowhere else.
SLOW_THRESHOLD = 1500
_LEAST_TASKS = 3
_FASTEST = 250
_SLOWEST = 8000
# A sample counts for one of so many parts.
_PARTS = 8
# What was learned counts for half after this time without a sample.
_HALF_LIFE_MS = 10_000


def slowness_of(tables: state.State, name: identity.TargetId) -> int:
    """Return what a target takes for its tasks, in permille of the average."""
    learned = tables.targets[name].speed
    passed = tables.time - learned.learned_at
    excess = learned.slowness - AVERAGE_SLOWNESS
    return AVERAGE_SLOWNESS + excess * _HALF_LIFE_MS // (_HALF_LIFE_MS + passed)


def add_samples(
    tables: state.State, step: job.Step, members: list[job.Task]
) -> None:
    """Compare the tasks of a step that has ended with each other.

    Equal work is compared, so that rough estimates do not matter.
    """
    needs = tables.step_specification(step)
    if needs.is_gang or needs.count < _LEAST_TASKS:
        return
    taken = [
        (record.target, record.ended_at - record.started_at)
        for task in members
        for record in task.history[-1:]
        if record.started_at and _is_near(tables, needs, record.target)
    ]
    if len(taken) < _LEAST_TASKS:
        return
    nominal = sum(
        took * AVERAGE_SLOWNESS // slowness_of(tables, name)
        for name, took in taken
    ) // len(taken)
    for name, took in taken:
        _take_sample(tables, name, took * AVERAGE_SLOWNESS // max(1, nominal))


def _is_near(
    tables: state.State, needs: job.StepSpecification, name: identity.TargetId
) -> bool:
    """Return whether a target that is still known was near the data."""
    record = tables.targets.get(name)
    if record is None:
        return False
    return not needs.data_rack or record.rack == needs.data_rack


def _take_sample(
    tables: state.State, name: identity.TargetId, sample: int
) -> None:
    known = slowness_of(tables, name)
    limited = max(_FASTEST, min(_SLOWEST, sample))
    slowness = known + (limited - known) // _PARTS
    tables.targets[name] = msgspec.structs.replace(
        tables.targets[name], speed=target.Speed(slowness, tables.time)
    )
