"""Tests of workload mixes, injected faults and the measured results."""

import pathlib

import msgspec

from ..telemetry import cost
from . import mix, replay, report

SMALL_MIX = mix.Mix(
    name='tiny',
    targets=4,
    millicores=4000,
    memory_mb=4096,
    slots=4,
    rack_size=2,
    data_centres=2,
    duration_ms=4000,
    works=(
        mix.Workload(
            label='sort',
            kind='batch',
            urgency='low',
            team='night',
            share=0.5,
            millicores=(1000,),
            memory_mb=(512,),
            run_ms=400,
        ),
    ),
)


def simulate(faults):
    workload_mix = msgspec.structs.replace(SMALL_MIX, faults=faults)
    simulation = replay.Replay(workload_mix.fleet_plan())
    return simulation.run(mix.generate_arrivals(workload_mix, 1), until=60_000)


def test_arrivals_are_a_function_of_the_seed():
    assert mix.generate_arrivals(SMALL_MIX, 1) == mix.generate_arrivals(
        SMALL_MIX, 1
    )
    assert mix.generate_arrivals(SMALL_MIX, 1) != mix.generate_arrivals(
        SMALL_MIX, 2
    )


def test_black_hole_target_causes_retries_and_loses_no_task():
    metrics = simulate(mix.Faults(black_holes=1))
    assert metrics.retried['sort'] > 0
    assert metrics.completed['sort'] == metrics.submitted['sort']


def test_cancel_wave_ends_waiting_and_running_jobs():
    wave = mix.CancelWave('sort', at_ms=2000, share=1)
    metrics = simulate(mix.Faults(cancel_waves=(wave,)))
    assert metrics.cancelled['sort'] > 0
    ended = metrics.completed['sort'] + metrics.cancelled['sort']
    assert ended == metrics.submitted['sort']


def test_fault_files_in_mixes_are_valid():
    paths = sorted(pathlib.Path('mixes').glob('faults-*.json'))
    assert len(paths) == 3
    assert all(mix.load_faults(path) != mix.Faults() for path in paths)


def test_costs_exclude_restarted_processes():
    before = {'a': cost.Cost(100, 0, 10, 10), 'b': cost.Cost(900)}
    after = {'a': cost.Cost(300, 2_000_000, 40, 30), 'b': cost.Cost(5)}
    process_costs = report.compare_costs(before, after, starts=100, seconds=10)
    assert process_costs == (report.ControlCost('a', 200, 2.0, 2.0, 5.0),)
