"""The replica program on the platform: its settings and its composition."""

from __future__ import annotations

import os
import pathlib
import signal
from typing import Any

import anyio
from hypercorn import asyncio as hypercorn_server
from hypercorn import config as hypercorn_config

from ..consensus import message
from ..replica import leader, program
from ..storage import disk as storage
from ..telemetry import journal
from . import control, http, setting

_REPAIR_AFTER_MS = 3000
_SNAPSHOT_ENTRIES = 1500
# How much shorter than the longest one that is granted a lease is.
# Long enough for the loss of all replicas at once and their way back, short
# enough that what a lost target held is soon run again.
_LEASE_PART = 0.55
_LOG = 'MULBERRYWALK_LOG_FORMAT'


class Platform(program.Extension):
    """Workers and operators of the platform."""

    def __init__(self, settings: setting.Settings) -> None:
        """Serve where the settings say."""
        self._settings = settings

    async def run(self, parts: program.ReplicaComponents) -> None:
        """Serve until it is cancelled."""
        address = self._settings.bind_addrs.control
        lease_ms = int(self._settings.bounds.max_hold_ms * _LEASE_PART)
        answering = control.Control(parts, address, lease_ms)

        async def serve(
            scope: dict[str, Any], receive: http.Receive, send: http.Send
        ) -> None:
            if scope['type'] == 'lifespan':
                await http.accept_lifespan(receive, send)
            elif scope['server'][1] == http.METRICS_PORT:
                await http.write_text(send, parts.metrics.render())
            elif scope['type'] == 'http':
                await answering.serve(scope, receive, send)

        config = hypercorn_config.Config()
        config.bind = [address, self._settings.metrics_address()]
        config.accesslog = None
        config.errorlog = None
        config.graceful_timeout = 0.2
        await hypercorn_server.serve(
            serve,  # type: ignore[arg-type]
            config,
            shutdown_trigger=anyio.sleep_forever,
        )


def found_cell(settings: setting.Settings, folder: pathlib.Path) -> None:
    """Found the cell when the system first starts and this is a seed.

    All seeds are told the same list, so that they found the same cell. What
    is on a disk already is left as it is.
    """
    hosts = settings.seed_hosts()
    folder.mkdir(parents=True, exist_ok=True)
    is_empty = not any(folder.iterdir())
    if not (settings.bootstrap and is_empty and settings.ip in hosts):
        return
    founders = message.Membership(
        tuple(
            message.Member(
                identity=message.ReplicaId(f'replica-{host}'),
                address=address,
                data_centre='',
                voter=True,
            )
            for host, address in zip(hosts, settings.seed_peers(), strict=True)
        )
    )
    storage.create_identity(folder, founders, f'replica-{settings.ip}')


def translate(
    settings: setting.Settings, folder: pathlib.Path
) -> program.Settings:
    """Return the replica's settings."""
    return program.Settings(
        name=f'replica-{settings.ip}',
        data_centre=settings.zone,
        listen=settings.peer_address(),
        advertise=settings.peer_address(),
        folder=folder,
        replicas=settings.seed_peers(),
        statsd='',
        log_format=os.environ.get(_LOG, 'json'),
        policy=leader.MembershipPolicy(
            voters=2 * settings.fault_tolerance.machines + 1,
            repair_after_ms=_REPAIR_AFTER_MS,
        ),
        snapshot_entries=_SNAPSHOT_ENTRIES,
    )


def main() -> None:
    """Run the replica under the platform's settings."""
    # A changed settings file is read by those who need it, at their time.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings = setting.read(setting.find_path())
    folder = pathlib.Path(settings.data_dir or '')
    found_cell(settings, folder)
    translated = translate(settings, folder)
    journal.open_log(is_json=translated.log_format == 'json')
    extension = Platform(settings)
    anyio.run(program.serve, translated, extension, backend='asyncio')


if __name__ == '__main__':
    main()
