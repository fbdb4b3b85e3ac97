"""Measures the start delay of urgent tasks after kills; run by make kills.

The result for a kill is the longest time from the kill, or from the submission
if that is later, to the start of the attempt that completed the task.
"""

from __future__ import annotations

import contextlib
import json
import pathlib
import shutil
import sys
import threading
import time
from typing import Any

import httpx
from rich.console import Console
from rich.table import Table

from demo import cell

KILLS = 20
MAX_START_DELAY_MS = 5300
_FOLDER = pathlib.Path('run/kills')
_SUBMIT_INTERVAL_S = 0.1
_OBSERVATION_S = 7.0
_CALLERS = 4
_RUN_MS = 400
_RETRY_S = 0.1
_DEADLINE_S = 30.0
_MS_PER_S = 1000


class UrgentCallers:
    """Callers that submit urgent requests one after another."""

    def __init__(self, running: cell.Cell) -> None:
        """Start the callers."""
        self.start_times: list[tuple[float, float]] = []
        self.lost = 0
        self._cell = running
        self._is_stopping = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run_caller, args=(number,), daemon=True
            )
            for number in range(_CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Wait for the requests in progress."""
        self._is_stopping.set()
        for thread in self._threads:
            thread.join()

    def _run_caller(self, caller: int) -> None:
        number = 0
        with httpx.Client(timeout=_DEADLINE_S) as client:
            while not self._is_stopping.is_set():
                number += 1
                self._submit(client, f'u{caller}-{number}', number)
                time.sleep(_SUBMIT_INTERVAL_S)

    def _submit(
        self, client: httpx.Client, request_id: str, sequence: int
    ) -> None:
        payload = json.dumps({'run_ms': _RUN_MS, 'label': request_id})
        body = {
            'request_id': request_id,
            'team': 'counter',
            'kind': 'request',
            'urgency': 'critical',
            'tasks': [
                {
                    'millicores': 500,
                    'memory_bytes': 1 << 20,
                    'payload': payload,
                }
            ],
        }
        submitted_at = time.time() * _MS_PER_S
        job = self._submit_until_completed(client, body, sequence)
        if job is None:
            self.lost += 1
            return
        attempt = job['tasks'][0]['attempts'][-1]
        self.start_times.append((submitted_at, attempt['started_at']))

    def _submit_until_completed(
        self, client: httpx.Client, body: dict[str, Any], sequence: int
    ) -> dict[str, Any] | None:
        deadline = time.monotonic() + _DEADLINE_S
        entries = self._cell.entry_addresses
        while time.monotonic() < deadline:
            sequence += 1
            base = f'http://{entries[sequence % len(entries)]}/v1/jobs'
            try:
                response = client.post(f'{base}?wait=10', json=body).json()
                job = response.get('job', '')
                explanation = client.get(f'{base}/{job}/explanation').json()
            except (httpx.TransportError, ValueError):
                explanation = {}
            if explanation.get('state') == 'completed':
                return dict(explanation)
            time.sleep(_RETRY_S)
        return None


def main() -> int:
    """Kill leaders, entries and targets; return 0 within the limit."""
    table = Table('killed', 'kills', 'p50 ms', 'p90 ms', 'max ms', 'lost')
    worst = 0
    lost = 0
    for kind in ('leader', 'entry', 'target'):
        delays, lost_requests = measure(kind)
        worst = max(worst, delays[-1])
        lost += lost_requests
        table.add_row(
            kind,
            str(len(delays)),
            str(delays[len(delays) // 2]),
            str(delays[len(delays) * 9 // 10]),
            str(delays[-1]),
            str(lost_requests),
        )
    Console().print(table)
    return int(worst > MAX_START_DELAY_MS or lost > 0)


def measure(kind: str) -> tuple[list[int], int]:
    """Return the sorted delays in ms and the number of lost requests."""
    shutil.rmtree(_FOLDER, ignore_errors=True)
    plan = cell.Plan(_FOLDER.absolute(), entries=3, targets=8)
    running = cell.Cell(plan)
    with contextlib.ExitStack() as stack:
        stack.callback(running.stop)
        running.start()
        urgent = UrgentCallers(running)
        delays = sorted(
            _kill_once(running, urgent, kind, sequence)
            for sequence in range(KILLS)
        )
        urgent.stop()
    return delays, urgent.lost


def _kill_once(
    running: cell.Cell, urgent: UrgentCallers, kind: str, sequence: int
) -> int:
    names = {
        'leader': running.leader(),
        'entry': f'entry-{sequence % 3}',
        'target': f'target-{sequence % 8}',
    }
    process = running.processes[names[kind]]
    time.sleep(1)
    killed_at = time.time() * _MS_PER_S
    process.kill()
    time.sleep(_OBSERVATION_S)
    process.start()
    time.sleep(2)
    start_delays = [
        started_at - max(submitted_at, killed_at)
        for submitted_at, started_at in list(urgent.start_times)
        if started_at > killed_at
        and submitted_at < killed_at + _OBSERVATION_S * _MS_PER_S
    ]
    return round(max(start_delays, default=0))


if __name__ == '__main__':
    sys.exit(main())
