"""The command line of the entry program, with its flags and variables."""

from __future__ import annotations

from typing import Annotated

import typer

from ..telemetry import journal, setting
from . import program

_LOG_FORMATS = frozenset(('text', 'json'))
_MAX_DURATION_MS = 3_600_000

application = typer.Typer(add_completion=False)


@application.command()
def run(
    name: Annotated[str, typer.Option(envvar='MULBERRYWALK_NAME')] = '',
    data_centre: Annotated[
        str, typer.Option(envvar='MULBERRYWALK_DATA_CENTRE')
    ] = '',
    listen: Annotated[str, typer.Option(envvar='MULBERRYWALK_LISTEN')] = '',
    replicas: Annotated[str, typer.Option(envvar='MULBERRYWALK_REPLICAS')] = '',
    statsd: Annotated[str, typer.Option(envvar='MULBERRYWALK_STATSD')] = '',
    log_format: Annotated[
        str, typer.Option(envvar='MULBERRYWALK_LOG_FORMAT')
    ] = 'text',
    notice_ms: Annotated[
        str, typer.Option(envvar='MULBERRYWALK_NOTICE_MS')
    ] = '2000',
    drain_limit_ms: Annotated[
        str, typer.Option(envvar='MULBERRYWALK_DRAIN_LIMIT_MS')
    ] = '330000',
) -> None:
    """Run an entry: HTTP for callers and operators, sessions of targets.

    On SIGTERM the entry reports that it is not ready for the notice period,
    then waits for requests in progress up to the drain limit. A second signal
    stops it at once.
    """
    checker = setting.Checker()
    settings = program.Settings(
        name=checker.name('--name', name),
        data_centre=checker.name('--data-centre', data_centre),
        listen=checker.address('--listen', listen),
        replicas=checker.addresses('--replicas', replicas),
        statsd=checker.optional_address('--statsd', statsd),
        log_format=checker.choice('--log-format', log_format, _LOG_FORMATS),
        notice_ms=checker.number('--notice-ms', notice_ms, 0, _MAX_DURATION_MS),
        drain_limit_ms=checker.number(
            '--drain-limit-ms', drain_limit_ms, 0, _MAX_DURATION_MS
        ),
    )
    checker.exit_on_errors()
    journal.open_log(is_json=settings.log_format == 'json')
    program.run_to_end(settings)


def main() -> None:
    """Run the command line."""
    application()


if __name__ == '__main__':
    main()
