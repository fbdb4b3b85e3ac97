"""The demo: a morning's workload on a cell on one machine, with failures.

Starts a cell, submits every kind of job through the public interface, kills
the leader and a target during the workload, and checks the targets' history.
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
TASK_MEMORY_BYTES = 1_073_741_824
MATCH_COUNT = 120
MATCH_INTERVAL_S = 0.15
SORT_TASK_COUNT = 200
GANG_TASK_COUNT = 12
MS_PER_S = 1000
MAX_WAIT_S = 60.0
_MAX_SUBMISSIONS = 12
_RETRY_DELAY_S = 0.3
_RUN_FOLDER = pathlib.Path('run/demo')
_TARGET_COUNT = 24
_MAX_TIMELINE_LINES = 40
_PERCENTILES = (50, 99)
_CONSOLE_WIDTH = 112
_TABLE_COLUMNS = (
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
class TaskSpec:
    """The resources, run time and label of each task of a job."""

    millicores: int
    run_ms: int
    label: str


@dataclasses.dataclass(frozen=True)
class JobRequest:
    """A job to submit; wait_s is how long the entry may hold the answer."""

    kind: str
    request_id: str
    body: dict[str, Any]
    wait_s: float


@dataclasses.dataclass
class JobReport:
    """The last answer that a caller received about one job.

    latency_ms counts from the first submission to this answer.
    """

    kind: str
    request_id: str
    outcome: str
    body: dict[str, Any]
    latency_ms: float


class Workload:
    """Submits jobs and collects the last answer to each."""

    def __init__(self, running_cell: cell.Cell) -> None:
        """Start without reports; jobs go to the entries of a running cell."""
        self.reports: list[JobReport] = []
        self._cell = running_cell
        self._lock = threading.Lock()

    def submit(self, request: JobRequest) -> None:
        """Submit a job, with retries, and store the last answer."""
        job = {'request_id': request.request_id, 'team': TEAM, **request.body}
        started_at = time.monotonic()
        response = self._submit_until_known(job, request.wait_s)
        latency_ms = (time.monotonic() - started_at) * MS_PER_S
        report = JobReport(
            request.kind,
            request.request_id,
            _outcome_of(response),
            response,
            latency_ms,
        )
        with self._lock:
            self.reports.append(report)

    def _submit_until_known(
        self, job: dict[str, Any], wait_s: float
    ) -> dict[str, Any]:
        """Send the job to each entry in turn until its outcome is known.

        The request id stays the same, so that a retry creates no second job.
        Gives up after _MAX_SUBMISSIONS and returns the last response.
        """
        response: dict[str, Any] = {'outcome': 'unknown'}
        entries = self._cell.entry_addresses
        for attempt in range(_MAX_SUBMISSIONS):
            address = entries[attempt % len(entries)]
            url = f'http://{address}/v1/jobs?wait={wait_s}'
            try:
                response = httpx.post(
                    url, json=job, timeout=wait_s + MAX_WAIT_S
                ).json()
            except (httpx.HTTPError, ValueError):
                response = {'outcome': 'unknown'}
            if response['outcome'] in {'job', 'accepted'}:
                return response
            time.sleep(_RETRY_DELAY_S)
        return response


def main() -> int:
    """Run the demo; returns zero if the checks find no violation."""
    shutil.rmtree(_RUN_FOLDER, ignore_errors=True)
    running_cell = cell.Cell(
        cell.Plan(_RUN_FOLDER.absolute(), targets=_TARGET_COUNT)
    )
    console = Console(width=_CONSOLE_WIDTH)
    console.print('starting 3 replicas, 2 entries and 24 targets')
    with contextlib.ExitStack() as stack:
        stack.callback(running_cell.stop)
        running_cell.start()
        workload = Workload(running_cell)
        killed_at = _run_workload(running_cell, workload, console)
        violations = _find_violations(running_cell, workload, killed_at)
        _print_summary(running_cell, workload, console)
    for violation in violations:
        console.print(f'[red]{violation}')
    console.print(f'lost, duplicated or over capacity: {len(violations)}')
    return 1 if violations else 0


def _run_workload(
    running_cell: cell.Cell, workload: Workload, console: Console
) -> dict[str, int]:
    with futures.ThreadPoolExecutor(MATCH_COUNT) as callers:
        pending = [
            callers.submit(workload.submit, request)
            for request in _background_requests()
        ]
        for number in range(MATCH_COUNT):
            pending.append(
                callers.submit(workload.submit, _match_request(number))
            )
            time.sleep(MATCH_INTERVAL_S)
            if number == MATCH_COUNT // 3:
                _kill(running_cell, running_cell.leader(), console)
            if number == MATCH_COUNT // 2:
                _kill(running_cell, 'target-3', console)
        for future in pending:
            future.result()
    return {
        name: process.killed_at
        for name, process in running_cell.processes.items()
        if process.killed_at
    }


def _kill(running_cell: cell.Cell, name: str, console: Console) -> None:
    console.print(f'killing {name}')
    running_cell.processes[name].kill()


def _match_request(number: int) -> JobRequest:
    spec = TaskSpec(millicores=500, run_ms=20, label=f'match {number}')
    body = {'kind': 'request', 'urgency': 'critical', **_tasks(1, spec)}
    return JobRequest('swatch match', f'match-{number}', body, MAX_WAIT_S)


def _background_requests() -> Iterator[JobRequest]:
    hide_spec = TaskSpec(millicores=3000, run_ms=1500, label='hide')
    sort_body = {
        'kind': 'batch',
        'urgency': 'low',
        **_tasks(SORT_TASK_COUNT, hide_spec),
    }
    yield JobRequest('hide sort', 'sort-1', sort_body, MAX_WAIT_S)
    press_spec = TaskSpec(millicores=4000, run_ms=1000, label='press')
    gang_body = {
        'kind': 'gang',
        'urgency': 'normal',
        **_tasks(GANG_TASK_COUNT, press_spec),
    }
    yield JobRequest('gang', 'gang-1', gang_body, MAX_WAIT_S)
    lot_spec = TaskSpec(millicores=500, run_ms=30, label='lot 7')
    hold_body = {'kind': 'request', 'urgency': 'high', **_tasks(1, lot_spec)}
    yield JobRequest(
        'lot hold', 'hold-1', {**hold_body, 'idempotent': False}, MAX_WAIT_S
    )
    watch_spec = TaskSpec(millicores=500, run_ms=3_600_000, label='watch')
    watch_body = {'kind': 'service', 'urgency': 'high', **_tasks(4, watch_spec)}
    yield JobRequest('lot watch', 'watch-1', watch_body, 0)


def _tasks(count: int, spec: TaskSpec) -> dict[str, Any]:
    return {'tasks': [_task(number, spec) for number in range(count)]}


def _task(number: int, spec: TaskSpec) -> dict[str, Any]:
    payload = {'run_ms': spec.run_ms, 'label': f'{spec.label} {number}'}
    return {
        'millicores': spec.millicores,
        'memory_bytes': TASK_MEMORY_BYTES,
        'estimate_ms': spec.run_ms,
        'payload': json.dumps(payload),
    }


def _outcome_of(response: dict[str, Any]) -> str:
    if response['outcome'] == 'job':
        return str(response['state'])
    return str(response['outcome'])


def _find_violations(
    running_cell: cell.Cell, workload: Workload, killed_at: dict[str, int]
) -> list[str]:
    """Return a message for each violation.

    Violations are lost jobs, tasks that overlap or ran twice, targets over
    capacity, and answers that belong to another job.
    """
    runs = audit.read(running_cell.history, killed_at)
    violations = audit.check_overlaps(runs)
    violations.extend(audit.check_capacity(runs, cell.CAPACITY))
    jobs = {report.request_id: report for report in workload.reports}
    violations.extend(
        f'{report.request_id} was lost: outcome {report.outcome}'
        for report in jobs.values()
        if report.outcome not in {'completed', 'accepted'}
    )
    violations.extend(_check_answers(workload))
    holds = [run for run in runs if run.job == jobs['hold-1'].body.get('job')]
    if len(holds) > 1:
        violations.append(f'the non-idempotent lot hold ran {len(holds)} times')
    return violations


def _check_answers(workload: Workload) -> Iterator[str]:
    """Yield a message for each match that received another job's answer."""
    for report in workload.reports:
        if report.kind != 'swatch match' or report.outcome != 'completed':
            continue
        number = report.request_id.partition('-')[2]
        answer = json.loads(report.body['tasks'][0]['answer'])
        if answer['label'] != f'match {number} 0':
            yield f'{report.request_id} received the answer of another job'


