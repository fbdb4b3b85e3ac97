"""Load generation: over the reducer alone, or over running processes."""

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

_ANSWER_S = 60.0
_MS_PER_S = 1000
_SETTLE_MS = 60_000
_OK = 200
_ACCEPTED = 202
_WIDTH = 120
_REPORT = pathlib.Path('run/load')
_FAMILIES = ('submitted', 'refused', 'completed', 'cancelled', 'retried')

application = typer.Typer(
    add_completion=False, no_args_is_help=True, help=__doc__
)

MixArgument = Annotated[pathlib.Path, typer.Argument(metavar='MIX')]
ReportOption = Annotated[
    pathlib.Path, typer.Option('--report', help='Folder for the report.')
]

FaultsOption = Annotated[
    pathlib.Path | None,
    typer.Option('--faults', help='JSON file of what goes wrong.'),
]


@application.command('replay')
def run_replay(
    path: MixArgument,
    seed: int = 1,
    faults: FaultsOption = None,
    folder: ReportOption = _REPORT,
) -> None:
    """Replay a mix over the reducer: without and with its flood.

    The same arrivals are given to a first-come first-fit baseline, which
    knows no faults.
    """
    flooded = _load(path, faults)
    calm = msgspec.structs.replace(flooded, flood=None)
    runs = [
        _replay_one('calm', calm, seed),
        _replay_baseline('first fit, calm', calm, seed),
    ]
    if flooded.flood is not None:
        runs.append(_replay_one('flood', flooded, seed))
        runs.append(_replay_baseline('first fit, flood', flooded, seed))
    _finish(report.Report(_command(), seed, tuple(runs)), folder)


@application.command('run')
def run_processes(
    path: MixArgument,
    entries: Annotated[str, typer.Option(envvar='MULBERRYWALK_ENTRIES')],
    seed: int = 1,
    faults: FaultsOption = None,
    is_calm: Annotated[
        bool, typer.Option('--calm', help='Leave the flood out.')
    ] = False,
    folder: ReportOption = _REPORT,
) -> None:
    """Submit a mix to running entries, open loop, and time the answers.

    Arrivals do not wait for answers; waits count from the intended start.
    """
    planned = _load(path, faults)
    if is_calm:
        planned = msgspec.structs.replace(planned, flood=None)
    addresses = tuple(entries.split(','))
    began_at = time.monotonic()
    before = _read_costs(addresses)
    metrics = anyio.run(_submit_all, planned, addresses, seed)
    seconds = time.monotonic() - began_at
    control = report.compare_costs(
        before, _read_costs(addresses), metrics.starts, seconds
    )
    run = msgspec.structs.replace(
        report.summarize('processes', metrics), control=control
    )
    _finish(report.Report(_command(), seed, (run,)), folder)


def _read_costs(addresses: tuple[str, ...]) -> report.ProcessCosts:
    """Return what each process has consumed, as the leader was told."""
    url = f'http://{addresses[0]}/v1/members'
    shown = httpx.get(url, timeout=_ANSWER_S).json()
    rows = [*shown.get('replicas', ()), *shown.get('entries', ())]
    return {
        row.get('process') or row['identity']: msgspec.convert(
            row['cost'], cost.Cost
        )
        for row in rows
        if row['cost']
    }


def _load(path: pathlib.Path, faults: pathlib.Path | None) -> mix.Mix:
    planned = mix.load(path)
    if faults is None:
        return planned
    return msgspec.structs.replace(planned, faults=mix.load_faults(faults))


def _replay_one(name: str, planned: mix.Mix, seed: int) -> report.RunReport:
    running = replay.Replay(planned.fleet_plan())
    until = planned.duration_ms + _SETTLE_MS
    return report.summarize(
        name, running.run(mix.generate_arrivals(planned, seed), until)
    )


def _replay_baseline(
    name: str, planned: mix.Mix, seed: int
) -> report.RunReport:
    running = baseline.FirstFit(planned.fleet_plan())
    until = planned.duration_ms + _SETTLE_MS
    return report.summarize(
        name, running.run(mix.generate_arrivals(planned, seed), until)
    )


async def _submit_all(
    planned: mix.Mix, addresses: tuple[str, ...], seed: int
) -> replay.RunMetrics:
    metrics = replay.RunMetrics()
    turns = itertools.cycle(addresses)
    # No bound: a request that waited for a connection of a flood's would
    # be counted as waiting for the cell.
    limits = httpx.Limits(max_connections=None)
    began_at = time.monotonic()
    async with (
        httpx.AsyncClient(timeout=_ANSWER_S, limits=limits) as client,
        anyio.create_task_group() as group,
    ):
        for arrival in mix.generate_arrivals(planned, seed):
            due_at = began_at + arrival.submit_at / _MS_PER_S
            await anyio.sleep(max(0, due_at - time.monotonic()))
            url = f'http://{next(turns)}/v1/jobs?wait={_ANSWER_S}'
            group.start_soon(submit, client, url, arrival, due_at, metrics)
    return metrics


async def submit(
    client: httpx.AsyncClient,
    url: str,
    arrival: replay.Arrival,
    due_at: float,
    metrics: replay.RunMetrics,
) -> None:
    """Submit a job, wait for its answer and count what it tells.

    due_at is the intended start on the monotonic clock, in seconds.
    """
    count = len(arrival.specification.tasks)
    metrics.submitted[arrival.label] += count
    body = msgspec.json.encode(arrival.specification)
    try:
        answered = await client.post(url, content=body)
    except httpx.TransportError:
        return
    if answered.status_code == _ACCEPTED:
        # Still waiting or running when the answer was due: not refused.
        return
    if answered.status_code != _OK:
        metrics.refused[arrival.label] += count
        return
    ended = answered.json()
    if not ended.get('ended_at'):
        return
    if ended['state'] == job.JobState.CANCELLED.value:
        metrics.cancelled[arrival.label] += count
        return
    attempts = sum(task['attempts'] for task in ended['tasks'])
    metrics.retried[arrival.label] += attempts - count
    answer_ms = round((time.monotonic() - due_at) * _MS_PER_S)
    metrics.waits[arrival.label].append(max(0, answer_ms - arrival.run_ms))
    metrics.completed[arrival.label] += count
    metrics.starts += count


def _finish(made: report.Report, folder: pathlib.Path) -> None:
    report.write(made, folder)
    table = Table(
        'run', 'work', *_FAMILIES, 'wait p50', 'wait p99', 'wait max', 'packed'
    )
    for run in made.runs:
        for work in run.works:
            cells = msgspec.structs.astuple(work)
            texts = [str(cell) for cell in cells]
            table.add_row(run.name, *texts, f'{run.packed_percent} %')
    console = Console(width=_WIDTH)
    console.print(table)
    costs = Table('process', 'ms', 'ms per start', 'MB', 'control bytes/s')
    for spent in made.runs[0].control:
        costs.add_row(*map(str, msgspec.structs.astuple(spent)))
    if costs.rows:
        console.print(costs)


def _command() -> str:
    return ' '.join(('mulberrywalk-load', *sys.argv[1:]))


def main() -> None:
    """Run the command line."""
    application()


if __name__ == '__main__':
    main()
