"""Measures CPU and memory of each role in real processes, for make bench."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import shutil
import time
from concurrent import futures

import httpx
from rich.table import Table

from demo import cell

TARGETS = (8, 16, 32)
RATES = (10, 20, 40)
_FOLDER = pathlib.Path('run/bench')
_SETTLE_S = 3.0
_MEASURED_S = 10.0
_CALLERS = 40
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_KIB = 1024
_ROLES = ('leader', 'follower', 'entry', 'target')


@dataclasses.dataclass(frozen=True)
class Cost:
    """CPU use of one process in % of a core, and its memory in MB."""

    percent: float
    megabytes: float


def measure() -> list[Table]:
    """Return the costs by number of targets and by task starts per second."""
    idle = Table('targets, idle', *_headings())
    for targets in TARGETS:
        with _start(targets) as running:
            idle.add_row(str(targets), *_format_row(measure_roles(running)))
    busy = Table('starts/s, 16 targets', *_headings())
    with _start(16) as running:
        for rate in RATES:
            with futures.ThreadPoolExecutor(_CALLERS) as callers:
                submitting = callers.submit(_submit, running, rate, callers)
                costs = measure_roles(running)
                submitting.result()
            busy.add_row(str(rate), *_format_row(costs))
    return [idle, busy]


def measure_roles(running: cell.Cell) -> dict[str, Cost]:
    """Return the mean cost of a process of each role."""
    time.sleep(_SETTLE_S)
    leader = running.leader()
    before = {
        name: _read_cpu_seconds(name, running) for name in running.processes
    }
    time.sleep(_MEASURED_S)
    costs: dict[str, list[Cost]] = {role: [] for role in _ROLES}
    for name in running.processes:
        used = (_read_cpu_seconds(name, running) - before[name]) / _MEASURED_S
        cost = Cost(100 * used, _read_memory_mb(name, running))
        costs[_get_role(name, leader)].append(cost)
    return {
        role: Cost(
            sum(one.percent for one in measured) / len(measured),
            sum(one.megabytes for one in measured) / len(measured),
        )
        for role, measured in costs.items()
    }


@contextlib.contextmanager
def _start(targets: int):  # type: ignore[no-untyped-def]
    shutil.rmtree(_FOLDER, ignore_errors=True)
    running = cell.Cell(cell.Plan(_FOLDER.absolute(), targets=targets))
    with contextlib.ExitStack() as stack:
        stack.callback(running.stop)
        running.start()
        yield running


def _submit(
    running: cell.Cell, rate: int, callers: futures.ThreadPoolExecutor
) -> None:
    """Submit requests at a fixed rate, without waiting for responses."""
    seconds = _SETTLE_S + _MEASURED_S
    entries = itertools.cycle(running.entry_addresses)
    with httpx.Client(timeout=30) as client:
        began_at = time.monotonic()
        responses = []
        for number in range(round(rate * seconds)):
            due_at = began_at + number / rate
            time.sleep(max(0, due_at - time.monotonic()))
            url = f'http://{next(entries)}/v1/jobs?wait=10'
            body = _build_job(f'{rate}-{number}')
            responses.append(callers.submit(client.post, url, json=body))
        futures.wait(responses)


def _build_job(request_id: str) -> dict[str, object]:
    payload = json.dumps({'run_ms': 50, 'label': request_id})
    needs = {'millicores': 500, 'memory_bytes': 1 << 20, 'payload': payload}
    return {
        'request_id': request_id,
        'team': 'bench',
        'kind': 'request',
        'urgency': 'critical',
        'tasks': [needs],
    }


def _get_role(name: str, leader: str) -> str:
    if name == leader:
        return 'leader'
    kind = name.split('-', maxsplit=1)[0]
    return 'follower' if kind == 'replica' else kind


def _read_cpu_seconds(name: str, running: cell.Cell) -> float:
    fields = _read_proc(name, running, 'stat').rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _read_memory_mb(name: str, running: cell.Cell) -> float:
    lines = _read_proc(name, running, 'status').splitlines()
    line = next(one for one in lines if one.startswith('VmRSS'))
    return int(line.split()[1]) / _KIB


def _read_proc(name: str, running: cell.Cell, table: str) -> str:
    process = running.processes[name].running
    if process is None:
        raise cell.CellError(f'process {name} is not running')
    return pathlib.Path(f'/proc/{process.pid}/{table}').read_text()


def _headings() -> list[str]:
    return [
        f'{role} {unit}' for role in _ROLES for unit in ('% of a core', 'MB')
    ]


def _format_row(costs: dict[str, Cost]) -> list[str]:
    return [
        text
        for role in _ROLES
        for text in (
            f'{costs[role].percent:.1f}',
            f'{costs[role].megabytes:.0f}',
        )
    ]
