"""The entry program on the platform: its settings and its composition."""

from __future__ import annotations

import os
import pathlib
import signal
from typing import Any

import anyio

from ..entry import adviser, polled, program
from ..telemetry import journal
from . import front, http, setting, worker

_MS_PER_S = 1000
_WATCH_S = 1.0
# The part of the bound on a configuration's way that an entry may use up.
_CURRENT_PART = 0.7
_NOTICE_MS = 2500
_STOP_MARGIN_MS = 1500
_LOG = 'MULBERRYWALK_LOG_FORMAT'


class Platform(program.Extension):
    """Callers, targets and the adviser of the platform."""

    def __init__(self, path: pathlib.Path, settings: setting.Settings) -> None:
        """Serve under settings that are watched at a path."""
        self._path = path
        self._settings = settings
        self._parts: program.Components | None = None

    def extend(
        self, parts: program.Components, application: program.Application
    ) -> tuple[program.Application, tuple[str, ...]]:
        """Serve callers beside the entry's own interface."""
        self._parts = parts
        answering = front.Front(parts)
        own_port = int(parts.settings.listen.rpartition(':')[2])

        async def show_metrics(
            scope: dict[str, Any], receive: http.Receive, send: http.Send
        ) -> None:
            await http.write_text(send, parts.metrics.render())

        by_port = {own_port: application, http.METRICS_PORT: show_metrics}

        async def serve(
            scope: dict[str, Any], receive: http.Receive, send: http.Send
        ) -> None:
            if scope['type'] == 'lifespan':
                await http.accept_lifespan(receive, send)
                return
            port = scope['server'][1]
            chosen = by_port.get(port, answering.serve)
            await chosen(scope, receive, send)

        bound = self._settings.bind_addrs
        addresses = (
            bound.front,
            bound.readiness,
            parts.settings.listen,
            self._settings.metrics_address(),
        )
        return serve, tuple(one for one in addresses if one)

    async def run(self) -> None:
        """Call targets and the adviser, and follow the settings."""
        parts = self._parts
        if parts is None:
            raise AssertionError('the extension was not composed')
        clients = worker.Clients()
        calling = polled.PolledTargets(
            worker.Worker(clients, parts.event_log),
            parts.leader,
            parts.sessions,
            parts.event_log,
        )
        asking = adviser.AdviceQueue(
            worker.Advice(
                clients, self._settings.advice or '', parts.event_log
            ),
            parts.leader,
            parts.event_log,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(calling.run)
            group.start_soon(asking.run)
            group.start_soon(follow_settings, self._path, parts)


async def follow_settings(
    path: pathlib.Path, parts: program.Components
) -> None:
    """Add the replicas of changed settings to those that are dialled."""
    seen = setting.changed_at(path)
    while True:
        await anyio.sleep(_WATCH_S)
        changed = setting.changed_at(path)
        if changed not in {seen, None}:
            seen = changed
            _read_again(path, parts)


def _read_again(path: pathlib.Path, parts: program.Components) -> None:
    """Take over what can be read of changed settings."""
    try:
        settings = setting.read(path)
    except setting.SettingsError as error:
        parts.event_log.warn('settings refused', str(error))
        return
    for odd in settings.odd_seeds():
        parts.event_log.record('seed passed over', odd)
    parts.leader.addresses.add(settings.seed_peers())
    parts.event_log.record('settings read', ', '.join(settings.seeds))


def translate(settings: setting.Settings) -> program.Settings:
    """Return the entry's settings."""
    grace_ms = int(settings.bounds.grace_s * _MS_PER_S)
    return program.Settings(
        name=settings.node_name,
        data_centre=settings.zone,
        listen=settings.own_address(),
        replicas=settings.seed_peers(),
        statsd='',
        log_format=os.environ.get(_LOG, 'json'),
        notice_ms=min(_NOTICE_MS, grace_ms // 2),
        drain_limit_ms=max(
            0, grace_ms - _STOP_MARGIN_MS - min(_NOTICE_MS, grace_ms // 2)
        ),
        configuration_max_age_ms=int(
            settings.bounds.config_apply_ms * _CURRENT_PART
        ),
    )


def main() -> None:
    """Run the entry under the platform's settings."""
    # A changed settings file is noticed by its time of change.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = setting.find_path()
    settings = setting.read(path)
    translated = translate(settings)
    journal.open_log(is_json=translated.log_format == 'json')
    extension = Platform(path, settings)
    anyio.run(program.serve, translated, extension, backend='asyncio')


if __name__ == '__main__':
    main()
