"""Steps that were found to fit on no target, although some have room.

Looking at all targets for each such step would take most of a pass. Until its
tasks or its advice change, only the targets that may hold more than before are
looked at. What is kept here changes no decision and is not part of a snapshot.
"""

from __future__ import annotations

from . import (
    advice,
    fleet,
    identity,
    job,
    nearness,
    resource,
    state,
    step_placement,
    waiting,
)


def record(tables: state.State, name: identity.StepId) -> None:
    """Record that no task of a waiting step fits on any target now.

    Not recorded are steps that may wait for room near their data, and lasting
    steps with an adviser, which is asked even while no target has room.
    """
    step = tables.steps[name]
    needs = tables.step_specification(step)
    is_advised = tables.jobs[step.job].specification.advice is not None
    if nearness.is_on(tables, needs) or (needs.is_lasting and is_advised):
        return
    tables.waiting.misfits[name] = waiting.Misfit(
        step,
        len(tables.waiting.steps[name]),
        tables.fleet.changes,
        advice.find_next_change(tables, step),
    )


def is_known(tables: state.State, step: job.Step) -> bool:
    """Return whether a step that fitted on no target still fits on none."""
    found = tables.waiting.misfits.get(step.step)
    if found is None:
        return False
    is_same = (
        found.step is step
        and found.waiting_tasks == len(tables.waiting.steps[step.step])
        and (found.until is None or tables.time < found.until)
    )
    if not is_same or _may_fit(tables, step, found.changes):
        tables.waiting.misfits.pop(step.step)
        return False
    tables.waiting.misfits[step.step] = found._replace(
        changes=tables.fleet.changes
    )
    return True


def _may_fit(tables: state.State, step: job.Step, changes: int) -> bool:
    """Return whether a target that changed may take a task of a step.

    A target without a ticket counts too: the adviser may be asked about it.
    """
    demand = tables.step_specification(step).demand()
    names = [
        load.target
        for load in tables.fleet.changed_since(changes)
        if _is_open_to(load, step, demand)
    ]
    return bool(
        names and step_placement.find_eligible_targets(tables, step.step, names)
    )


def _is_open_to(
    load: fleet.TargetLoad, step: job.Step, demand: resource.Resources
) -> bool:
    return (
        load.is_available()
        and resource.fits(demand, load.free)
        and load.target not in step.barred
    )
