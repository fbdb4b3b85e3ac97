"""Load generator for simulated cells and for running processes."""

from __future__ import annotations

import itertools
import pathlib
import sys
import time
from typing import Annotated

import anyio
import httpx
import msgspec
import typer
from rich.console import Console
from rich.table import Table

from ..core import job
from ..telemetry import cost
from . import baseline, mix, replay, report

_ANSWER_TIMEOUT_S = 60.0
_MS_PER_S = 1000
_SETTLE_MS = 60_000
_HTTP_OK = 200
_HTTP_ACCEPTED = 202
_TABLE_WIDTH = 120
_DEFAULT_REPORT_FOLDER = pathlib.Path('run/load')
_COUNTER_COLUMNS = ('submitted', 'refused', 'completed', 'cancelled', 'retried')

application = typer.Typer(
    add_completion=False, no_args_is_help=True, help=__doc__
)

MixArgument = Annotated[pathlib.Path, typer.Argument(metavar='MIX')]
ReportOption = Annotated[
    pathlib.Path, typer.Option('--report', help='Output folder of the report.')
]

FaultsOption = Annotated[
    pathlib.Path | None,
    typer.Option('--faults', help='JSON file with faults to inject.'),
]


@application.command('replay')
def run_replay(
    path: MixArgument,
    seed: int = 1,
    faults: FaultsOption = None,
    folder: ReportOption = _DEFAULT_REPORT_FOLDER,
) -> None:
    """Simulate a mix on the reducer, without and with its flood.

    The same arrivals also run on the first-fit baseline, which ignores the
    faults.
    """
    with_flood = _load_mix(path, faults)
    without_flood = msgspec.structs.replace(with_flood, flood=None)
    runs = [
        _replay_reducer('calm', without_flood, seed),
        _replay_baseline('first fit, calm', without_flood, seed),
    ]
    if with_flood.flood is not None:
        runs.append(_replay_reducer('flood', with_flood, seed))
        runs.append(_replay_baseline('first fit, flood', with_flood, seed))
    _publish(report.Report(_command(), seed, tuple(runs)), folder)


@application.command('run')
def run_processes(
    path: MixArgument,
    entries: Annotated[str, typer.Option(envvar='MULBERRYWALK_ENTRIES')],
    seed: int = 1,
    faults: FaultsOption = None,
    is_calm: Annotated[
        bool, typer.Option('--calm', help='Run without the flood.')
    ] = False,
    folder: ReportOption = _DEFAULT_REPORT_FOLDER,
) -> None:
    """Submit a mix to running entries and measure response times.

    The load is open-loop: arrivals do not wait for earlier answers, and
    waiting time counts from the scheduled submission.
    """
    workload_mix = _load_mix(path, faults)
    if is_calm:
        workload_mix = msgspec.structs.replace(workload_mix, flood=None)
    addresses = tuple(entries.split(','))
    began_at = time.monotonic()
    before = _read_costs(addresses)
    metrics = anyio.run(_submit_all, workload_mix, addresses, seed)
    seconds = time.monotonic() - began_at
    control = report.compare_costs(
        before, _read_costs(addresses), metrics.starts, seconds
    )
    run = msgspec.structs.replace(
        report.summarize('processes', metrics), control=control
    )
    _publish(report.Report(_command(), seed, (run,)), folder)


def _read_costs(addresses: tuple[str, ...]) -> report.ProcessCosts:
    """Return the resource use that each process reported to the leader."""
    url = f'http://{addresses[0]}/v1/members'
    members = httpx.get(url, timeout=_ANSWER_TIMEOUT_S).json()
    rows = [*members.get('replicas', ()), *members.get('entries', ())]
    return {
        row.get('process') or row['identity']: msgspec.convert(
            row['cost'], cost.Cost
        )
        for row in rows
        if row['cost']
    }


def _load_mix(path: pathlib.Path, faults: pathlib.Path | None) -> mix.Mix:
    workload_mix = mix.load(path)
    if faults is None:
        return workload_mix
    return msgspec.structs.replace(workload_mix, faults=mix.load_faults(faults))


