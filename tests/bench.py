"""Measures the costs listed in docs/CAPACITY.md; run by make bench."""

from __future__ import annotations

import gc
import itertools
import resource as process_resource
import sys
import time

import msgspec
from rich.console import Console
from rich.table import Table

from mulberrywalk.consensus import message
from mulberrywalk.core import event, job, resource, snapshot
from mulberrywalk.telemetry import journal
from mulberrywalk.tools import replay
from mulberrywalk.transport import wire
from tests import bench_cell

SIZES = (24, 240, 2400, 8600)
CAPACITY = resource.Resources(16_000, 34_359_738_368, 0, slots=8)
TASKS_PER_TARGET = 4.4
MEASURED_TASKS = 6000
_MEMORY_BYTES = 1_073_741_824
_KINDS = tuple(job.Kind)
_NS_PER_US = 1000
_KIB = 1024


def main() -> None:
    """Print the tables."""
    console = Console(width=100)
    console.print(measure_reducer())
    console.print(measure_messages())
    for table in bench_cell.measure():
        console.print(table)


def measure_reducer() -> Table:
    """Return CPU time and memory of the scheduler state by cell size."""
    table = Table(
        'targets',
        'tasks running',
        'placements/s',
        'us a task',
        'event p50 us',
        'event p99 us',
        'event p99.9 us',
        'snapshot MB',
        'snapshot ms',
        'process MB',
    )
    for targets in SIZES:
        table.add_row(*measure_size(targets))
    return table


def measure_size(targets: int) -> list[str]:
    """Return the row of a cell: its usual load, then a stream of tasks."""
    running = replay.Replay(
        replay.FleetPlan(targets, CAPACITY, rack_size=8, data_centres=4)
    )
    background_count = round(targets * TASKS_PER_TARGET)
    background = [
        create_arrival(number, at=0, run_ms=10**9)
        for number in range(background_count)
    ]
    running.run(background, until=9)
    running.metrics.reducer_ns.clear()
    running.metrics.starts = 0
    stream = [
        create_arrival(
            background_count + number, at=10 + number * 2, run_ms=100
        )
        for number in range(MEASURED_TASKS)
    ]
    gc.collect()
    began_at = time.process_time()
    running.run(stream, until=10 + MEASURED_TASKS * 2 + 200)
    seconds = time.process_time() - began_at
    times = sorted(running.metrics.reducer_ns)
    starts = running.metrics.starts
    encoded_at = time.process_time()
    size = len(snapshot.encode(running.tables))
    encoded_ms = (time.process_time() - encoded_at) * 1000
    usage = process_resource.getrusage(process_resource.RUSAGE_SELF)
    return [
        str(targets),
        str(len(running.tables.attempts)),
        f'{starts / seconds:.0f}',
        f'{seconds * 1e6 / starts:.0f}',
        f'{times[len(times) // 2] / _NS_PER_US:.0f}',
        f'{times[len(times) * 99 // 100] / _NS_PER_US:.0f}',
        f'{times[len(times) * 999 // 1000] / _NS_PER_US:.0f}',
        f'{size / 1e6:.1f}',
        f'{encoded_ms:.0f}',
        f'{usage.ru_maxrss / _KIB:.0f}',
    ]


def create_arrival(number: int, at: int, run_ms: int) -> replay.Arrival:
    """Return the arrival of a one-task job; every fifth job is a service."""
    kind = job.Kind.REQUEST
    if number % 5 == 0:
        kind = job.Kind.SERVICE
    elif number % 5 < 3:
        kind = job.Kind.BATCH
    needs = job.TaskSpecification(
        millicores=(500, 1000, 1500)[number % 3],
        memory_bytes=_MEMORY_BYTES,
        estimate_ms=run_ms,
        payload='x' * 64,
    )
    specification = job.Specification(
        request_id=f'r{number}',
        team=f'team{number % 45}',
        kind=kind,
        tasks=(needs,),
        urgency=tuple(job.Urgency)[number % 4],
    )
    return replay.Arrival(at, kind.value, specification, run_ms)


def measure_messages() -> Table:
    """Return the size and codec time of messages between processes."""
    table = Table('message', 'bytes', 'encode + decode us')
    submitted = event.JobSubmitted(
        1, create_arrival(1, 0, 1).specification, 'd' * 64
    )
    started = event.AttemptStart('j123456.0/1', 1_796_378_794_430)
    ended = event.AttemptEnd(
        'j123456.0/1', job.EndReason.COMPLETED, 1, 'x' * 64
    )
    reports = (
        event.ReportReceived(1, 's123456', started=(started,)),
        event.ReportReceived(1, 's123456', ended=(ended,)),
    )
    entry = message.LogEntry(
        123_456,
        7,
        message.EntryKind.COMMAND,
        msgspec.msgpack.encode([submitted, *reports, event.TimePassed(1)]),
    )
    heartbeat = message.AppendRequest(7, 1, 7, (), 1, 123_456_789)
    renewals = wire.Renewals(
        tuple((f's{number}', 123_456) for number in range(100))
    )
    rows = (
        ('log entry of one task: submitted, started, ended', entry),
        ('heartbeat of the consensus', heartbeat),
        ('renewals of 100 sessions', renewals),
        ('start command', start_command()),
        ('time line event', journal.Line(1 << 56, 'replica-1', 'dc', 'placed')),
    )
    for name, encodable in rows:
        table.add_row(name, *measure_codec(encodable))
    return table


def start_command() -> wire.Commands:
    """Return the command that starts one task."""
    command = wire.StartCommand(
        'j123456.0/1', 'j123456.0', 1000, _MEMORY_BYTES, 0, 1000, 'x' * 64
    )
    return wire.Commands('s123456', start=(command,))


def measure_codec(encodable: object) -> list[str]:
    """Return the size of a message in bytes and its codec time in us."""
    decoder = msgspec.msgpack.Decoder(type(encodable))
    encoder = msgspec.msgpack.Encoder()
    rounds = 2000
    began_at = time.process_time()
    for _ in itertools.repeat(None, rounds):
        decoder.decode(encoder.encode(encodable))
    seconds = time.process_time() - began_at
    size = len(encoder.encode(encodable))
    return [str(size), f'{seconds * 1e6 / rounds:.1f}']


if __name__ == '__main__':
    sys.exit(main())
