"""The operator's and caller's command line.

Exit codes: 0 done, 1 refused or ended badly, 2 wrong usage, 3 no answer.
"""

from __future__ import annotations

import json
import pathlib
import sys
import time
import uuid
from collections.abc import Iterable
from typing import Annotated, Any

import httpx
import msgspec
import typer
from rich.console import Console
from rich.table import Table

from ..telemetry import clock, journal

EXIT_REFUSED = 1
EXIT_NO_ANSWER = 3
_ANSWER_S = 15.0
_ENTRIES = '127.0.0.1:8080'
_MS_PER_S = 1000
_WIDTH = 132
_REFUSALS = frozenset(
    (
        'not_run',
        'unavailable',
        'patch_refused',
        'invalid_request',
    )
)
_BAD_ENDS = frozenset(('failed', 'unknown', 'cancelled'))

application = typer.Typer(
    add_completion=False, no_args_is_help=True, help=__doc__
)
configuration = typer.Typer(no_args_is_help=True)
application.add_typer(
    configuration, name='config', help='Show and patch the configuration.'
)

EntriesOption = Annotated[
    str,
    typer.Option(
        '--entries',
        envvar='MULBERRYWALK_ENTRIES',
        help='HOST:PORT of entries, with commas between them.',
    ),
]
JsonOption = Annotated[bool, typer.Option('--json', help='JSON for scripts.')]
JobArgument = Annotated[str, typer.Argument(metavar='JOB')]


@application.command()
def submit(
    path: Annotated[str, typer.Argument(metavar='FILE', help='- for stdin')],
    entries: EntriesOption = _ENTRIES,
    wait: Annotated[float, typer.Option(help='Seconds.')] = 0,
    is_json: JsonOption = False,
) -> None:
    """Submit the job that a JSON file describes.

    A request id is made up when the file has none.
    """
    text = sys.stdin.read() if path == '-' else pathlib.Path(path).read_text()
    body = {'request_id': uuid.uuid4().hex, **json.loads(text)}
    answered = _ask(entries, 'POST', f'/v1/jobs?wait={wait}', body)
    _show(answered, is_json=is_json)


@application.command()
def status(
    job: JobArgument,
    entries: EntriesOption = _ENTRIES,
    wait: Annotated[float, typer.Option(help='Seconds.')] = 0,
    is_json: JsonOption = False,
) -> None:
    """Show a job and its tasks."""
    answered = _ask(entries, 'GET', f'/v1/jobs/{job}?wait={wait}')
    _show(answered, is_json=is_json, rows=answered.get('tasks'))


@application.command()
def explain(
    job: JobArgument,
    entries: EntriesOption = _ENTRIES,
    is_json: JsonOption = False,
) -> None:
    """Show why a job waits or where it ran."""
    answered = _ask(entries, 'GET', f'/v1/jobs/{job}/explanation')
    _show(answered, is_json=is_json, rows=answered.get('tasks'))


@application.command()
def cancel(
    job: JobArgument,
    entries: EntriesOption = _ENTRIES,
    is_json: JsonOption = False,
) -> None:
    """Cancel a job."""
    answered = _ask(entries, 'DELETE', f'/v1/jobs/{job}')
    _show(answered, is_json=is_json)


@application.command()
def members(
    entries: EntriesOption = _ENTRIES, is_json: JsonOption = False
) -> None:
    """Show the replicas and the entries."""
    answered = _ask(entries, 'GET', '/v1/members')
    rows = [*answered.get('replicas', ()), *answered.get('entries', ())]
    _show(answered, is_json=is_json, rows=rows)


@application.command()
def targets(
    entries: EntriesOption = _ENTRIES, is_json: JsonOption = False
) -> None:
    """Show the targets."""
    answered = _ask(entries, 'GET', '/v1/targets')
    _show(answered, is_json=is_json, rows=answered.get('targets'))


@application.command()
def drain(
    target: Annotated[str, typer.Argument(metavar='TARGET')],
    entries: EntriesOption = _ENTRIES,
    is_json: JsonOption = False,
) -> None:
    """Let a target take no new work; what runs there goes on."""
    answered = _ask(entries, 'POST', f'/v1/targets/{target}/departure', {})
    _show(answered, is_json=is_json)


