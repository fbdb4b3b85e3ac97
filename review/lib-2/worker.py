"""A worker of the platform, as PROTOCOL.md describes it."""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import json
import socket
import threading
import time
from collections.abc import Callable
from http import server as http_server
from typing import Any

from record import Record
from relay import Relay

_MAX_HOLD_MS = 10_000
_HEARTBEAT_S = 1.5
_ACK_S = 1.0
_DRAIN_S = 2.0
_LISTED = 500


@dataclasses.dataclass
class Run:
    """One run of a task; times are monotonic seconds."""

    task: str
    number: int
    worker: str
    started_at: float
    run_s: float
    ended_at: float | None = None
    how: str = ''
    spec: str = ''
    pace: int = 100


class Worker:
    """One worker with its server, its runs, its lease and its heartbeats.

    All calls of the system reach it through a relay, and it reaches the
    control addresses through relays, so that a case can cut it off.
    """

    def __init__(
        self,
        name: str,
        host: str,
        controls: list[str],
        record: Record,
        run_s: Callable[[str, str], float],
        *,
        service: str = 'hikaku',
        zone: str = 'doto-kushiro',
        cpu: int = 16000,
        memory_mb: int = 32768,
        rack: str = 'r1',
        kind: str = 'a',
    ) -> None:
        """Listen; start sends heartbeats. run_s gets task and spec."""
        self.name = name
        self.state = 'ready'
        self.remaining_ms: int | None = None
        self.drained_at: float | None = None
        self.is_up = True
        self.born = time.time_ns() // 1_000_000
        self.runs: list[Run] = []
        self._record = record
        self._run_s = run_s
        self._service, self._zone = service, zone
        self._capacity = {'cpu': cpu, 'memMb': memory_mb, 'gpu': 0}
        self._rack, self._kind = rack, kind
        self._lock = threading.RLock()
        self._clock_at = time.monotonic()
        self._lease_ms = 0.0
        self._fence = 0
        self._barred: dict[str, int] = {}
        self._ends: list[tuple[int, Run]] = []
        self._end_count = 0
        self._acknowledged = 0
        self._seq = 0
        self._server = _Server((host, 0), _Handler)
        self._server.worker = self
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()
        self.inbound = Relay(host, self._server.server_address[:2])
        self.address = self.inbound.address
        self._relays = {
            control: Relay(host, _split(control)) for control in controls
        }
        self._controls = list(controls)
        self._connection: http.client.HTTPConnection | None = None
        self._connected_to = ''
        self._call_lock = threading.Lock()
        self._wake = threading.Event()

    def start(self) -> None:
        """Send heartbeats from now on."""
        threading.Thread(target=self._beat, daemon=True).start()

    def close(self) -> None:
        """End the process of the worker, with everything that it runs."""
        with self._lock:
            if not self.is_up:
                return
            self._settle()
            self.is_up = False
            for run in self.active():
                self._end(run, time.monotonic(), 'gone')
        self._wake.set()
        self._server.shutdown()
        self._server.server_close()
        self.inbound.close()
        for one in self._relays.values():
            one.close()
        self._record.write(f'{self.name} has ended')

    def cut_from_system(self) -> None:
        """Lose all packets from the system to this worker.

        What the worker sends on open connections still arrives.
        """
        self._record.write(f'cut: nothing of the system reaches {self.name}')
        self.inbound.towards.close()
        for one in self._relays.values():
            one.back.close()

    def cut_both_ways(self) -> None:
        """Lose all packets between the system and this worker."""
        self._record.write(f'cut: {self.name} from the system, both ways')
        self.inbound.hold_all()
        for one in self._relays.values():
            one.hold_all()

    def heal(self) -> None:
        """Let packets pass again."""
        self._record.write(f'the cut of {self.name} has healed')
        self.inbound.release_all()
        for one in self._relays.values():
            one.release_all()

    def leave(self, linger_s: float, stay_s: float) -> None:
        """Drain, deregister and end, as a planned end goes.

        It serves on for drainMs and linger_s after the acknowledgement; without
        an answer to its deregistration it ends stay_s later.
        """
        self.state = 'draining'
        self.remaining_ms = int(_DRAIN_S * 1000)
        acknowledged = False
        while not acknowledged:
            acknowledged = self._send_heartbeat()
        self._record.write(f'{self.name} draining, acknowledged')
        self.drained_at = time.monotonic()
        end_at = time.monotonic() + _DRAIN_S + linger_s
        while (rest_s := end_at - time.monotonic()) > 0:
            time.sleep(min(rest_s, _HEARTBEAT_S))
            if end_at - time.monotonic() > 0:
                self._send_heartbeat()
        self._record.write(f'{self.name} sends deregister')
        answered = threading.Event()
        threading.Thread(
            target=self._deregister, args=(answered,), daemon=True
        ).start()
        answered.wait(stay_s)
        self.close()

    def active(self) -> list[Run]:
        """Return the runs that have not ended."""
        with self._lock:
            self._settle()
            return [run for run in self.runs if run.ended_at is None]

    def clock_ms(self) -> int:
        """Return the worker's own steady clock."""
        return int((time.monotonic() - self._clock_at) * 1000)

    def handle(self, path: str, body: dict[str, Any]) -> tuple[int, Any]:
        """Handle one call of the system."""
        with self._lock:
            self._settle()
            if not self.is_up:
                return 0, None
            token = body.get('fencingToken', 0)
            if token < self._fence:
                return self._refuse(path, 'fence')
            self._fence = token
            if path == '/hold':
                return self._hold(body)
            if path == '/run-start':
                return self._start_run(body)
            if path == '/run-stop':
                return self._stop_run(body)
            return self._pace(body)

    def gauge(self, run: Run) -> int:
        """Return the fifth entry of a running row; cases may override it."""
        return 0

    def listing(self) -> dict[str, Any]:
        """Return what runs and what has ended."""
        with self._lock:
            self._settle()
            return {
                'clockMs': self.clock_ms(),
                'born': self.born,
                'running': [
                    [run.task, run.number, '', 100, self.gauge(run)]
                    for run in self.runs if run.ended_at is None
                ],
                'finished': [
                    [number, run.task, run.number, run.how, '']
                    for number, run in self._ends
                    if number > self._acknowledged
                ][:_LISTED],
            }

    def _hold(self, body: dict[str, Any]) -> tuple[int, Any]:
        self._extend(body.get('deadlineMs', 0))
        self._acknowledged = max(self._acknowledged, body.get('ackCursor', 0))
        return 200, self.listing()

    def _start_run(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, number = body['task'], body['runId']
        for run in self.runs:
            is_same = run.task == task and run.number == number
            if is_same and run.ended_at is None:
                return 200, {'clockMs': self.clock_ms()}
        if number <= self._barred.get(task, 0):
            self._extend(body['deadlineMs'])
            return self._refuse(task, 'old')
        if body['deadlineMs'] < self.clock_ms():
            return self._refuse(task, 'late')
        self._extend(body['deadlineMs'])
        spec = body.get('spec', '')
        now = time.monotonic()
        run = Run(
            task, number, self.name, now, self._run_s(task, spec), spec=spec
        )
        self.runs.append(run)
        self._record.write(f'{self.name} starts {task} run {number}')
        return 200, {'clockMs': self.clock_ms()}

    def _stop_run(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, number = body['task'], body['runId']
        self._barred[task] = max(number, self._barred.get(task, 0))
        for run in self.runs:
            is_meant = run.task == task and run.number <= number
            if is_meant and run.ended_at is None:
                self._end(run, time.monotonic(), 'stopped')
        return 200, {'clockMs': self.clock_ms()}

    def _pace(self, body: dict[str, Any]) -> tuple[int, Any]:
        for run in self.runs:
            is_meant = (run.task, run.number) == (body['task'], body['runId'])
            if is_meant and run.ended_at is None:
                run.pace = body['percent']
                self._record.write(
                    f'{self.name} paces {run.task} at {run.pace} percent'
                )
        return 200, {'clockMs': self.clock_ms()}

    def _extend(self, deadline_ms: float) -> None:
        latest = self.clock_ms() + _MAX_HOLD_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, latest))

    def _settle(self) -> None:
        """End the runs that are done or whose lease has expired."""
        now = time.monotonic()
        lease_end = self._clock_at + self._lease_ms / 1000
        for run in self.runs:
            if run.ended_at is not None:
                continue
            done_at = run.started_at + run.run_s
            if lease_end < min(now, done_at):
                self._end(run, lease_end, 'lapsed')
            elif done_at <= now:
                self._end(run, done_at, 'done')

    def _end(self, run: Run, at: float, how: str) -> None:
        run.ended_at, run.how = at, how
        self._barred[run.task] = max(run.number, self._barred.get(run.task, 0))
        self._end_count += 1
        self._ends.append((self._end_count, run))
        self._record.write(
            f'{self.name} {run.task} run {run.number} {how} '
            f'at {self._record.seconds(at):.3f}'
        )

    def _refuse(self, what: str, reason: str) -> tuple[int, Any]:
        self._record.write(f'{self.name} refuses {what}: {reason}')
        return 409, {'clockMs': self.clock_ms(), 'reason': reason}

    def _deregister(self, answered: threading.Event) -> None:
        body = {'service': self._service, 'born': self.born}
        path = f'/instances/{self.name}/deregister'
        while self.is_up:
            if self._call('POST', path, body) == 200:
                self._record.write(f'{self.name} deregister acknowledged')
                answered.set()
                return
            time.sleep(0.1)

    def _beat(self) -> None:
        # While it drains, leave sends the heartbeats.
        while self.is_up and self.state == 'ready':
            self._send_heartbeat()
            self._wake.wait(_HEARTBEAT_S)

    def _send_heartbeat(self) -> bool:
        self._seq += 1
        body = {
            'service': self._service,
            'address': self.address,
            'zone': self._zone,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'coldRemainingMs': 0,
            'capacity': self._capacity,
            'labels': [self._kind, self._rack],
            'clockMs': self.clock_ms(),
            'seq': self._seq,
            'born': self.born,
        }
        if self.remaining_ms is not None:
            body['remainingMs'] = self.remaining_ms
        return self._call('POST', f'/instances/{self.name}/heartbeat', body) == 200

    def _call(self, method: str, path: str, body: Any) -> int:
        """Call a control daemon, on the open connection if there is one."""
        with self._call_lock:
            for _ in range(len(self._controls)):
                status = self._call_one(method, path, body)
                if status == 200:
                    return status
                self._controls.append(self._controls.pop(0))
        return 0

    def _call_one(self, method: str, path: str, body: Any) -> int:
        control = self._connected_to or self._controls[0]
        try:
            for _ in range(3):
                status, location = self._exchange(control, method, path, body)
                if status != 307:
                    return status
                control = location.split('/')[2]
        except (OSError, http.client.HTTPException):
            self._disconnect()
        return 0

    def _exchange(
        self, control: str, method: str, path: str, body: Any
    ) -> tuple[int, str]:
        if self._connected_to != control:
            self._disconnect()
        if self._connection is None:
            relay = self._relays[control]
            host, port = _split(relay.address)
            self._connection = http.client.HTTPConnection(
                host, port, timeout=_ACK_S
            )
            self._connected_to = control
        self._connection.request(
            method, path, json.dumps(body).encode(),
            {'Content-Type': 'application/json'},
        )
        reply = self._connection.getresponse()
        reply.read()
        return reply.status, reply.getheader('location', '')

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection, self._connected_to = None, ''