def _print_summary(
    running_cell: cell.Cell, workload: Workload, console: Console
) -> None:
    table = Table(*_TABLE_COLUMNS)
    for kind in dict.fromkeys(report.kind for report in workload.reports):
        table.add_row(*_summary_row(kind, workload.reports))
    console.print(table)
    selected = _most_attempted(workload)
    console.print(f'timeline of {selected.request_id}')
    job = selected.body['job']
    for line in _collect_timeline(running_cell, job)[:_MAX_TIMELINE_LINES]:
        wall_s = clock.wall_of(line.clock) / MS_PER_S
        time_of_day = time.strftime('%H:%M:%S', time.gmtime(wall_s))
        fields = (line.process, line.what, line.attempt, line.detail)
        console.print(time_of_day, *fields)


def _collect_timeline(running_cell: cell.Cell, job: str) -> list[journal.Line]:
    """Return the events of a job from all processes, in causal order."""
    answers = [
        running_cell.get(f'/v1/timeline?job={job}', entry)
        for entry, _ in enumerate(running_cell.entry_addresses)
    ]
    lines = [line for answer in answers for line in answer['lines']]
    return journal.merge(msgspec.convert(lines, type=list[journal.Line]))


def _most_attempted(workload: Workload) -> JobReport:
    """Return the swatch match that needed the most attempts.

    On a tie, the latest is returned: the timeline of an earlier one may be
    incomplete, because a leader keeps its events in memory and loses them
    when it is killed.
    """
    matches = [
        report for report in workload.reports if report.kind == 'swatch match'
    ]
    return max(matches, key=_attempts_and_number)


def _attempts_and_number(report: JobReport) -> tuple[int, int]:
    number = int(report.request_id.partition('-')[2])
    return report.body['tasks'][0]['attempts'], number


def _summary_row(kind: str, reports: list[JobReport]) -> list[str]:
    matching = [report for report in reports if report.kind == kind]
    finished = [report for report in matching if 'tasks' in report.body]
    waits = sorted(
        task['started_at'] - report.body['submitted_at']
        for report in finished
        for task in report.body['tasks']
    )
    latencies = sorted(round(report.latency_ms) for report in finished)
    outcome_counts = [
        sum(report.outcome == outcome for report in matching)
        for outcome in ('completed', 'accepted', 'not_run', 'unknown')
    ]
    percentiles = [_percentile(waits, percent) for percent in _PERCENTILES]
    percentiles.extend(
        _percentile(latencies, percent) for percent in _PERCENTILES
    )
    return [kind, str(len(matching)), *map(str, outcome_counts), *percentiles]


def _percentile(ordered: list[int], percent: int) -> str:
    if not ordered:
        return '-'
    index = min(len(ordered) - 1, len(ordered) * percent // 100)
    return str(ordered[index])


if __name__ == '__main__':
    sys.exit(main())
