"""The replica program with the platform's settings and interfaces."""

from __future__ import annotations

import contextlib
import os
import pathlib
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from hypercorn import asyncio as hypercorn_server
from hypercorn import config as hypercorn_config

from ..consensus import message
from ..replica import membership, program
from ..storage import disk as storage
from ..telemetry import journal, retry
from . import control_api, heartbeat, http, setting

_REPAIR_AFTER_MS = 1500
_SNAPSHOT_ENTRIES = 1500
# The lease as a fraction of maxHoldMs. It is long enough for all replicas to
# fail at once and restart, and short enough that the tasks of a lost worker are
# soon run again.
_LEASE_FRACTION = 0.55
_LOG_FORMAT_VARIABLE = 'MULBERRYWALK_LOG_FORMAT'


class PlatformExtension(program.Extension):
    """Serves the platform's workers and operators."""

    def __init__(self, settings: setting.Settings) -> None:
        """Use the addresses and time limits in the settings."""
        self._settings = settings

    async def run(self, components: program.ReplicaComponents) -> None:
        """Serve the control interface and the metrics until cancelled."""
        address = self._settings.bind_addrs.control
        bounds = self._settings.bounds
        times = heartbeat.WorkerTimes(
            lease_ms=int(bounds.max_hold_ms * _LEASE_FRACTION),
            stop_ms=bounds.stop_ms,
        )
        api = control_api.ControlApi(components, address, times)

        async def serve(
            scope: dict[str, Any], receive: http.Receive, send: http.Send
        ) -> None:
            if scope['type'] == 'lifespan':
                await http.handle_lifespan(receive, send)
            elif scope['server'][1] == http.METRICS_PORT:
                await http.write_text(send, components.metrics.render())
            elif scope['type'] == 'http':
                await api.serve(scope, receive, send)

        config = hypercorn_config.Config()
        config.bind = [address, self._settings.metrics_address()]
        config.accesslog = None
        config.errorlog = None
        config.graceful_timeout = 0.2
        stop = anyio.Event()

        async def serve_until_stopped() -> None:
            if not stop.is_set():
                await hypercorn_server.serve(
                    serve,  # type: ignore[arg-type]
                    config,
                    shutdown_trigger=stop.wait,
                )

        async with anyio.create_task_group() as group:
            group.start_soon(
                _run_shielded, components.logger, serve_until_stopped
            )
            with contextlib.ExitStack() as stack:
                stack.callback(stop.set)
                await anyio.sleep_forever()


async def _run_shielded(
    event_log: journal.Journal,
    serve_until_stopped: Callable[[], Awaitable[None]],
) -> None:
    """Serve until the trigger is set; a cancelled server raises an error."""
    with anyio.CancelScope(shield=True):
        await retry.until_done(
            event_log, 'control interface', serve_until_stopped
        )


def bootstrap_cell(settings: setting.Settings, folder: pathlib.Path) -> None:
    """Create the cell on the first start if this replica is a seed.

    All seeds have the same list of seeds, so that they create the same cell.
    A folder that is not empty is left unchanged; temporary files of a call that
    was refused or interrupted do not count. Raises OSError if the disk refuses.
    """
    hosts = settings.seed_hosts()
    folder.mkdir(parents=True, exist_ok=True)
    is_empty = all(path.suffix == '.new' for path in folder.iterdir())
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
            for host, address in zip(
                hosts, settings.seed_peer_addresses(), strict=True
            )
        )
    )
    storage.create_identity(folder, founders, f'replica-{settings.ip}')


def to_replica_settings(
    settings: setting.Settings, folder: pathlib.Path
) -> program.Settings:
    """Convert the platform's settings to those of the replica program."""
    return program.Settings(
        name=f'replica-{settings.ip}',
        data_centre=settings.zone,
        listen=settings.peer_address(),
        advertise=settings.peer_address(),
        folder=folder,
        replicas=settings.seed_peer_addresses(),
        statsd='',
        log_format=os.environ.get(_LOG_FORMAT_VARIABLE, 'json'),
        policy=membership.Policy(
            voters=2 * settings.fault_tolerance.machines + 1,
            repair_after_ms=_REPAIR_AFTER_MS,
        ),
        snapshot_entries=_SNAPSHOT_ENTRIES,
        regions=setting.regions_of(settings),
        remote_permille=settings.bounds.remote_permille(),
    )


def main() -> None:
    """Run the replica with the platform's settings."""
    # SIGHUP announces changed settings; the replica does not reload them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings = setting.read(setting.find_path())
    folder = pathlib.Path(settings.data_dir or '')
    program_settings = to_replica_settings(settings, folder)
    journal.open_log(is_json=program_settings.log_format == 'json')
    anyio.run(
        retry.in_thread,
        program.create_journal(program_settings),
        'data folder',
        bootstrap_cell,
        settings,
        folder,
        backend='asyncio',
    )
    extension = PlatformExtension(settings)
    program.run_to_end(program_settings, extension)


if __name__ == '__main__':
    main()