class Adviser:
    """An adviser that allows every worker."""

    def __init__(self, host: str) -> None:
        """Listen on a free port."""
        self._server = _Server((host, 0), _Handler)
        self._server.worker = self
        self.address = f'{host}:{self._server.server_port}'
        self.name = ''
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()

    def handle(self, path: str, body: dict[str, Any]) -> tuple[int, Any]:
        """Allow all workers named."""
        rows = [[one, f'ticket-{one}'] for one in body['workers']]
        return 200, {'allowed': rows}

    def close(self) -> None:
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()


class _Server(http_server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    worker: Any

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore connections that the system has closed."""


class _Handler(http_server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    server: _Server

    def setup(self) -> None:
        """Send small answers at once."""
        super().setup()
        self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def do_POST(self) -> None:
        """Answer one call."""
        length = int(self.headers['content-length'])
        body = json.loads(self.rfile.read(length))
        worker = self.server.worker
        expected = self.headers.get('Mulberrywalk-Expected-Instance')
        if expected is not None and expected != worker.name:
            status, answer = 421, {}
        else:
            status, answer = worker.handle(self.path, body)
        if status == 200 and self.path == '/hold':
            answer = self._wait(worker, body, answer)
        if not status:
            self.close_connection = True
            return
        encoded = json.dumps(answer).encode()
        with contextlib.suppress(OSError):
            self.send_response(status)
            self.send_header('Content-Type', 'application/json')
            self.send_header('Content-Length', str(len(encoded)))
            self.end_headers()
            self.wfile.write(encoded)

    def log_message(self, *_: object) -> None:
        """Log nothing."""

    def _wait(
        self, worker: Any, body: dict[str, Any], answer: dict[str, Any]
    ) -> dict[str, Any]:
        """Wait for an end, at most waitMs."""
        wait_s = min(body.get('waitMs', 0), 2000) / 1000
        until = time.monotonic() + wait_s
        while time.monotonic() < until and not answer['finished']:
            time.sleep(0.01)
            answer = worker.listing()
        return answer


def overlaps(workers: list[Worker]) -> list[tuple[Run, Run, float]]:
    """Return runs of one task that were at work at the same time."""
    now = time.monotonic()
    by_task: dict[str, list[Run]] = {}
    for one in workers:
        one.active()
        for run in one.runs:
            by_task.setdefault(run.task, []).append(run)
    found = []
    for runs in by_task.values():
        runs.sort(key=lambda run: run.started_at)
        for earlier, later in zip(runs, runs[1:]):
            until = min(earlier.ended_at or now, later.ended_at or now)
            if until > later.started_at:
                found.append((earlier, later, until - later.started_at))
    return found


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
