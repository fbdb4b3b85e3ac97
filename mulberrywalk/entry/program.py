"""The entry program: settings, composition and life cycle."""

from __future__ import annotations

import abc
import dataclasses
import signal
from typing import Annotated, Any

import anyio
import typer
from anyio.abc import TaskGroup
from hypercorn import asyncio as hypercorn_server
from hypercorn import config as hypercorn_config

from ..telemetry import cost, journal, metric, setting
from . import connection, http_api, protocol, session, upstream

_EXIT_ADDRESS = 3
_POLL_S = 0.05
_LOG_FORMATS = frozenset(('text', 'json'))
_LONGEST_MS = 3_600_000
_MS_PER_S = 1000
_QUIET_POLLS = 4
_BACKLOG = 1024
_IDLE_S = 75

# An ASGI application, in the form that the server takes.
Application = Any

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
    configuration_max_age_ms: int = upstream.CONFIGURATION_MAX_AGE_MS
    keep_alive_s: int = _IDLE_S


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


@dataclasses.dataclass(frozen=True, slots=True)
class Components:
    """What an extension of the entry is composed with."""

    settings: Settings
    leader: upstream.Upstream
    sessions: session.Sessions
    api: http_api.HttpApi
    event_log: journal.Journal
    metrics: metric.Exposition


class Extension(abc.ABC):
    """Adds interfaces and targets of another kind to an entry."""

    @abc.abstractmethod
    def extend(
        self, components: Components, application: Application
    ) -> tuple[Application, tuple[str, ...]]:
        """Return the application to serve, and the addresses to serve it on.

        application is the entry's own one.
        """

    @abc.abstractmethod
    async def run(self) -> None:
        """Do the extension's own work until it is cancelled."""


class NoExtension(Extension):
    """The entry as it is."""

    def extend(
        self, components: Components, application: Application
    ) -> tuple[Application, tuple[str, ...]]:
        """Return the entry's own application and address."""
        return application, (components.settings.listen,)

    async def run(self) -> None:
        """Do nothing."""


async def serve(settings: Settings, extension: Extension | None = None) -> None:
    """Compose the entry and run it until a signal."""
    event_log = journal.Journal(
        journal.Origin(settings.name, settings.data_centre)
    )
    metrics = metric.Exposition(
        metric.connect(settings.statsd, f'mulberrywalk.{settings.name}')
    )
    stop = anyio.Event()
    leader = upstream.Upstream(
        settings.replicas,
        event_log,
        cost.Meter(),
        configuration_max_age_ms=settings.configuration_max_age_ms,
    )
    sessions = session.Sessions(leader)
    targets = connection.Connections(leader, sessions, event_log)
    api = http_api.HttpApi(leader, targets, event_log, metrics)
    extended = extension or NoExtension()
    components = Components(settings, leader, sessions, api, event_log, metrics)
    application, config = _extend(extended, components)
    async with anyio.create_task_group() as group:
        group.start_soon(leader.run)
        group.start_soon(sessions.send_renewals)
        group.start_soon(extended.run)
        group.start_soon(_drain_on_signal, settings, api, targets, stop)
        group.start_soon(_serve_http, application, config, stop, group)
        event_log.record('entry running', settings.listen)


def _extend(
    extension: Extension, components: Components
) -> tuple[Application, hypercorn_config.Config]:
    application, addresses = extension.extend(
        components, components.api.application()
    )
    return application, _server_config(components.settings, addresses)


async def _serve_http(
    application: Application,
    config: hypercorn_config.Config,
    stop: anyio.Event,
    group: TaskGroup,
) -> None:
    await hypercorn_server.serve(
        application, config, shutdown_trigger=stop.wait
    )
    group.cancel_scope.cancel()


def _server_config(
    settings: Settings, addresses: tuple[str, ...]
) -> hypercorn_config.Config:
    config = hypercorn_config.Config()
    config.bind = list(addresses)
    config.keep_alive_timeout = settings.keep_alive_s
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 1.0
    config.websocket_max_message_size = protocol.MAX_MESSAGE_BYTES
    config.backlog = _BACKLOG
    return config


async def _drain_on_signal(
    settings: Settings,
    api: http_api.HttpApi,
    targets: connection.Connections,
    stop: anyio.Event,
) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as group:
            async for _ in signals:
                if api.serving_state.is_draining:
                    stop.set()
                    return
                api.serving_state.is_draining = True
                group.start_soon(
                    _drain, settings, api.serving_state, targets, stop
                )


async def _drain(
    settings: Settings,
    serving_state: http_api.ServingState,
    targets: connection.Connections,
    stop: anyio.Event,
) -> None:
    """Wait for the balancer to look away, then for requests to end."""
    targets.announce_stopping()
    await anyio.sleep(settings.notice_ms / _MS_PER_S)
    targets.relocate()
    with anyio.move_on_after(settings.drain_limit_ms / _MS_PER_S):
        quiet = 0
        while quiet < _QUIET_POLLS:
            await anyio.sleep(_POLL_S)
            is_quiet = not (serving_state.in_progress or targets.count())
            quiet = quiet + 1 if is_quiet else 0
    stop.set()


def main() -> None:
    """Run the command line."""
    application()


if __name__ == '__main__':
    main()
