"""The entry program with the platform's settings and interfaces."""

from __future__ import annotations

import os
import pathlib
import signal
from typing import Any

import anyio

from ..entry import adviser, identifier, polled_targets, program
from ..telemetry import journal
from . import (
    caller_api,
    http,
    http_client,
    overload_monitor,
    setting,
    worker_client,
)

_MS_PER_S = 1000
_MILLICORES_PER_CORE = 1000
_SETTINGS_POLL_INTERVAL_S = 1.0
# A configuration counts as current for this fraction of configApplyMs after the
# leader last confirmed it.
_MAX_AGE_FRACTION = 0.7
_MAX_NOTICE_MS = 2500
# Subtracted from the grace period, so that the process exits before its end.
_STOP_MARGIN_MS = 1500
_LOG_FORMAT_VARIABLE = 'MULBERRYWALK_LOG_FORMAT'


class PlatformExtension(program.Extension):
    """Serves callers and calls the workers and the adviser."""

    def __init__(self, path: pathlib.Path, settings: setting.Settings) -> None:
        """Set up the state; changes of the settings are read from path."""
        self._path = path
        self._settings = settings
        self._parts: program.Components | None = None
        self._api: caller_api.CallerApi | None = None

    def extend(
        self, components: program.Components, application: program.Application
    ) -> tuple[program.Application, tuple[str, ...]]:
        """Add the platform's interface for callers and the metrics."""
        self._parts = components
        api = caller_api.CallerApi(components)
        self._api = api
        api_port = int(components.settings.listen.rpartition(':')[2])

        async def show_metrics(
            scope: dict[str, Any], receive: http.Receive, send: http.Send
        ) -> None:
            await http.write_text(send, components.metrics.render())

        by_port = {api_port: application, http.METRICS_PORT: show_metrics}

        async def serve(
            scope: dict[str, Any], receive: http.Receive, send: http.Send
        ) -> None:
            if scope['type'] == 'lifespan':
                await http.handle_lifespan(receive, send)
                return
            port = scope['server'][1]
            application_for_port = by_port.get(port, api.serve)
            await application_for_port(scope, receive, send)

        bind_addresses = self._settings.bind_addrs
        addresses = (
            bind_addresses.front,
            bind_addresses.readiness,
            components.settings.listen,
            self._settings.metrics_address(),
        )
        return serve, tuple(address for address in addresses if address)

    async def run(self) -> None:
        """Call workers and the adviser, and watch the settings."""
        components = self._parts
        api = self._api
        if components is None or api is None:
            raise AssertionError('run was called before extend')
        connections = http_client.ConnectionPool()
        client = worker_client.WorkerClient(connections, components.event_log)
        targets = polled_targets.PolledTargets(
            client,
            components.leader,
            components.sessions,
            components.event_log,
        )
        advice_queue = adviser.AdviceQueue(
            worker_client.HttpAdviserClient(
                connections, self._settings.advice or '', components.event_log
            ),
            components.leader,
            components.event_log,
        )
        identifications = identifier.Identifier(client, components.leader)
        monitor = overload_monitor.OverloadMonitor(
            components.leader, components.event_log, api.open_requests.part
        )
        async with anyio.create_task_group() as group:
            if setting.regions_of(self._settings).is_set():
                group.start_soon(monitor.run)
            group.start_soon(targets.run)
            group.start_soon(identifications.run)
            group.start_soon(advice_queue.run)
            group.start_soon(watch_settings, self._path, components)


async def watch_settings(
    path: pathlib.Path, components: program.Components
) -> None:
    """Watch the settings file and dial the replicas that are added to it."""
    known_at = setting.modified_at_ns(path)
    while True:
        await anyio.sleep(_SETTINGS_POLL_INTERVAL_S)
        modified_at = setting.modified_at_ns(path)
        if modified_at not in {known_at, None}:
            known_at = modified_at
            _reload_settings(path, components)


def _reload_settings(
    path: pathlib.Path, components: program.Components
) -> None:
    """Read the changed settings, skipping invalid seeds."""
    try:
        settings = setting.read(path)
    except setting.SettingsError as error:
        components.event_log.warn('settings refused', str(error))
        return
    for seed in settings.invalid_seeds():
        components.event_log.record('invalid seed ignored', seed)
    components.leader.addresses.add(settings.seed_peer_addresses())
    components.event_log.record('settings read', ', '.join(settings.seeds))


def to_entry_settings(settings: setting.Settings) -> program.Settings:
    """Convert the platform's settings to those of the entry program."""
    grace_ms = int(settings.bounds.grace_s * _MS_PER_S)
    return program.Settings(
        name=settings.node_name,
        data_centre=settings.zone,
        listen=settings.api_address(),
        replicas=settings.seed_peer_addresses(),
        statsd='',
        log_format=os.environ.get(_LOG_FORMAT_VARIABLE, 'json'),
        notice_ms=min(_MAX_NOTICE_MS, grace_ms // 2),
        drain_limit_ms=max(
            0, grace_ms - _STOP_MARGIN_MS - min(_MAX_NOTICE_MS, grace_ms // 2)
        ),
        configuration_max_age_ms=int(
            settings.bounds.config_apply_ms * _MAX_AGE_FRACTION
        ),
        limit_millicores=round(
            (settings.limits.cpu_share or 0) * _MILLICORES_PER_CORE
        ),
    )


def main() -> None:
    """Run the entry with the platform's settings."""
    # Changed settings are detected by the modification time of the file.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = setting.find_path()
    settings = setting.read(path)
    program_settings = to_entry_settings(settings)
    journal.open_log(is_json=program_settings.log_format == 'json')
    extension = PlatformExtension(path, settings)
    program.run_to_end(program_settings, extension)


if __name__ == '__main__':
    main()
