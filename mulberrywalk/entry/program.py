"""The entry program: settings, startup and shutdown."""

from __future__ import annotations

import abc
import dataclasses
import signal
import sys
from typing import Any

import anyio
from anyio.abc import TaskGroup
from hypercorn import asyncio as hypercorn_server
from hypercorn import config as hypercorn_config

from ..telemetry import cost, journal, metric, retry
from . import connection, http_api, protocol, session, upstream

_EXIT_FAILURE = 1
_POLL_INTERVAL_S = 0.05
_MS_PER_S = 1000
_IDLE_POLLS_TO_STOP = 4
_BACKLOG = 1024
_KEEP_ALIVE_S = 75

# An ASGI application, as the HTTP server accepts it.
Application = Any


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings of an entry; addresses are host:port."""

    name: str
    data_centre: str
    listen: str
    replicas: tuple[str, ...]
    statsd: str
    log_format: str
    notice_ms: int
    drain_limit_ms: int
    configuration_max_age_ms: int = upstream.CONFIGURATION_MAX_AGE_MS
    keep_alive_s: int = _KEEP_ALIVE_S
    # The limit of the processor share, zero if it is not known.
    limit_millicores: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Components:
    """The components of an entry that an extension may use."""

    settings: Settings
    leader: upstream.Upstream
    sessions: session.Sessions
    api: http_api.HttpApi
    event_log: journal.Journal
    metrics: metric.Exposition


class Extension(abc.ABC):
    """Adds further interfaces and kinds of targets to an entry."""

    @abc.abstractmethod
    def extend(
        self, components: Components, application: Application
    ) -> tuple[Application, tuple[str, ...]]:
        """Return the application to serve and the addresses to bind.

        application is the one that the entry serves without an extension.
        """

    @abc.abstractmethod
    async def run(self) -> None:
        """Run the background work of the extension until cancelled."""


class NoExtension(Extension):
    """An extension that adds nothing."""

    def extend(
        self, components: Components, application: Application
    ) -> tuple[Application, tuple[str, ...]]:
        """Return the entry's own application and address."""
        return application, (components.settings.listen,)

    async def run(self) -> None:
        """Do nothing."""


def run_to_end(settings: Settings, extension: Extension | None = None) -> None:
    """Run the entry until a signal stops it.

    An error that ends it is the last line of the log, with its stack.
    """
    try:
        anyio.run(serve, settings, extension, backend='asyncio')
    except Exception as error:
        _create_journal(settings).report_end(error)
        sys.exit(_EXIT_FAILURE)


def _create_journal(settings: Settings) -> journal.Journal:
    return journal.Journal(journal.Origin(settings.name, settings.data_centre))


async def serve(settings: Settings, extension: Extension | None = None) -> None:
    """Assemble the entry and run it until a signal."""
    event_log = _create_journal(settings)
    metrics = metric.Exposition(
        metric.connect(settings.statsd, f'mulberrywalk.{settings.name}')
    )
    stop = anyio.Event()
    leader = upstream.Upstream(
        settings.replicas,
        event_log,
        cost.Meter(),
        configuration_max_age_ms=settings.configuration_max_age_ms,
        limit_millicores=settings.limit_millicores,
    )
    sessions = session.Sessions(leader, event_log)
    targets = connection.Connections(leader, sessions, event_log)
    api = http_api.HttpApi(leader, targets, event_log, metrics)
    active_extension = extension or NoExtension()
    components = Components(settings, leader, sessions, api, event_log, metrics)
    application, config = _extend(active_extension, components)
    async with anyio.create_task_group() as group:
        group.start_soon(leader.run)
        group.start_soon(active_extension.run)
        group.start_soon(_drain_on_signal, settings, api, targets, stop)
        group.start_soon(
            _serve_http, application, config, stop, group, event_log
        )
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
    event_log: journal.Journal,
) -> None:
    async def serve_until_stopped() -> None:
        if not stop.is_set():
            await hypercorn_server.serve(
                application, config, shutdown_trigger=stop.wait
            )

    await retry.until_done(event_log, 'listen', serve_until_stopped)
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
    """Wait for the load balancer to stop sending, then for requests to end."""
    targets.announce_stopping()
    await anyio.sleep(settings.notice_ms / _MS_PER_S)
    targets.relocate()
    with anyio.move_on_after(settings.drain_limit_ms / _MS_PER_S):
        idle_polls = 0
        while idle_polls < _IDLE_POLLS_TO_STOP:
            await anyio.sleep(_POLL_INTERVAL_S)
            is_idle = not (serving_state.in_progress or targets.count())
            idle_polls = idle_polls + 1 if is_idle else 0
    stop.set()
