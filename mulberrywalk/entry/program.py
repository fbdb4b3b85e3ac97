"""The entry program: settings, composition and life cycle."""

from __future__ import annotations

import dataclasses
import signal
from typing import Annotated

import anyio
import typer
from anyio.abc import TaskGroup
from hypercorn import asyncio as hypercorn_server
from hypercorn import config as hypercorn_config

from ..telemetry import cost, journal, metric, setting
from . import caller, connection, protocol, upstream

_EXIT_ADDRESS = 3
_POLL_S = 0.05
_LOG_FORMATS = frozenset(('text', 'json'))
_LONGEST_MS = 3_600_000
_MS_PER_S = 1000
_QUIET_POLLS = 4
_BACKLOG = 1024

application = typer.Typer(add_completion=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Checked settings of an entry; addresses are host:port."""

    name: str
    data_centre: str
    listen: str
    replicas: tuple[str, ...]
    statsd: str
    log_format: str
    notice_ms: int
    drain_limit_ms: int


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

    On SIGTERM readiness goes off for the notice, then requests in progress
    end, at most within the drain limit. A second signal stops at once.
    """
    checker = setting.Checker()
    checked = Settings(
        name=checker.name('--name', name),
        data_centre=checker.name('--data-centre', data_centre),
        listen=checker.address('--listen', listen),
        replicas=checker.addresses('--replicas', replicas),
        statsd=checker.optional_address('--statsd', statsd),
        log_format=checker.choice('--log-format', log_format, _LOG_FORMATS),
        notice_ms=checker.number('--notice-ms', notice_ms, 0, _LONGEST_MS),
        drain_limit_ms=checker.number(
            '--drain-limit-ms', drain_limit_ms, 0, _LONGEST_MS
        ),
    )
    checker.finish()
    journal.open_log(is_json=checked.log_format == 'json')
    try:
        anyio.run(serve, checked, backend='asyncio')
    except* OSError as errors:
        for error in errors.exceptions:
            typer.echo(str(error), err=True)
        raise typer.Exit(_EXIT_ADDRESS) from errors


async def serve(settings: Settings) -> None:
    """Compose the entry and run it until a signal."""
    origin = journal.Origin(settings.name, settings.data_centre)
    lines = journal.Journal(origin)
    metrics = metric.connect(settings.statsd, f'mulberrywalk.{settings.name}')
    leader = upstream.Upstream(settings.replicas, lines, cost.Meter())
    targets = connection.Connections(leader, lines)
    interface = caller.Interface(leader, targets, lines, metrics)
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(leader.run)
        group.start_soon(targets.pass_on_renewals)
        group.start_soon(_drain_on_signal, settings, interface, targets, stop)
        group.start_soon(_serve_http, settings, interface, stop, group)
        lines.record('entry running', settings.listen)


async def _serve_http(
    settings: Settings,
    interface: caller.Interface,
    stop: anyio.Event,
    group: TaskGroup,
) -> None:
    await hypercorn_server.serve(
        interface.application(),  # type: ignore[arg-type]
        _server_config(settings),
        shutdown_trigger=stop.wait,
    )
    group.cancel_scope.cancel()


def _server_config(settings: Settings) -> hypercorn_config.Config:
    config = hypercorn_config.Config()
    config.bind = [settings.listen]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 1.0
    config.websocket_max_message_size = protocol.MAX_MESSAGE_BYTES
    config.backlog = _BACKLOG
    return config


async def _drain_on_signal(
    settings: Settings,
    interface: caller.Interface,
    targets: connection.Connections,
    stop: anyio.Event,
) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as group:
            async for _ in signals:
                if interface.duty.is_draining:
                    stop.set()
                    return
                interface.duty.is_draining = True
                group.start_soon(
                    _drain, settings, interface.duty, targets, stop
                )


async def _drain(
    settings: Settings,
    duty: caller.Duty,
    targets: connection.Connections,
    stop: anyio.Event,
) -> None:
    """Wait for the balancer to look away, then for requests to end."""
    await anyio.sleep(settings.notice_ms / _MS_PER_S)
    targets.move_away()
    with anyio.move_on_after(settings.drain_limit_ms / _MS_PER_S):
        quiet = 0
        while quiet < _QUIET_POLLS:
            await anyio.sleep(_POLL_S)
            is_quiet = not (duty.in_progress or targets.count())
            quiet = quiet + 1 if is_quiet else 0
    stop.set()


def main() -> None:
    """Run the command line."""
    application()


if __name__ == '__main__':
    main()