@application.command()
def timeline(
    entries: EntriesOption = _ENTRIES,
    job: str = '',
    task: str = '',
    target: str = '',
    since: Annotated[int, typer.Option(help='ms since 1970')] = 0,
    until: Annotated[int, typer.Option(help='ms since 1970')] = 0,
    is_json: JsonOption = False,
) -> None:
    """Show the events of all processes in causal order."""
    wanted = journal.Filter(job, task, target, since, until)
    fields = msgspec.to_builtins(wanted)
    query = str(httpx.QueryParams(fields))
    collected: list[journal.Line] = []
    for address in entries.split(','):
        answered = _ask(address, 'GET', f'/v1/timeline?{query}')
        lines = answered.get('lines', [])
        collected.extend(msgspec.convert(lines, type=list[journal.Line]))
    merged = journal.merge(collected)
    if is_json:
        typer.echo(msgspec.json.encode(merged).decode())
        return
    _show_table([_timeline_row(line) for line in merged])


@configuration.command('show')
def show_configuration(
    entries: EntriesOption = _ENTRIES,
    reach: Annotated[
        bool, typer.Option('--reach', help='The version of each process.')
    ] = False,
    is_json: JsonOption = False,
) -> None:
    """Show the configuration in force."""
    answered = _ask(entries, 'GET', '/v1/configuration')
    versions = answered.get('reach', {})
    if reach and not is_json:
        _show_table(
            [
                {'process': process, 'version': version}
                for process, version in sorted(versions.items())
            ]
        )
        return
    _show(answered, is_json=True)


@configuration.command('patch')
def patch_configuration(
    path: Annotated[str, typer.Argument(metavar='FILE', help='- for stdin')],
    version: Annotated[int, typer.Option(help='The version to amend.')],
    entries: EntriesOption = _ENTRIES,
    request_id: Annotated[
        str, typer.Option(help='Resend under the same id.')
    ] = '',
    is_json: JsonOption = False,
) -> None:
    """Apply the JSON merge patch of a file to a version."""
    text = sys.stdin.read() if path == '-' else pathlib.Path(path).read_text()
    body = {
        'request_id': request_id or uuid.uuid4().hex,
        'version': version,
        'changes': json.loads(text),
    }
    answered = _ask(entries, 'PATCH', '/v1/configuration', body)
    _show(answered, is_json=is_json)


def _ask(
    entries: str, method: str, path: str, body: Any = None
) -> dict[str, Any]:
    """Ask the entries in turn until one answers; leave when none does."""
    for address in entries.split(','):
        try:
            answered: dict[str, Any] = httpx.request(
                method,
                f'http://{address}{path}',
                json=body,
                timeout=httpx.Timeout(_ANSWER_S, read=None),
            ).json()
        except (httpx.TransportError, ValueError) as error:
            typer.echo(f'{address}: {error}', err=True)
            continue
        if answered.get('outcome') not in {'unavailable', 'unknown'}:
            return answered
        typer.echo(f'{address}: {answered}', err=True)
    raise typer.Exit(EXIT_NO_ANSWER)


def _show(
    answered: dict[str, Any],
    *,
    is_json: bool,
    rows: list[dict[str, Any]] | None = None,
) -> None:
    """Print an answer and leave with the exit code that it calls for."""
    if is_json:
        typer.echo(json.dumps(answered))
    else:
        plain = {
            name: told
            for name, told in answered.items()
            if not isinstance(told, list | dict)
        }
        _show_table([plain])
        _show_table(rows or [])
    is_refused = answered.get('outcome') in _REFUSALS
    if is_refused or answered.get('state') in _BAD_ENDS:
        raise typer.Exit(EXIT_REFUSED)


def _show_table(rows: list[dict[str, Any]]) -> None:
    if not rows:
        return
    columns = list(dict.fromkeys(name for row in rows for name in row))
    table = Table(*columns)
    for row in rows:
        table.add_row(*_texts(row.get(column, '') for column in columns))
    console = Console()
    console.width = max(console.width, _WIDTH)
    console.print(table)


def _texts(cells: Iterable[Any]) -> list[str]:
    return [_text(cell) for cell in cells]


def _text(cell: Any) -> str:
    if isinstance(cell, dict):
        return '\n'.join(f'{name} {told}' for name, told in cell.items())
    return json.dumps(cell) if isinstance(cell, list) else str(cell)


def _timeline_row(line: journal.Line) -> dict[str, Any]:
    at = clock.wall_of(line.clock)
    seconds, milliseconds = divmod(at, _MS_PER_S)
    told = time.strftime('%H:%M:%S', time.gmtime(seconds))
    fraction = str(milliseconds).zfill(3)
    row = msgspec.to_builtins(line)
    row.pop('clock')
    return {'at': f'{told}.{fraction}', **row}


def main() -> None:
    """Run the command line."""
    application()


if __name__ == '__main__':
    main()
