"""Starts the project's programs with the commands of the deploy file."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from typing import Any

from record import Record

ROOT = pathlib.Path(__file__).resolve().parents[2]
QUEUE_HOST = 'queue.example'
ZONES = ('doto-kushiro', 'doto-obihiro', 'doto-nemuro')
# The bounds of kitamori-bind, from DEPLOY.md.
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'contactMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'maxSkewMs': 5000,
    'recoveryS': 12,
    'maxHoldMs': 10000,
    'stopMs': 200,
    'gangTimeoutMs': 3000,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'early_ms': 250,
    'finish_s': 14,
    'status_s': 120,
    'remoteFactor': 1.5,
    'checkpointS': 0.5,
    'restoreMs': 250,
    'noticeMs': 4500,
    'migrateS': 1.5,
    'maintenanceS': 2,
    'fencingEnforced': True,
    'leaseMs': 3000,
    'thawMs': 300,
    'paceMs': 100,
    'violationMs': 4000,
}


class CaseError(Exception):
    """The case could not run."""


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 2,
) -> tuple[int, bytes, dict[str, str]]:
    """Make one HTTP call on a new connection; raises OSError."""
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    encoded = None if body is None else json.dumps(body).encode()
    all_headers = {'Content-Type': 'application/json', **(headers or {})}
    with contextlib.closing(connection):
        try:
            connection.request(method, path, encoded, all_headers)
            reply = connection.getresponse()
            found = {name.lower(): text for name, text in reply.getheaders()}
            return reply.status, reply.read(), found
        except http.client.HTTPException as error:
            raise OSError(repr(error)) from error


def run_case(main: Callable[[], int]) -> int:
    """Run a case to its exit code; whatever goes wrong in it gives 2.

    A SIGTERM ends the case in the same way, with all that it started.
    """

    def stop(*_: object) -> None:
        raise CaseError('the case was told to end')

    signal.signal(signal.SIGTERM, stop)
    try:
        return main()
    except Exception:
        traceback.print_exc()
        return 2


class Process:
    """One process of the system."""

    def __init__(
        self, name: str, role: str, settings: dict[str, Any], cell: Cell
    ) -> None:
        """Prepare; start runs it."""
        self.name = name
        self.ip = settings['ip']
        self.settings = settings
        self._role = role
        self._cell = cell
        self._running: subprocess.Popen[bytes] | None = None
        self.path = cell.folder / f'{name}.yaml'

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.path.write_text(json.dumps(self.settings))
        terms = self._cell.deploy['roles'][self._role]
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': str(self._cell.folder),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': 'target/deps:.',
            'MULBERRYWALK_CONFIG': str(self.path),
            **terms['env'],
        }
        log = (self._cell.folder / f'{self.name}.log').open('ab')
        self._running = subprocess.Popen(
            terms['run'].split(), cwd=ROOT, env=environment,
            stdout=log, stderr=log,
        )
        self._cell.record.write(f'{self.name} at {self.ip} started')

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._running is not None and self._running.poll() is None:
            self._cell.record.write(f'{self.name} gets {number.name}')
            self._running.send_signal(number)

    def wait(self, seconds: float = 10) -> int | None:
        """Wait for the end of the process; returns its exit code."""
        if self._running is None:
            return None
        try:
            return self._running.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def exit_code(self) -> int | None:
        """Return the exit code, None while the process runs."""
        return self._running.poll() if self._running else None

    def log(self) -> str:
        """Return what the process has written."""
        path = self._cell.folder / f'{self.name}.log'
        return path.read_text(errors='replace') if path.exists() else ''

    def kill(self) -> None:
        """End the process if it still runs."""
        if self._running is not None and self._running.poll() is None:
            self._running.send_signal(signal.SIGCONT)
            self._running.kill()
            self._running.wait()


class Cell:
    """Three replicas and some entries on loopback addresses."""

    def __init__(
        self, record: Record, entries: int = 2, advice: str | None = None
    ) -> None:
        """Choose addresses and write settings; start runs all processes.

        The processes reach a replica's internal address through relays only
        if the settings are changed before start.
        """
        self.record = record
        self.deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self.subnet = f'127.{10 + secrets.randbelow(100)}.{secrets.randbelow(250)}'
        self._next_host = 0
        ports = _free_ports(6, f'{self.subnet}.1')
        self.control_port, self.front_port, self.ready_port = ports[:3]
        self.internal = [ports[3], ports[3] + 15]
        self._advice = advice
        self.replicas = [
            self._process(number, is_replica=True) for number in range(3)
        ]
        self.entries = [
            self._process(number, is_replica=False) for number in range(entries)
        ]
        seeds = [f'{one.ip}:{self.control_port}' for one in self.replicas]
        for one in (*self.replicas, *self.entries):
            one.settings['seeds'] = seeds
        self.controls = seeds
        self.fronts = [f'{one.ip}:{self.front_port}' for one in self.entries]

    def next_host(self) -> str:
        """Return an address of the loopback network that nothing uses."""
        self._next_host += 1
        return f'{self.subnet}.{self._next_host}'

    def start(self, *, is_first: bool = True) -> None:
        """Start all processes."""
        for one in (*self.replicas, *self.entries):
            one.settings['bootstrap'] = is_first
            one.start()

    def add_replica(self) -> Process:
        """Start one more replica, at a new address with an empty disk."""
        added = self._process(len(self.replicas), is_replica=True)
        added.settings['seeds'] = list(self.controls)
        added.settings['bootstrap'] = False
        self.replicas.append(added)
        self.controls.append(f'{added.ip}:{self.control_port}')
        added.start()
        return added

    def stop(self) -> None:
        """End all processes and remove the folder."""
        for one in (*self.replicas, *self.entries):
            one.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self, version: int, queues: list[dict[str, Any]]) -> None:
        """Send a configuration until it is acknowledged."""
        document = {
            'version': version,
            'routes': queues,
            'services': [
                {'name': name, 'healthPath': '/healthz', 'maxConns': 64,
                 'protocol': 'h1', 'tls': False, 'rejectsOverload': False,
                 'standby': False}
                for name in sorted({one['service'] for one in queues})
            ],
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 262144,
                       'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
        }
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            status = self.operate('POST', '/config/replace', document)[0]
            if status == 200:
                self.record.write(f'configuration {version} acknowledged')
                return
            time.sleep(0.2)
        raise CaseError('no configuration was acknowledged')

    def operate(
        self, method: str, path: str, body: Any = None
    ) -> tuple[int, bytes]:
        """Call any control daemon, following redirections twice."""
        for control in self.controls:
            address = control
            with contextlib.suppress(OSError):
                for _ in range(3):
                    status, text, headers = call(
                        address, method, path, body, timeout=1
                    )
                    if status != 307:
                        break
                    address = headers['location'].split('/')[2]
                if status < 500 and status not in {307, 408, 429}:
                    return status, text
        return 503, b''

    def leader(self) -> Process | None:
        """Return the replica that answers as leader, None without one."""
        for one in self.replicas:
            with contextlib.suppress(OSError):
                address = f'{one.ip}:{self.control_port}'
                if call(address, 'GET', '/config/read', timeout=1)[0] == 200:
                    return one
        return None

    def request(
        self, entry: int, method: str, path: str, body: Any = None,
        timeout: float = 3,
    ) -> tuple[int, Any]:
        """Call an entry as a client; status 0 means no response."""
        headers = {
            'Host': QUEUE_HOST,
            'Mulberrywalk-Deadline-Ms': str(int(timeout * 1000)),
        }
        try:
            status, text, _ = call(
                self.fronts[entry], method, path, body, headers, timeout
            )
        except OSError as error:
            self.record.write(
                f'client {method} {path} to {self.entries[entry].name}: '
                f'no response ({error!r})'
            )
            return 0, None
        answer = _parse(text)
        self.record.write(
            f'client {method} {path} to {self.entries[entry].name}: '
            f'{status} {json.dumps(answer)}'
        )
        return status, answer

    def wait_ready(self, prefix: str, seconds: float = 40) -> None:
        """Wait until all entries answer for a queue."""
        deadline = time.monotonic() + seconds
        waiting = list(range(len(self.entries)))
        while waiting:
            if time.monotonic() > deadline:
                raise CaseError('the entries were not ready')
            waiting = [
                one for one in waiting
                if self.request(one, 'GET', prefix)[0] != 200
            ]
            time.sleep(0.2)

    def _process(self, number: int, *, is_replica: bool) -> Process:
        ip = self.next_host()
        kind = 'core' if is_replica else 'edge'
        zone = ZONES[number % len(ZONES)]
        name = f'{kind}-{zone}-{number + 1}'
        folder = self.folder / f'{name}-data'
        if is_replica:
            folder.mkdir()
        addresses = {'control': f'{ip}:{self.control_port}'}
        if not is_replica:
            addresses = {
                'front': f'{ip}:{self.front_port}',
                'readiness': f'{ip}:{self.ready_port}',
            }
        role = 'mulberrywalk-replica' if is_replica else 'mulberrywalk-entry'
        settings = {
            'nodeName': name,
            'role': role,
            'machineClass': kind,
            'serves': ['control' if is_replica else 'edge'],
            'ip': ip,
            'zone': zone,
            'region': 'doto',
            'zones': dict.fromkeys(ZONES, 'doto'),
            'bindAddrs': addresses,
            'internalPorts': self.internal,
            'seeds': [],
            'bootstrap': True,
            'faultCounted': is_replica,
            'limits': {'cpuShare': 0.537, 'cores': 2, 'memoryMb': 300,
                       'maxFds': 4100, 'linkMbps': 1000.0,
                       'diskMb': 128 if is_replica else 0},
            'dataDir': str(folder) if is_replica else None,
            'discovery': 'registry',
            'entry': 'vip',
            'heartbeatMs': 1500,
            'contracts': ['base', 'drain', 'config', 'cost', 'recover',
                          'sched', 'advice', 'upkeep', 'sharing'],
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'config_mode': 'highest',
            'controlMode': 'call',
            'advice': self._advice,
            'cloud': {'address': '127.0.0.1:9', 'ratePerS': 60.0,
                      'duties': [], 'dutyPerS': 60.0},
        }
        return Process(name, role, settings, self)


def queue(name: str, prefix: str, **terms: Any) -> dict[str, Any]:
    """Return the route of a queue, without an adviser by default."""
    return {
        'name': name, 'host': QUEUE_HOST, 'pathPrefix': prefix,
        'kind': 'unsafe', 'timeoutMs': 3000, 'targetLatencyMs': 1200,
        'priority': 2, 'service': 'hikaku', 'maxAttempts': 3,
        'slackFactor': 2.2, **terms,
    }


def _parse(text: bytes) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text.decode(errors='replace')


def _free_ports(count: int, host: str) -> list[int]:
    """Return free ports; the last ones have room for a range after them."""
    with contextlib.ExitStack() as stack:
        found = []
        for _ in range(count):
            one = stack.enter_context(socket.create_server((host, 0)))
            found.append(one.getsockname()[1])
    return found
