"""The main job: a working morning on one machine, with failures.

Starts a cell, submits every kind of work through the public interface,
kills the leader and a target half-way, and checks what really ran.
"""

from __future__ import annotations

import contextlib
import dataclasses
import json
import pathlib
import shutil
import sys
import threading
import time
from collections.abc import Iterator
from concurrent import futures
from typing import Any

import httpx
import msgspec
from rich.console import Console
from rich.table import Table

from demo import audit, cell
from mulberrywalk.telemetry import clock, journal

TEAM = 'kitamori'
MEMORY = 1_073_741_824
MATCHES = 120
MATCH_GAP_S = 0.15
SORT_TASKS = 200
GANG_TASKS = 12
MS_PER_S = 1000
WAIT_S = 60.0
_TRIES = 12
_RETRY_S = 0.3
_FOLDER = pathlib.Path('run/demo')
_TARGETS = 24
_LINES_SHOWN = 40
_PERCENTILES = (50, 99)
_WIDTH = 112
_COLUMNS = (
    'work',
    'jobs',
    'completed',
    'accepted',
    'not run',
    'unknown',
    'wait p50',
    'wait p99',
    'answer p50',
    'answer p99',
)


@dataclasses.dataclass(frozen=True)
class Needs:
    """What each task of a job needs, and the label that its answer bears."""

    millicores: int
    run_ms: int
    label: str


@dataclasses.dataclass(frozen=True)
class Order:
    """A job to submit, and for how many seconds to hold the answer."""

    kind: str
    request_id: str
    body: dict[str, Any]
    seconds: float


@dataclasses.dataclass
class Told:
    """What a caller was told about one job in the end, and how soon."""

    kind: str
    request_id: str
    outcome: str
    body: dict[str, Any]
    took_ms: float


class Morning:
    """Submits the morning's work and collects what callers are told."""

    def __init__(self, running: cell.Cell) -> None:
        """Work through the entries of a running cell."""
        self.told: list[Told] = []
        self._cell = running
        self._lock = threading.Lock()

    def submit(self, order: Order) -> None:
        """Submit a job and ask until it has ended or time is up."""
        job = {'request_id': order.request_id, 'team': TEAM, **order.body}
        began_at = time.monotonic()
        answered = self._insist(job, order.seconds)
        took_ms = (time.monotonic() - began_at) * MS_PER_S
        told = Told(
            order.kind,
            order.request_id,
            _outcome_of(answered),
            answered,
            took_ms,
        )
        with self._lock:
            self.told.append(told)

    def _insist(self, job: dict[str, Any], seconds: float) -> dict[str, Any]:
        """Resend under the same request id until the answer is known."""
        answered: dict[str, Any] = {'outcome': 'unknown'}
        entries = self._cell.entry_addresses
        for turn in range(_TRIES):
            address = entries[turn % len(entries)]
            url = f'http://{address}/v1/jobs?wait={seconds}'
            try:
                answered = httpx.post(
                    url, json=job, timeout=seconds + WAIT_S
                ).json()
            except (httpx.HTTPError, ValueError):
                answered = {'outcome': 'unknown'}
            if answered['outcome'] in {'job', 'accepted'}:
                return answered
            time.sleep(_RETRY_S)
        return answered


def main() -> int:
    """Run the morning; returns zero when nothing was lost or doubled."""
    shutil.rmtree(_FOLDER, ignore_errors=True)
    running = cell.Cell(cell.Plan(_FOLDER.absolute(), targets=_TARGETS))
    console = Console(width=_WIDTH)
    console.print('starting 3 replicas, 2 entries and 24 targets')
    with contextlib.ExitStack() as stack:
        stack.callback(running.stop)
        running.start()
        morning = Morning(running)
        killed = _work(running, morning, console)
        faults = _check(running, morning, killed)
        _show(running, morning, console)
    for fault in faults:
        console.print(f'[red]{fault}')
    console.print(f'lost, doubled or over capacity: {len(faults)}')
    return 1 if faults else 0


def _work(
    running: cell.Cell, morning: Morning, console: Console
) -> dict[str, int]:
    with futures.ThreadPoolExecutor(MATCHES) as callers:
        waiting = [
            callers.submit(morning.submit, order)
            for order in _standing_orders()
        ]
        for number in range(MATCHES):
            waiting.append(callers.submit(morning.submit, _match(number)))
            time.sleep(MATCH_GAP_S)
            if number == MATCHES // 3:
                _kill(running, running.leader(), console)
            if number == MATCHES // 2:
                _kill(running, 'target-3', console)
        for one in waiting:
            one.result()
    return {
        name: process.killed_at
        for name, process in running.processes.items()
        if process.killed_at
    }


def _kill(running: cell.Cell, name: str, console: Console) -> None:
    console.print(f'killing {name}')
    running.processes[name].kill()


def _match(number: int) -> Order:
    needs = Needs(millicores=500, run_ms=20, label=f'match {number}')
    body = {'kind': 'request', 'urgency': 'critical', **_tasks(1, needs)}
    return Order('swatch match', f'match-{number}', body, WAIT_S)


