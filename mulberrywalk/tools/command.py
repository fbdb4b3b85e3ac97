"""Command-line client for operators and callers.

Exit codes: 0 success, 1 request refused or job ended without success,
2 usage error, 3 no entry answered.
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
from . import team_table

EXIT_REFUSED = 1
EXIT_NO_ANSWER = 3
_TIMEOUT_S = 15.0
_DEFAULT_ENTRIES = '127.0.0.1:8080'
_MS_PER_S = 1000
_MIN_TABLE_WIDTH = 132
_REFUSED_OUTCOMES = frozenset(
    (
        'not_run',
        'unavailable',
        'patch_refused',
        'invalid_request',
    )
)
_UNSUCCESSFUL_STATES = frozenset(('failed', 'unknown', 'cancelled'))

application = typer.Typer(
    add_completion=False, no_args_is_help=True, help=__doc__
)
configuration_commands = typer.Typer(no_args_is_help=True)
application.add_typer(
    configuration_commands,
    name='config',
    help='Show and patch the configuration.',
)

EntriesOption = Annotated[
    str,
    typer.Option(
        '--entries',
        envvar='MULBERRYWALK_ENTRIES',
        help='Comma-separated HOST:PORT addresses of entries.',
    ),
]
JsonOption = Annotated[bool, typer.Option('--json', help='Print JSON.')]
JobArgument = Annotated[str, typer.Argument(metavar='JOB')]


@application.command()
def submit(
    path: Annotated[
        str,
        typer.Argument(
            metavar='FILE', help='JSON file, or - for standard input.'
        ),
    ],
    entries: EntriesOption = _DEFAULT_ENTRIES,
    wait: Annotated[
        float, typer.Option(help='Seconds to wait for the job to end.')
    ] = 0,
    is_json: JsonOption = False,
) -> None:
    """Submit the job described by a JSON file.

    A random request id is generated if the file has none.
    """
    text = sys.stdin.read() if path == '-' else pathlib.Path(path).read_text()
    body = {'request_id': uuid.uuid4().hex, **json.loads(text)}
    answer = _request(entries, 'POST', f'/v1/jobs?wait={wait}', body)
    _print_answer(answer, is_json=is_json)


@application.command()
def status(
    job: JobArgument,
    entries: EntriesOption = _DEFAULT_ENTRIES,
    wait: Annotated[
        float, typer.Option(help='Seconds to wait for the job to end.')
    ] = 0,
    is_json: JsonOption = False,
) -> None:
    """Show a job and its tasks."""
    answer = _request(entries, 'GET', f'/v1/jobs/{job}?wait={wait}')
    _print_answer(answer, is_json=is_json, rows=answer.get('tasks'))


@application.command()
def explain(
    job: JobArgument,
    entries: EntriesOption = _DEFAULT_ENTRIES,
    is_json: JsonOption = False,
) -> None:
    """Explain why a job is waiting or where it ran."""
    answer = _request(entries, 'GET', f'/v1/jobs/{job}/explanation')
    _print_answer(answer, is_json=is_json, rows=answer.get('tasks'))


@application.command()
def cancel(
    job: JobArgument,
    entries: EntriesOption = _DEFAULT_ENTRIES,
    is_json: JsonOption = False,
) -> None:
    """Cancel a job."""
    answer = _request(entries, 'DELETE', f'/v1/jobs/{job}')
    _print_answer(answer, is_json=is_json)


@application.command()
def members(
    entries: EntriesOption = _DEFAULT_ENTRIES, is_json: JsonOption = False
) -> None:
    """Show the replicas and the entries."""
    answer = _request(entries, 'GET', '/v1/members')
    rows = [*answer.get('replicas', ()), *answer.get('entries', ())]
    _print_answer(answer, is_json=is_json, rows=rows)


@application.command()
def targets(
    entries: EntriesOption = _DEFAULT_ENTRIES, is_json: JsonOption = False
) -> None:
    """Show the targets."""
    answer = _request(entries, 'GET', '/v1/targets')
    _print_answer(answer, is_json=is_json, rows=answer.get('targets'))


@application.command()
def teams(
    entries: EntriesOption = _DEFAULT_ENTRIES, is_json: JsonOption = False
) -> None:
    """Show what each team holds, may hold, waits for and was refused."""
    answer = _request(entries, 'GET', '/v1/teams')
    if is_json or answer.get('outcome') != 'teams':
        _print_answer(answer, is_json=is_json)
        return
    _print_table(team_table.make_rows(answer))
    _print_table(team_table.make_refusal_rows(answer))
    for note in team_table.make_notes(answer):
        typer.echo(note)


@application.command()
def drain(
    target: Annotated[str, typer.Argument(metavar='TARGET')],
    entries: EntriesOption = _DEFAULT_ENTRIES,
    is_json: JsonOption = False,
) -> None:
    """Stop placing tasks on a target; its running tasks continue."""
    answer = _request(entries, 'POST', f'/v1/targets/{target}/departure', {})
    _print_answer(answer, is_json=is_json)


@application.command()
def timeline(
    entries: EntriesOption = _DEFAULT_ENTRIES,
    job: str = '',
    task: str = '',
    target: str = '',
    since: Annotated[int, typer.Option(help='Milliseconds since 1970.')] = 0,
    until: Annotated[int, typer.Option(help='Milliseconds since 1970.')] = 0,
    is_json: JsonOption = False,
) -> None:
    """Show the events of all processes, merged in causal order."""
    event_filter = journal.Filter(job, task, target, since, until)
    fields = msgspec.to_builtins(event_filter)
    query = str(httpx.QueryParams(fields))
    collected: list[journal.Line] = []
    for address in entries.split(','):
        answer = _request(address, 'GET', f'/v1/timeline?{query}')
        lines = answer.get('lines', [])
        collected.extend(msgspec.convert(lines, type=list[journal.Line]))
    merged = journal.merge(collected)
    if is_json:
        typer.echo(msgspec.json.encode(merged).decode())
        return
    _print_table([_timeline_row(line) for line in merged])


@configuration_commands.command('show')
def show_configuration(
    entries: EntriesOption = _DEFAULT_ENTRIES,
    reach: Annotated[
        bool, typer.Option('--reach', help='Show the version of each process.')
    ] = False,
    is_json: JsonOption = False,
) -> None:
    """Show the current configuration."""
    answer = _request(entries, 'GET', '/v1/configuration')
    versions = answer.get('reach', {})
    if reach and not is_json:
        _print_table(
            [
                {'process': process, 'version': version}
                for process, version in sorted(versions.items())
            ]
        )
        return
    _print_answer(answer, is_json=True)


@configuration_commands.command('patch')
def patch_configuration(
    path: Annotated[
        str,
        typer.Argument(
            metavar='FILE', help='JSON file, or - for standard input.'
        ),
    ],
    version: Annotated[
        int, typer.Option(help='Version that the patch is based on.')
    ],
    entries: EntriesOption = _DEFAULT_ENTRIES,
    request_id: Annotated[
        str, typer.Option(help='Use the same id to retry a patch.')
    ] = '',
    is_json: JsonOption = False,
) -> None:
    """Apply a JSON merge patch from a file to the configuration."""
    text = sys.stdin.read() if path == '-' else pathlib.Path(path).read_text()
    body = {
        'request_id': request_id or uuid.uuid4().hex,
        'version': version,
        'changes': json.loads(text),
    }
    answer = _request(entries, 'PATCH', '/v1/configuration', body)
    _print_answer(answer, is_json=is_json)


def _request(
    entries: str, method: str, path: str, body: Any = None
) -> dict[str, Any]:
    """Send a request to the entries in turn until one answers it.

    Raises typer.Exit if none does.
    """
    for address in entries.split(','):
        try:
            answer: dict[str, Any] = httpx.request(
                method,
                f'http://{address}{path}',
                json=body,
                timeout=httpx.Timeout(_TIMEOUT_S, read=None),
            ).json()
        except (httpx.TransportError, ValueError) as error:
            typer.echo(f'{address}: request failed: {error}', err=True)
            continue
        if answer.get('outcome') not in {'unavailable', 'unknown'}:
            return answer
        typer.echo(f'{address}: {_format_unconfirmed(answer)}', err=True)
    raise typer.Exit(EXIT_NO_ANSWER)


def _format_unconfirmed(answer: dict[str, Any]) -> str:
    detail = answer.get('detail') or answer.get('message')
    request_id = answer.get('request_id')
    shown_id = f' (request id {request_id})' if request_id else ''
    return f'no leader confirmed the request: {detail}{shown_id}'


def _print_answer(
    answer: dict[str, Any],
    *,
    is_json: bool,
    rows: list[dict[str, Any]] | None = None,
) -> None:
    """Print an answer; raises typer.Exit if it reports a failure."""
    if is_json:
        typer.echo(json.dumps(answer))
    else:
        scalars = {
            name: field
            for name, field in answer.items()
            if not isinstance(field, list | dict)
        }
        _print_table([scalars])
        _print_table(rows or [])
    is_refused = answer.get('outcome') in _REFUSED_OUTCOMES
    if is_refused or answer.get('state') in _UNSUCCESSFUL_STATES:
        raise typer.Exit(EXIT_REFUSED)


def _print_table(rows: list[dict[str, Any]]) -> None:
    if not rows:
        return
    columns = list(dict.fromkeys(name for row in rows for name in row))
    table = Table(*columns)
    for row in rows:
        table.add_row(*_format_cells(row.get(column, '') for column in columns))
    console = Console()
    console.width = max(console.width, _MIN_TABLE_WIDTH)
    console.print(table)


def _format_cells(cells: Iterable[Any]) -> list[str]:
    return [_format_cell(cell) for cell in cells]


def _format_cell(cell: Any) -> str:
    if isinstance(cell, dict):
        return '\n'.join(f'{name} {field}' for name, field in cell.items())
    return json.dumps(cell) if isinstance(cell, list) else str(cell)


def _timeline_row(line: journal.Line) -> dict[str, Any]:
    wall_ms = clock.wall_of(line.clock)
    seconds, milliseconds = divmod(wall_ms, _MS_PER_S)
    time_of_day = time.strftime('%H:%M:%S', time.gmtime(seconds))
    fraction = str(milliseconds).zfill(3)
    row = msgspec.to_builtins(line)
    row.pop('clock')
    return {'at': f'{time_of_day}.{fraction}', **row}


def main() -> None:
    """Run the command line."""
    application()


if __name__ == '__main__':
    main()
