"""Which targets are near the data of a step, or near each other."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator

from . import fleet, identity, job, locality_wait, state


def is_on(tables: state.State, needs: job.StepSpecification) -> bool:
    """Return whether it matters where the tasks of a step run.

    Lasting work does not wait for near room: it has to be back in time.
    """
    if tables.remote_permille <= locality_wait.NO_SLOWDOWN or needs.is_lasting:
        return False
    return bool(needs.data_rack) or needs.is_rack_local


def limit(
    tables: state.State,
    needs: job.StepSpecification,
    loads: Iterable[fleet.TargetLoad],
    max_count: int,
) -> Iterator[fleet.TargetLoad]:
    """Return the first targets up to a limit, which is not for near ones.

    A step that may use any one rack needs to see all targets of each.
    """
    if not is_on(tables, needs):
        return itertools.islice(loads, max_count)
    if not needs.data_rack:
        return iter(loads)
    near: list[fleet.TargetLoad] = []
    others: list[fleet.TargetLoad] = []
    for load in loads:
        if load.rack == needs.data_rack:
            near.append(load)
        elif len(others) < max_count:
            others.append(load)
    return itertools.chain(near, others)


def list_names(
    tables: state.State, rack: str, names: Iterable[identity.TargetId]
) -> Iterable[identity.TargetId]:
    """Return those of the named targets that are in a rack, if one is given."""
    if not rack:
        return names
    named = frozenset(names)
    loads = tables.fleet.in_rack(rack)
    return [load.target for load in loads if load.target in named]


def list_choices(
    tables: state.State, step: job.Step, loads: list[fleet.TargetLoad]
) -> list[list[fleet.TargetLoad]]:
    """Return the sets of targets to try for a whole step, nearest first."""
    needs = tables.step_specification(step)
    racks: list[str] = []
    if is_on(tables, needs):
        racks = find_near_racks(tables, step, loads)
    elif needs.is_rack_local:
        racks = sorted({load.rack for load in loads})
    near = ([load for load in loads if load.rack == rack] for rack in racks)
    return [*near, loads]


def find_near_racks(
    tables: state.State, step: job.Step, loads: Iterable[fleet.TargetLoad]
) -> list[str]:
    """Return the racks of which one has to hold the whole step.

    None are returned for a step that already runs on several.
    """
    needs = tables.step_specification(step)
    if needs.data_rack:
        return [needs.data_rack]
    present = {
        tables.fleet.loads[name].rack
        for name in tables.step_loads.get(step.step, ())
    }
    if present:
        return sorted(present) if len(present) == 1 else []
    return sorted({load.rack for load in loads})
