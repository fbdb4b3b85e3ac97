"""Workload mixes: generates job arrivals from a description and a seed."""

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
    """Jobs of one kind, with the distribution of their sizes.

    share is the offered load as a fraction of the cell's processors. Run
    times are exponentially distributed with the mean run_ms, and at least a
    tenth of it. millicores and memory_mb (in mebibytes) list equally likely
    values. declared_factor is the ratio of declared to actual run time.
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
    """A workload that overloads the cell between two times of the run."""

    work: Workload
    from_ms: int
    until_ms: int


class CancelWave(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Cancellation of a share of a workload's jobs, all at one time."""

    label: str
    at_ms: int
    share: float


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults to inject into a run.

    black_holes is the number of targets that fail every attempt they start.
    memory_factor is the ratio of used to declared memory by workload label;
    workloads without one use what they declare.
    """

    black_holes: int = 0
    memory_factor: dict[str, float] = msgspec.field(default_factory=dict)
    cancel_waves: tuple[CancelWave, ...] = ()


class Mix(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A cell's hardware and its workloads; memory_mb is in mebibytes."""

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
        """Return the number, size and topology of the targets."""
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
    """Arrival time in ms, number and memory factor of a generated job."""

    submit_at: int
    number: int
    memory_factor: float


def load(path: pathlib.Path) -> Mix:
    """Read a mix from a JSON file; raises msgspec.ValidationError."""
    return msgspec.json.decode(path.read_bytes(), type=Mix)


def load_faults(path: pathlib.Path) -> Faults:
    """Read faults from a JSON file; raises msgspec.ValidationError."""
    return msgspec.json.decode(path.read_bytes(), type=Faults)


def generate_arrivals(workload_mix: Mix, seed: int) -> list[replay.Arrival]:
    """Return the jobs of a mix, sorted by arrival time.

    The same mix and seed give the same jobs.
    """
    generated = [
        arrival
        for index, workload in enumerate(workload_mix.works)
        for arrival in _generate_workload(
            workload_mix,
            workload,
            random.Random(seed * 1000 + index),  # noqa: S311
            (0, workload_mix.duration_ms),
        )
    ]
    if workload_mix.flood is not None:
        flood = workload_mix.flood
        rng = random.Random(seed * 1000 - 1)  # noqa: S311
        window_ms = (flood.from_ms, flood.until_ms)
        generated.extend(
            _generate_workload(workload_mix, flood.work, rng, window_ms)
        )
    for wave in workload_mix.faults.cancel_waves:
        rng = random.Random(seed * 1000 + wave.at_ms)  # noqa: S311
        generated = [
            _apply_cancel_wave(arrival, wave, rng) for arrival in generated
        ]
    return sorted(generated, key=lambda arrival: arrival.submit_at)


def _apply_cancel_wave(
    arrival: replay.Arrival, wave: CancelWave, rng: random.Random
) -> replay.Arrival:
    if arrival.label != wave.label or arrival.submit_at >= wave.at_ms:
        return arrival
    if rng.random() >= wave.share:
        return arrival
    return dataclasses.replace(arrival, cancel_at=wave.at_ms)


def _generate_workload(
    workload_mix: Mix,
    workload: Workload,
    rng: random.Random,
    window_ms: tuple[int, int],
) -> Iterator[replay.Arrival]:
    mean_millicores = sum(workload.millicores) / len(workload.millicores)
    job_millicore_ms = mean_millicores * workload.run_ms * workload.tasks
    offered_millicores = (
        workload_mix.targets * workload_mix.millicores * workload.share
    )
    mean_interval_ms = job_millicore_ms / offered_millicores
    arrival_ms = float(window_ms[0])
    number = 0
    while True:
        arrival_ms += rng.expovariate(1 / mean_interval_ms)
        if arrival_ms >= window_ms[1]:
            return
        number += 1
        usage_factor = workload_mix.faults.memory_factor.get(workload.label, 0)
        yield _sample_arrival(
            workload,
            rng,
            ArrivalParameters(round(arrival_ms), number, usage_factor),
        )


def _sample_arrival(
    workload: Workload,
    rng: random.Random,
    arrival_parameters: ArrivalParameters,
) -> replay.Arrival:
    sampled_ms = round(rng.expovariate(1 / workload.run_ms))
    run_ms = max(workload.run_ms // 10, sampled_ms)
    millicores = rng.choice(workload.millicores)
    memory_bytes = rng.choice(workload.memory_mb) << MIB_SHIFT
    used_bytes = round(memory_bytes * arrival_parameters.memory_factor)
    payload = {
        'run_ms': run_ms,
        'label': f'{workload.label}{arrival_parameters.number}',
    }
    if used_bytes:
        payload['use_bytes'] = used_bytes
    task = job.TaskSpecification(
        millicores=millicores,
        memory_bytes=memory_bytes,
        estimate_ms=max(1, round(run_ms * workload.declared_factor)),
        payload=json.dumps(payload),
    )
    specification = job.Specification(
        request_id=f'{workload.label}-{arrival_parameters.number}'.replace(
            ' ', '-'
        ),
        team=workload.team,
        kind=workload.kind,
        tasks=(task,) * workload.tasks,
        urgency=workload.urgency,
    )
    return replay.Arrival(
        arrival_parameters.submit_at,
        workload.label,
        specification,
        run_ms,
        used_bytes,
    )
