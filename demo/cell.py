"""Launches a cell as separate processes on loopback addresses.

Used by tests and the demo only: the system's own programs start no others.
"""

from __future__ import annotations

import dataclasses
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import Any

import httpx

from demo import audit, runner

DATA_CENTRES = ('doto-kushiro', 'doto-obihiro', 'doto-nemuro')
RACK_SIZE = 8
CAPACITY = audit.Capacity(
    millicores=16_000, slots=8, memory_bytes=34_359_738_368
)
READY_TIMEOUT_S = 40.0
_POLL_INTERVAL_S = 0.1
_STOP_TIMEOUT_S = 10.0
_REQUEST_TIMEOUT_S = 15
_FIRST_PORT = 10_000
_END_PORT = 30_000
_PORT_BLOCK_SIZE = 500


class CellError(Exception):
    """The cell or one of its processes is not in the expected state."""


@dataclasses.dataclass
class Process:
    """One process of the cell, its command and its log file."""

    name: str
    command: list[str]
    log: pathlib.Path
    data_centre: str = ''
    running: subprocess.Popen[bytes] | None = None
    killed_at: int = 0

    def start(self) -> None:
        """Start the process with its output appended to the log file."""
        with self.log.open('ab') as log:
            self.running = subprocess.Popen(
                self.command,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )

    def start_again(self) -> None:
        """Start the process unless it is running."""
        if self.running is None or self.running.poll() is not None:
            self.start()

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.running is not None and self.running.poll() is None:
            self.running.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL, wait for the exit and record its time."""
        self.signal(signal.SIGKILL)
        if self.running is not None:
            self.running.wait()
        self.killed_at = runner.monotonic_ms()

    def stop(self, seconds: float = _STOP_TIMEOUT_S) -> int:
        """Send SIGTERM and return the exit code.

        A process that still runs after the given seconds is killed, and -1
        is returned.
        """
        self.signal(signal.SIGTERM)
        if self.running is None:
            return 0
        try:
            return self.running.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return -1


@dataclasses.dataclass(frozen=True)
class Plan:
    """The size of a cell, its options and the folder of its files.

    spares is the number of replicas that are started but are not founders,
    rack_size the number of targets in a rack. behaviours maps the number of
    a target to a behaviour of runner.Runner; the other targets obey.
    """

    folder: pathlib.Path
    replicas: int = 3
    entries: int = 2
    targets: int = 24
    spares: int = 0
    rack_size: int = RACK_SIZE
    behaviours: dict[int, str] = dataclasses.field(default_factory=dict)
    replica_options: tuple[str, ...] = ()
    entry_options: tuple[str, ...] = ()
    target_options: tuple[str, ...] = ()


class Cell:
    """Starts, queries and stops the processes of a cell."""

    def __init__(self, plan: Plan) -> None:
        """Choose the addresses; no process is started yet."""
        self.plan = plan
        self.processes: dict[str, Process] = {}
        count = plan.replicas + plan.spares
        ports = free_ports(count + plan.entries)
        self.replica_addresses = [f'127.0.0.1:{port}' for port in ports[:count]]
        self.entry_addresses = [f'127.0.0.1:{port}' for port in ports[count:]]
        self.history = plan.folder / 'history.jsonl'
        # The addresses given to the processes as those of the replicas and
        # entries. Tests replace them by relays to inject network faults.
        self.dialled_replicas = list(self.replica_addresses)
        self.dialled_entries = list(self.entry_addresses)

    def start(self) -> None:
        """Start all processes and wait until all targets have sessions.

        Raises CellError if the cell is not ready within READY_TIMEOUT_S.
        """
        self.plan.folder.mkdir(parents=True, exist_ok=True)
        for number in range(self.plan.replicas):
            self.init_replica(number)
        for number in range(self.plan.replicas + self.plan.spares):
            self.add_replica(number).start()
        for number in range(self.plan.entries):
            self.add_entry(number).start()
        for number in range(self.plan.targets):
            self.add_target(number).start()
        self.wait_ready(self.plan.targets)

    def init_replica(self, number: int) -> None:
        """Initialize the data folder of a founding replica."""
        founders = ','.join(
            self._founder_option(index) for index in range(self.plan.replicas)
        )
        subprocess.run(
            [
                *program_command('replica'),
                'init',
                '--data',
                str(self.plan.folder / f'replica-{number}'),
                '--name',
                f'replica-{number}',
                '--founders',
                founders,
            ],
            check=True,
        )

    def add_replica(self, number: int) -> Process:
        """Add a replica without starting it; returns its process."""
        name = f'replica-{number}'
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        return self._add(
            name,
            data_centre,
            [
                *program_command('replica'),
                'run',
                '--data',
                str(self.plan.folder / name),
                '--name',
                name,
                '--data-centre',
                data_centre,
                '--listen',
                self.replica_addresses[number],
                '--advertise',
                self.dialled_replicas[number],
                '--replicas',
                ','.join(self.dialled_replicas),
                *self.plan.replica_options,
            ],
        )

    def add_entry(self, number: int) -> Process:
        """Add an entry without starting it; returns its process."""
        name = f'entry-{number}'
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        return self._add(
            name,
            data_centre,
            [
                *program_command('entry'),
                '--name',
                name,
                '--data-centre',
                data_centre,
                '--listen',
                self.entry_addresses[number],
                '--replicas',
                ','.join(self.dialled_replicas),
                *self.plan.entry_options,
            ],
        )

    def add_target(self, number: int) -> Process:
        """Add a target without starting it; returns its process.

        Targets with successive numbers try the entries in rotated order, to
        spread their sessions.
        """
        name = f'target-{number}'
        entries = self.dialled_entries
        offset = number % len(entries)
        rack = number // self.plan.rack_size
        data_centre = DATA_CENTRES[rack % len(DATA_CENTRES)]
        return self._add(
            name,
            data_centre,
            [
                sys.executable,
                '-m',
                'demo.stand_in',
                name,
                ','.join([*entries[offset:], *entries[:offset]]),
                '--data-centre',
                data_centre,
                '--rack',
                f'rack-{rack}',
                '--behaviour',
                self.plan.behaviours.get(number, 'obey'),
                '--history',
                str(self.history),
                *self.plan.target_options,
            ],
        )

    def wait_ready(self, target_count: int) -> None:
        """Wait until every entry lists at least target_count live sessions.

        Raises CellError after READY_TIMEOUT_S.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self._is_ready(target_count):
                return
            time.sleep(_POLL_INTERVAL_S)
        raise CellError(f'the cell was not ready within {READY_TIMEOUT_S} s')

    def get(self, path: str, entry: int = 0) -> dict[str, Any]:
        """Return the JSON body of an entry's response to a GET request.

        Raises httpx.HTTPError if the request fails.
        """
        url = f'http://{self.entry_addresses[entry]}{path}'
        response: dict[str, Any] = httpx.get(
            url, timeout=_REQUEST_TIMEOUT_S
        ).json()
        return response

    def leader(self) -> str:
        """Return the name of the leading replica.

        Raises CellError if none is known within READY_TIMEOUT_S.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                leader = self.get('/v1/members').get('leader')
            except httpx.HTTPError:
                leader = None
            if leader:
                return str(leader)
            time.sleep(_POLL_INTERVAL_S)
        raise CellError('no leader was elected before the timeout')

    def stop(self) -> None:
        """Kill all processes, targets first, and wait for their exit."""
        for process in reversed(self.processes.values()):
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            if process.running is not None:
                process.running.wait()

    def _founder_option(self, index: int) -> str:
        address = self.dialled_replicas[index]
        data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
        return f'replica-{index}={address}@{data_centre}'

    def _add(self, name: str, data_centre: str, command: list[str]) -> Process:
        log = self.plan.folder / f'{name}.log'
        self.processes[name] = Process(name, command, log, data_centre)
        return self.processes[name]

    def _is_ready(self, target_count: int) -> bool:
        try:
            responses = [
                self.get('/v1/targets', entry)
                for entry in range(len(self.entry_addresses))
            ]
        except httpx.HTTPError:
            return False
        return all(
            len([row for row in response.get('targets', []) if row['session']])
            >= target_count
            for response in responses
        )


def program_command(name: str) -> list[str]:
    """Return the command that runs one of the system's programs."""
    return [sys.executable, '-m', f'mulberrywalk.{name}.command']


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are not in use.

    They lie below the kernel's range of ephemeral ports, so that no outgoing
    connection takes one before its process listens. Launchers that run in
    parallel start at different blocks of the range, chosen by process id.
    """
    return list(itertools.islice(filter(_is_free, _PORTS), count))


def _is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


def _cycle_ports() -> Iterator[int]:
    block_count = (_END_PORT - _FIRST_PORT) // _PORT_BLOCK_SIZE
    start = _FIRST_PORT + os.getpid() % block_count * _PORT_BLOCK_SIZE
    ordered = [*range(start, _END_PORT), *range(_FIRST_PORT, start)]
    return itertools.cycle(ordered)


_PORTS = _cycle_ports()