def _replay_reducer(
    name: str, workload_mix: mix.Mix, seed: int
) -> report.RunReport:
    scheduler = replay.Replay(workload_mix.fleet_plan())
    until = workload_mix.duration_ms + _SETTLE_MS
    return report.summarize(
        name, scheduler.run(mix.generate_arrivals(workload_mix, seed), until)
    )


def _replay_baseline(
    name: str, workload_mix: mix.Mix, seed: int
) -> report.RunReport:
    scheduler = baseline.FirstFit(workload_mix.fleet_plan())
    until = workload_mix.duration_ms + _SETTLE_MS
    return report.summarize(
        name, scheduler.run(mix.generate_arrivals(workload_mix, seed), until)
    )


async def _submit_all(
    workload_mix: mix.Mix, addresses: tuple[str, ...], seed: int
) -> replay.RunMetrics:
    metrics = replay.RunMetrics()
    address_cycle = itertools.cycle(addresses)
    # Unlimited connections: otherwise the time that a request waits for a
    # free connection during a flood would count as waiting for the cell.
    limits = httpx.Limits(max_connections=None)
    began_at = time.monotonic()
    async with (
        httpx.AsyncClient(timeout=_ANSWER_TIMEOUT_S, limits=limits) as client,
        anyio.create_task_group() as group,
    ):
        for arrival in mix.generate_arrivals(workload_mix, seed):
            due_at = began_at + arrival.submit_at / _MS_PER_S
            await anyio.sleep(max(0, due_at - time.monotonic()))
            url = (
                f'http://{next(address_cycle)}/v1/jobs?wait={_ANSWER_TIMEOUT_S}'
            )
            group.start_soon(submit, client, url, arrival, due_at, metrics)
    return metrics


async def submit(
    client: httpx.AsyncClient,
    url: str,
    arrival: replay.Arrival,
    due_at: float,
    metrics: replay.RunMetrics,
) -> None:
    """Submit a job, wait for the response and record the outcome.

    due_at is the scheduled submission on the monotonic clock, in seconds.
    """
    count = len(arrival.specification.tasks)
    metrics.submitted[arrival.label] += count
    body = msgspec.json.encode(arrival.specification)
    try:
        response = await client.post(url, content=body)
    except httpx.TransportError:
        return
    if response.status_code == _HTTP_ACCEPTED:
        # The job was still waiting or running at the timeout: not refused.
        return
    if response.status_code != _HTTP_OK:
        metrics.refused[arrival.label] += count
        return
    status = response.json()
    if not status.get('ended_at'):
        return
    if status['state'] == job.JobState.CANCELLED.value:
        metrics.cancelled[arrival.label] += count
        return
    attempts = sum(task['attempts'] for task in status['tasks'])
    metrics.retried[arrival.label] += attempts - count
    answer_ms = round((time.monotonic() - due_at) * _MS_PER_S)
    metrics.waits[arrival.label].append(max(0, answer_ms - arrival.run_ms))
    metrics.completed[arrival.label] += count
    metrics.starts += count


def _publish(load_report: report.Report, folder: pathlib.Path) -> None:
    report.write(load_report, folder)
    table = Table(
        'run',
        'work',
        *_COUNTER_COLUMNS,
        'wait p50',
        'wait p99',
        'wait max',
        'packed',
    )
    for run in load_report.runs:
        for workload in run.works:
            cells = msgspec.structs.astuple(workload)
            texts = [str(cell) for cell in cells]
            table.add_row(run.name, *texts, f'{run.packed_percent} %')
    console = Console(width=_TABLE_WIDTH)
    console.print(table)
    costs = Table('process', 'ms', 'ms per start', 'MB', 'control bytes/s')
    for process_cost in load_report.runs[0].control:
        costs.add_row(*map(str, msgspec.structs.astuple(process_cost)))
    if costs.rows:
        console.print(costs)


def _command() -> str:
    return ' '.join(('mulberrywalk-load', *sys.argv[1:]))


def main() -> None:
    """Run the command line."""
    application()


if __name__ == '__main__':
    main()
