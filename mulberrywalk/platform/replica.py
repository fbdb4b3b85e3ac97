"""The replica program with the platform's settings and interfaces."""

from __future__ import annotations

import importlib
import os
import pathlib
import signal

import anyio
from anyio.to_thread import run_sync

from ..consensus import message
from ..replica import leader, program
from ..storage import disk as storage
from ..telemetry import journal, retry
from . import setting

_REPAIR_AFTER_MS = 3000
_SNAPSHOT_ENTRIES = 1500
_LOG_FORMAT_VARIABLE = 'MULBERRYWALK_LOG_FORMAT'


class PlatformExtension(program.Extension):
    """Serves the platform's workers and operators."""

    def __init__(self, settings: setting.Settings) -> None:
        """Use the addresses and time limits in the settings."""
        self._settings = settings

    async def run(self, components: program.ReplicaComponents) -> None:
        """Serve the control interface and the metrics until cancelled.

        The server is loaded in a thread while the replica takes part in
        elections: the cell doesn't wait for it.
        """
        server = await run_sync(
            importlib.import_module, '.control_server', __package__
        )
        await server.run(self._settings, components)


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
        policy=leader.MembershipPolicy(
            voters=2 * settings.fault_tolerance.machines + 1,
            repair_after_ms=_REPAIR_AFTER_MS,
        ),
        snapshot_entries=_SNAPSHOT_ENTRIES,
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