def _standing_orders() -> Iterator[Order]:
    hides = Needs(millicores=3000, run_ms=1500, label='hide')
    sort = {'kind': 'batch', 'urgency': 'low', **_tasks(SORT_TASKS, hides)}
    yield Order('hide sort', 'sort-1', sort, WAIT_S)
    presses = Needs(millicores=4000, run_ms=1000, label='press')
    gang = {'kind': 'gang', 'urgency': 'normal', **_tasks(GANG_TASKS, presses)}
    yield Order('gang', 'gang-1', gang, WAIT_S)
    lot = Needs(millicores=500, run_ms=30, label='lot 7')
    hold = {'kind': 'request', 'urgency': 'high', **_tasks(1, lot)}
    yield Order('lot hold', 'hold-1', {**hold, 'idempotent': False}, WAIT_S)
    watches = Needs(millicores=500, run_ms=3_600_000, label='watch')
    watch = {'kind': 'service', 'urgency': 'high', **_tasks(4, watches)}
    yield Order('lot watch', 'watch-1', watch, 0)


def _tasks(count: int, needs: Needs) -> dict[str, Any]:
    return {'tasks': [_task(number, needs) for number in range(count)]}


def _task(number: int, needs: Needs) -> dict[str, Any]:
    payload = {'run_ms': needs.run_ms, 'label': f'{needs.label} {number}'}
    return {
        'millicores': needs.millicores,
        'memory_bytes': MEMORY,
        'estimate_ms': needs.run_ms,
        'payload': json.dumps(payload),
    }


def _outcome_of(answered: dict[str, Any]) -> str:
    if answered['outcome'] == 'job':
        return str(answered['state'])
    return str(answered['outcome'])


def _check(
    running: cell.Cell, morning: Morning, killed: dict[str, int]
) -> list[str]:
    """Return what was lost, ran twice or went over capacity."""
    ran = audit.read(running.history, killed)
    faults = audit.check_overlaps(ran)
    faults.extend(audit.check_capacity(ran, cell.CAPACITY))
    jobs = {told.request_id: told for told in morning.told}
    faults.extend(
        f'{told.request_id} is lost: {told.outcome}'
        for told in jobs.values()
        if told.outcome not in {'completed', 'accepted'}
    )
    faults.extend(_check_answers(morning))
    holds = [run for run in ran if run.job == jobs['hold-1'].body.get('job')]
    if len(holds) > 1:
        faults.append(f'the lot hold ran {len(holds)} times')
    return faults


def _check_answers(morning: Morning) -> Iterator[str]:
    """Yield what a caller received that was not the answer to its own."""
    for told in morning.told:
        if told.kind != 'swatch match' or told.outcome != 'completed':
            continue
        number = told.request_id.partition('-')[2]
        answer = json.loads(told.body['tasks'][0]['answer'])
        if answer['label'] != f'match {number} 0':
            yield f'{told.request_id} got another answer'


def _show(running: cell.Cell, morning: Morning, console: Console) -> None:
    table = Table(*_COLUMNS)
    for kind in dict.fromkeys(told.kind for told in morning.told):
        table.add_row(*_row(kind, morning.told))
    console.print(table)
    shown = _most_tried(morning)
    console.print(f'time line of {shown.request_id}')
    job = shown.body['job']
    for line in _collect_timeline(running, job)[:_LINES_SHOWN]:
        at = clock.wall_of(line.clock) / MS_PER_S
        shown_at = time.strftime('%H:%M:%S', time.gmtime(at))
        told = (line.process, line.what, line.attempt, line.detail)
        console.print(shown_at, *told)


def _collect_timeline(running: cell.Cell, job: str) -> list[journal.Line]:
    """Return the events of all processes about a job, in causal order."""
    answers = [
        running.get(f'/v1/timeline?job={job}', entry)
        for entry, _ in enumerate(running.entry_addresses)
    ]
    lines = [line for answer in answers for line in answer['lines']]
    return journal.merge(msgspec.convert(lines, type=list[journal.Line]))


def _most_tried(morning: Morning) -> Told:
    """Return the swatch match that needed the most attempts.

    Of several the latest: a leader that was killed since took the events
    that it kept in memory with it.
    """
    matches = [one for one in morning.told if one.kind == 'swatch match']
    return max(matches, key=_attempts_and_turn)


def _attempts_and_turn(told: Told) -> tuple[int, int]:
    turn = int(told.request_id.partition('-')[2])
    return told.body['tasks'][0]['attempts'], turn


def _row(kind: str, told: list[Told]) -> list[str]:
    own = [one for one in told if one.kind == kind]
    ended = [one for one in own if 'tasks' in one.body]
    waits = sorted(
        task['started_at'] - one.body['submitted_at']
        for one in ended
        for task in one.body['tasks']
    )
    answers = sorted(round(one.took_ms) for one in ended)
    counted = [
        sum(one.outcome == outcome for one in own)
        for outcome in ('completed', 'accepted', 'not_run', 'unknown')
    ]
    shares = [_share(waits, part) for part in _PERCENTILES]
    shares.extend(_share(answers, part) for part in _PERCENTILES)
    return [kind, str(len(own)), *map(str, counted), *shares]


def _share(ordered: list[int], part: int) -> str:
    if not ordered:
        return '-'
    place = min(len(ordered) - 1, len(ordered) * part // 100)
    return str(ordered[place])


if __name__ == '__main__':
    sys.exit(main())
