"""Workload mixes: which jobs arrive when, from a seed."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import random
from collections.abc import Iterator

import msgspec

from ..core import job, resource
from . import replay

MIB_SHIFT = 20


class Workload(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of work; share is its part of the cell's processors.

    run_ms is the mean of an exponential distribution, at least a tenth of it.
    declared_factor is by how much the declared run time is off.
    """

    label: str
    kind: job.Kind
    urgency: job.Urgency
    team: job.Name
    share: float
    millicores: tuple[int, ...]
    memory_mb: tuple[int, ...]
    run_ms: int
    tasks: int = 1
    declared_factor: float = 1.0


class Flood(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Workload that arrives at a multiple of what the cell can hold."""

    work: Workload
    from_ms: int
    until_ms: int


class CancelWave(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Callers cancel a share of one kind of work, all at the same time."""

    label: str
    at_ms: int
    share: float


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What goes wrong in a run.

    black_holes is how many targets fail everything they start; memory_factor
    by how much a kind of work uses more memory than it declares.
    """

    black_holes: int = 0
    memory_factor: dict[str, float] = msgspec.field(default_factory=dict)
    cancel_waves: tuple[CancelWave, ...] = ()


class Mix(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A deployment and its work."""

    name: str
    targets: int
    millicores: int
    memory_mb: int
    slots: int
    rack_size: int
    data_centres: int
    duration_ms: int
    works: tuple[Workload, ...]
    flood: Flood | None = None
    faults: Faults = Faults()

    def fleet_plan(self) -> replay.FleetPlan:
        """Return the fleet of the deployment."""
        capacity = resource.Resources(
            self.millicores, self.memory_mb << MIB_SHIFT, 0, self.slots
        )
        return replay.FleetPlan(
            self.targets,
            capacity,
            self.rack_size,
            self.data_centres,
            self.faults.black_holes,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ArrivalParameters:
    """When a job arrives, its number, and its use of declared memory."""

    submit_at: int
    number: int
    memory_factor: float


def load(path: pathlib.Path) -> Mix:
    """Read a mix from a JSON file; raises msgspec.ValidationError."""
    return msgspec.json.decode(path.read_bytes(), type=Mix)


def load_faults(path: pathlib.Path) -> Faults:
    """Read faults from a JSON file; raises msgspec.ValidationError."""
    return msgspec.json.decode(path.read_bytes(), type=Faults)


def generate_arrivals(planned: Mix, seed: int) -> list[replay.Arrival]:
    """Return the jobs of a mix in order of their arrival."""
    made = [
        arrival
        for number, work in enumerate(planned.works)
        for arrival in _arrive(
            planned,
            work,
            random.Random(seed * 1000 + number),  # noqa: S311
            (0, planned.duration_ms),
        )
    ]
    if planned.flood is not None:
        flood = planned.flood
        dice = random.Random(seed * 1000 - 1)  # noqa: S311
        window = (flood.from_ms, flood.until_ms)
        made.extend(_arrive(planned, flood.work, dice, window))
    for wave in planned.faults.cancel_waves:
        dice = random.Random(seed * 1000 + wave.at_ms)  # noqa: S311
        made = [_cancel(arrival, wave, dice) for arrival in made]
    return sorted(made, key=lambda arrival: arrival.submit_at)


def _cancel(
    arrival: replay.Arrival, wave: CancelWave, dice: random.Random
) -> replay.Arrival:
    if arrival.label != wave.label or arrival.submit_at >= wave.at_ms:
        return arrival
    if dice.random() >= wave.share:
        return arrival
    return dataclasses.replace(arrival, cancel_at=wave.at_ms)


def _arrive(
    planned: Mix,
    work: Workload,
    dice: random.Random,
    window: tuple[int, int],
) -> Iterator[replay.Arrival]:
    mean_millicores = sum(work.millicores) / len(work.millicores)
    a_job = mean_millicores * work.run_ms * work.tasks
    offered = planned.targets * planned.millicores * work.share
    gap_ms = a_job / offered
    at = float(window[0])
    number = 0
    while True:
        at += dice.expovariate(1 / gap_ms)
        if at >= window[1]:
            return
        number += 1
        factor = planned.faults.memory_factor.get(work.label, 0)
        yield _make(work, dice, ArrivalParameters(round(at), number, factor))


def _make(
    work: Workload, dice: random.Random, draw: ArrivalParameters
) -> replay.Arrival:
    drawn_ms = round(dice.expovariate(1 / work.run_ms))
    run_ms = max(work.run_ms // 10, drawn_ms)
    millicores = dice.choice(work.millicores)
    memory_bytes = dice.choice(work.memory_mb) << MIB_SHIFT
    used_bytes = round(memory_bytes * draw.memory_factor)
    payload = {'run_ms': run_ms, 'label': f'{work.label}{draw.number}'}
    if used_bytes:
        payload['use_bytes'] = used_bytes
    needs = job.TaskSpecification(
        millicores=millicores,
        memory_bytes=memory_bytes,
        estimate_ms=max(1, round(run_ms * work.declared_factor)),
        payload=json.dumps(payload),
    )
    specification = job.Specification(
        request_id=f'{work.label}-{draw.number}'.replace(' ', '-'),
        team=work.team,
        kind=work.kind,
        tasks=(needs,) * work.tasks,
        urgency=work.urgency,
    )
    return replay.Arrival(
        draw.submit_at, work.label, specification, run_ms, used_bytes
    )
