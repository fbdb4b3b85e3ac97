"""A small deployment on loopback addresses, with stand-ins for its users.

The replicas and entries are the project's own programs, started as separate
processes with the commands of the deploy file. Workers, clients and the
operator are stand-ins that speak what PROTOCOL.md says. All bounds are those
of the site kitamori-bind.
"""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import http.server
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'queue.example'
PREFIX = '/jobs/'
SERVICE = 'pool'
MAX_HOLD_MS = 10_000
HEARTBEAT_S = 1.5
GANG_TIMEOUT_S = 3.0
STOP_S = 0.1
# A play is given up, with exit code 2, after this many seconds.
MOST_S = 116
BOUNDS = {
    'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 3000, 'ackMs': 4000,
    'catchUpS': 4, 'drainMs': 2000, 'graceS': 6, 'lossSlackMs': 200,
    'configApplyMs': 2000, 'rollbackSlackMs': 250, 'maxSkewMs': 5000,
    'recoveryS': 12, 'maxHoldMs': MAX_HOLD_MS, 'stopMs': 200,
    'gangTimeoutMs': 3000, 'cancel_ms': 3000, 'visible_ms': 3000,
    'early_ms': 250, 'finish_s': 14, 'status_s': 120, 'remoteFactor': 1.5,
    'checkpointS': 0.5, 'restoreMs': 250, 'noticeMs': 4500, 'migrateS': 1.5,
    'maintenanceS': 2, 'fencingEnforced': True, 'leaseMs': 3000,
    'thawMs': 300, 'paceMs': 100, 'violationMs': 4000,
}


class CannotRun(Exception):
    """The case could not be played to its end."""


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self._lock = threading.Lock()

    def add(self, text):
        line = f'{time.monotonic() - self.began:8.3f} {text}'
        with self._lock:
            self._file.write(line + '\n')
            self._file.flush()

    def say(self, text):
        self.add(text)
        print(f'{time.monotonic() - self.began:8.3f} {text}', flush=True)


@dataclasses.dataclass
class Run:
    """One run of a task on one life of a worker; times are monotonic."""

    task: str
    number: int
    worker: str
    life: int
    started: float
    work_s: float
    lasts: bool
    gang: int
    works_from: float | None = None
    stop_at: float | None = None
    ended: float | None = None
    how: str = ''

    def step(self):
        return self.task.rpartition('.')[0]


class World:
    """What all workers share: the jobs, the runs and one lock."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.RLock()
        self.phases = {}
        self.runs = []
        self.workers = []
        self.is_closed = False
        threading.Thread(target=self._tick, daemon=True).start()

    def phase(self, task):
        job, _, step, _ = task.split('.')
        return self.phases[job][int(step)]

    def live(self, **fields):
        with self.lock:
            return [
                one
                for one in self.runs
                if one.ended is None
                and all(getattr(one, name) == value for name, value in fields.items())
            ]

    def _tick(self):
        while not self.is_closed:
            with self.lock:
                self.advance()
            time.sleep(0.005)

    def advance(self):
        """End what is due. The caller holds the lock."""
        now = time.monotonic()
        for worker in self.workers:
            worker.end_lapsed(now)
        live = [one for one in self.runs if one.ended is None]
        gangs = {}
        for one in live:
            if one.gang:
                gangs.setdefault((one.step(), one.number), []).append(one)
        for members in gangs.values():
            self._advance_gang(members, now)
        for one in live:
            if one.ended is not None:
                continue
            if one.stop_at is not None and now >= one.stop_at:
                self.end(one, 'stopped', now)
            elif not one.gang and not one.lasts and now >= one.started + one.work_s:
                self.end(one, 'done', now)

    def _advance_gang(self, members, now):
        size = members[0].gang
        if all(one.works_from is None for one in members):
            if len(members) == size:
                for one in members:
                    one.works_from = now
                self.record.add(f'gang {members[0].step()} run {members[0].number} works')
            else:
                for one in members:
                    if now - one.started > GANG_TIMEOUT_S:
                        self.end(one, 'alone', now)
        elif len(members) < size:
            for one in members:
                self.end(one, 'broken', now)
        elif now >= members[0].works_from + members[0].work_s:
            for one in members:
                self.end(one, 'done', now)

    def end(self, one, how, now):
        one.ended = now
        one.how = how
        self.record.add(f'worker {one.worker}: {one.task} run {one.number} ends {how}')
        for worker in self.workers:
            if worker.name == one.worker and worker.life == one.life:
                worker.list_end(one)


class Worker:
    """A worker: one process at one address, with lives one after another."""

    def __init__(self, world, name, host, port, controls, cpu=4000):
        self.world = world
        self.name = name
        self.host = host
        self.port = port
        self.controls = controls
        self.cpu = cpu
        self.life = 0
        self.is_up = False
        self.is_cut = False
        self.heard = []
        with world.lock:
            world.workers.append(self)

    def address(self):
        return f'{self.host}:{self.port}'

    def start(self, first_beat_s=0.0):
        with self.world.lock:
            self.life += 1
            self.born = time.time_ns() // 1_000_000
            self.booted = time.monotonic()
            self.token = 0
            self.lease_ms = 0
            self.cursor = 0
            self.ends = []
            self.end_count = 0
            self.barred = {}
            self.sequence = 0
            self.is_up = True
            life = self.life
            self.world.record.add(
                f'worker {self.name}: life {life} starts at {self.address()}, born {self.born}'
            )
        self.server = _serve(self)
        threading.Thread(
            target=self._beat, args=(life, first_beat_s), daemon=True
        ).start()

    def crash(self):
        """End at once; everything that runs terminates, nothing is kept."""
        with self.world.lock:
            now = time.monotonic()
            self.world.advance()
            self.is_up = False
            self.world.record.add(f'worker {self.name}: life {self.life} crashes')
            for one in self.world.live(worker=self.name):
                one.ended, one.how = now, 'crashed'
        self.server.shutdown()
        self.server.server_close()
        self.server.close_connections()

    def cut(self, is_cut):
        """Cut this worker off from all machines of the system, or heal it."""
        with self.world.lock:
            self.world.advance()
            self.is_cut = is_cut
            self.world.record.add(
                f'worker {self.name}: {"cut off" if is_cut else "reachable again"}'
            )

    def clock_ms(self):
        return int((time.monotonic() - self.booted) * 1000)

    def end_lapsed(self, now):
        if not self.is_up:
            return
        if (now - self.booted) * 1000 > self.lease_ms:
            for one in self.world.live(worker=self.name):
                self.world.end(one, 'lapsed', now)

    def list_end(self, one):
        self.end_count += 1
        self.ends.append([self.end_count, one.task, one.number, one.how, ''])
        self.barred[one.task] = max(one.number, self.barred.get(one.task, 0))

    def handle(self, path, headers, body):
        """Answer one call; None for no answer. The lock is held."""
        if headers.get('Mulberrywalk-Expected-Instance') not in (None, self.name):
            return 421, {'clockMs': self.clock_ms()}
        if path == '/healthz':
            return 200, {}
        if body.get('fencingToken', 0) < self.token:
            return self._reject('fence')
        self.token = body.get('fencingToken', 0)
        if path == '/hold':
            self._extend(body.get('deadlineMs'))
            if body['ackCursor'] > self.cursor:
                self.cursor = body['ackCursor']
                self.world.record.add(f'worker {self.name}: ackCursor {self.cursor}')
            self.ends = [one for one in self.ends if one[0] > self.cursor]
            return 200, self.listing()
        if path == '/run-start':
            return self._start(body)
        if path == '/run-stop':
            return self._stop(body)
        return 200, {'clockMs': self.clock_ms()}

    def listing(self):
        running = [
            [one.task, one.number, '', 100 if one.lasts else 50, 0]
            for one in self.world.live(worker=self.name)
        ]
        return {
            'clockMs': self.clock_ms(), 'born': self.born,
            'running': running,
            # As the project's own stand-in: ends up to ackCursor are forgotten.
            'finished': [one for one in self.ends if one[0] > self.cursor][:500],
        }

    def _extend(self, deadline_ms):
        if deadline_ms is None:
            return
        capped = min(deadline_ms, self.clock_ms() + MAX_HOLD_MS)
        if deadline_ms > capped:
            self.world.record.add(
                f'worker {self.name}: life {self.life}, clock {self.clock_ms()}: '
                f'deadlineMs {deadline_ms} is shortened to {capped}'
            )
        self.lease_ms = max(self.lease_ms, capped)

    def _start(self, body):
        task, number = body['task'], body['runId']
        if any(one.number == number for one in self.world.live(worker=self.name, task=task)):
            return 200, {'clockMs': self.clock_ms()}
        if number <= self.barred.get(task, 0):
            self._extend(body['deadlineMs'])
            return self._reject('old')
        if body['deadlineMs'] < self.clock_ms():
            return self._reject('late')
        self._extend(body['deadlineMs'])
        phase = self.world.phase(task)
        run = Run(
            task, number, self.name, self.life, time.monotonic(),
            phase.get('work_s', 0.3), phase.get('longRunning', False),
            phase['count'] if phase.get('gang') else 0,
        )
        self.world.runs.append(run)
        self.world.record.add(f'worker {self.name}: {task} run {number} starts')
        return 200, {'clockMs': self.clock_ms()}

    def _stop(self, body):
        task, number = body['task'], body['runId']
        self.barred[task] = max(number, self.barred.get(task, 0))
        for one in self.world.live(worker=self.name, task=task):
            if one.number <= number and one.stop_at is None:
                one.stop_at = time.monotonic() + STOP_S
                self.world.record.add(
                    f'worker {self.name}: is told to stop {task} run {number}'
                )
        return 200, {'clockMs': self.clock_ms()}

    def _reject(self, reason):
        self.world.record.add(f'worker {self.name}: answers 409 {reason}')
        return 409, {'clockMs': self.clock_ms(), 'reason': reason}

    def _beat(self, life, first_beat_s):
        address = ''
        next_at = time.monotonic() + first_beat_s
        while not self.world.is_closed:
            time.sleep(max(0.0, next_at - time.monotonic()))
            next_at += HEARTBEAT_S
            with self.world.lock:
                if not self.is_up or self.life != life:
                    return
                if self.is_cut:
                    continue
                self.sequence += 1
                body = {
                    'service': SERVICE, 'address': self.address(),
                    'zone': 'z1', 'version': 'v1', 'slots': 8,
                    'state': 'ready', 'coldRemainingMs': 0,
                    'capacity': {'cpu': self.cpu, 'memMb': 32768, 'gpu': 0},
                    'labels': ['a', 'r1'], 'clockMs': self.clock_ms(),
                    'seq': self.sequence, 'born': self.born,
                }
            path = f'/instances/{self.name}/heartbeat'
            for control in [address, *self.controls] if address else self.controls:
                status, answer = call_control(control, 'POST', path, body)
                if 200 <= status < 300:
                    address = (answer or {}).get('heartbeatAddr', '')
                    if self.sequence == 1:
                        self.world.record.add(f'worker {self.name}: first heartbeat acknowledged')
                    break
                address = ''


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address, worker):
        self.worker = worker
        self.life = worker.life
        self.connections = set()
        super().__init__(address, _Handler)

    def get_request(self):
        connection, peer = super().get_request()
        self.connections.add(connection)
        return connection, peer

    def close_connections(self):
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def handle_error(self, request, client_address):
        """A broken connection is no error of the stand-in."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def setup(self):
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def do_GET(self):
        self._answer(b'')

    def do_POST(self):
        self._answer(self.rfile.read(int(self.headers.get('content-length', 0))))

    def _answer(self, encoded):
        worker, world = self.server.worker, self.server.worker.world
        body = json.loads(encoded) if encoded else {}
        with world.lock:
            is_gone = self._is_gone(worker)
            if not is_gone:
                world.advance()
                status, reply = worker.handle(self.path, self.headers, body)
        if is_gone:
            return self._drop()
        deadline = time.monotonic() + body.get('waitMs', 0) / 1000
        while status == 200 and self.path == '/hold':
            with world.lock:
                is_gone = self._is_gone(worker)
                if not is_gone:
                    world.advance()
                    reply = worker.listing()
            if is_gone:
                return self._drop()
            if reply['finished'] or time.monotonic() >= deadline:
                break
            time.sleep(0.005)
        with world.lock:
            is_gone = self._is_gone(worker)
        if is_gone:
            return self._drop()
        text = json.dumps(reply).encode()
        self.send_response(status)
        self.send_header('content-type', 'application/json')
        self.send_header('content-length', str(len(text)))
        self.end_headers()
        self.wfile.write(text)

    def _is_gone(self, worker):
        """Return whether bytes of this call or of its answer are lost."""
        return worker.is_cut or not worker.is_up or worker.life != self.server.life

    def _drop(self):
        """Say nothing until the caller gives up, as behind a partition."""
        self.close_connection = True
        worker = self.server.worker
        while worker.is_cut and worker.is_up and worker.life == self.server.life:
            time.sleep(0.02)

    def log_message(self, *_):
        """Log nothing."""


def _serve(worker):
    for _ in range(50):
        try:
            server = _Server((worker.host, worker.port), worker)
            break
        except OSError:
            time.sleep(0.02)
    else:
        raise CannotRun(f'cannot listen on {worker.address()}')
    threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()
    return server


def call(address, method, path, body=None, headers=None, timeout=1.0):
    """Return status, decoded body and headers; status 0 without an answer."""
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        encoded = None if body is None else json.dumps(body).encode()
        connection.request(
            method, path, encoded,
            {'Content-Type': 'application/json', **(headers or {})},
        )
        response = connection.getresponse()
        text = response.read()
        decoded = json.loads(text) if text else None
        return response.status, decoded, response.headers
    except (OSError, http.client.HTTPException, ValueError):
        return 0, None, {}
    finally:
        connection.close()


def call_control(address, method, path, body=None):
    """Call a daemon that serves control; a 307 is followed twice."""
    for _ in range(3):
        status, answer, headers = call(address, method, path, body)
        if status != 307:
            return status, answer
        address = headers['location'].split('/')[2]
    return status, answer


class Deployment:
    """Three replicas and two entries, with workers and one queue."""

    def __init__(self, case_folder, worker_count, *, cpu=4000, services=1):
        self.record = Record(case_folder)
        self.world = World(self.record)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.processes = {}
        self.environments = {}
        net = f'127.{40 + secrets.randbelow(160)}.{secrets.randbelow(250)}'
        self.hosts = [f'{net}.{number}' for number in range(1, 6)]
        self.worker_host = f'{net}.100'
        self.control_port, self.front_port, self.ready_port, internal = _free_ports(
            self.hosts, 4
        )
        self.internal = [internal, internal + 15]
        self.controls = [f'{host}:{self.control_port}' for host in self.hosts[:3]]
        self.fronts = [f'{host}:{self.front_port}' for host in self.hosts[3:]]
        roles = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']
        self.roles = {role['serves'][0]: role for role in roles.values()}
        for number, host in enumerate(self.hosts):
            self._start_process(number, host, 'control' if number < 3 else 'edge')
        self.workers = [
            self.new_worker(f'w{number}', cpu=cpu) for number in range(worker_count)
        ]

    def new_worker(self, name, port=0, cpu=4000):
        port = port or _free_ports([self.worker_host], 1)[0]
        return Worker(self.world, name, self.worker_host, port, self.controls, cpu)

    def _start_process(self, number, host, serves):
        is_control = serves == 'control'
        data = self.folder / f'data-{number}'
        data.mkdir()
        bind = {'control': f'{host}:{self.control_port}'}
        if not is_control:
            bind = {
                'front': f'{host}:{self.front_port}',
                'readiness': f'{host}:{self.ready_port}',
            }
        settings = {
            'nodeName': f'{serves}-{number}', 'role': f'my-{serves}',
            'machineClass': 'core' if is_control else 'edge',
            'serves': [serves], 'ip': host, 'zone': 'z1', 'region': 'r1',
            'zones': {'z1': 'r1'}, 'bindAddrs': bind,
            'internalPorts': self.internal, 'seeds': self.controls,
            'bootstrap': True, 'faultCounted': is_control,
            'limits': {'cpuShare': 0.717, 'cores': 2, 'memoryMb': 300, 'maxFds': 4096,
                       'linkMbps': 1000.0, 'diskMb': 128 if is_control else 0},
            'dataDir': str(data) if is_control else None,
            'discovery': 'registry', 'entry': 'vip', 'heartbeatMs': 1500,
            'contracts': ['base', 'drain', 'config', 'recover', 'sched'],
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS, 'config_mode': 'highest', 'controlMode': 'call',
            'advice': None, 'cloud': None,
        }
        path = self.folder / f'settings-{number}.json'
        path.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment.update(
            {
                'PYTHONPATH': f'{ROOT / "target/deps"}:{ROOT}',
                'PYTHONDONTWRITEBYTECODE': '1',
                'MULBERRYWALK_CONFIG': str(path),
                **self.roles[serves].get('env', {}),
            }
        )
        self.environments[number] = environment
        log = open(self.folder / f'process-{number}.log', 'wb')
        self.processes[number] = subprocess.Popen(
            self.roles[serves]['run'].split(), cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log,
        )

    def begin(self, route=None):
        """Configure the queue, start the workers, wait until all is ready."""
        document = {
            'version': 3,
            'routes': [{
                'name': 'r-q', 'host': HOST, 'pathPrefix': PREFIX, 'kind': 'unsafe',
                'timeoutMs': 3000, 'targetLatencyMs': 1200, 'priority': 0,
                'service': SERVICE, 'maxAttempts': 3, 'slackFactor': 2.2,
                **(route or {}),
            }],
            'services': [{
                'name': SERVICE, 'healthPath': '/healthz', 'maxConns': 64,
                'protocol': 'h1', 'tls': False, 'rejectsOverload': False,
                'standby': False,
            }],
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 262144,
                       'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
        }
        self.wait(
            lambda: any(
                call_control(one, 'POST', '/config/replace', document)[0] == 200
                for one in self.controls
            ),
            'the configuration was not acknowledged', 30,
        )
        self.record.say('configuration acknowledged')
        for worker in self.workers:
            worker.start()
        self.wait(
            lambda: all(self.call('GET', '', front)[0] == 200 for front in self.fronts),
            'the entries were not ready', 20,
        )
        self.wait(
            lambda: all(worker.lease_ms > 0 for worker in self.workers),
            'not all workers were held', 20,
        )
        self.record.say('all is ready')

    def call(self, method, name, front=None, body=None):
        status, answer, _ = call(
            front or self.fronts[0], method, PREFIX + name, body,
            {'Host': HOST, 'Mulberrywalk-Deadline-Ms': '3000'}, 3.0,
        )
        return status, answer

    def submit(self, phases, spec='spec', name=''):
        """Hand a job in as a client does; return its ID once it is accepted."""
        name = name or secrets.token_hex(8)
        self.world.phases[name] = phases
        body = {
            'spec': spec,
            'phases': [
                {key: value for key, value in phase.items() if key != 'work_s'}
                for phase in phases
            ],
        }
        for attempt in range(5):
            status, _ = self.call('POST', name, self.fronts[attempt % 2], body)
            self.record.add(f'client: POST {name}: {status}')
            if status == 200:
                return name
            time.sleep(0.2)
        raise CannotRun(f'{name} was not accepted')

    def state(self, name):
        for front in self.fronts:
            status, answer = self.call('GET', name, front)
            if status == 200:
                return answer['state']
        return f'status {status}'

    def wait(self, condition, message, seconds):
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRun(message)
            for number, process in self.processes.items():
                if process.poll() is not None:
                    raise CannotRun(f'process {number} has ended')
            time.sleep(0.02)

    def close(self):
        self.world.is_closed = True
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get('KEEP'):
            print('kept', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def find_doubles(world, at_least_s=0.1):
    """Return pairs of runs of one task that were alive at the same time."""
    with world.lock:
        runs = list(world.runs)
    now = time.monotonic()
    found = []
    for index, one in enumerate(runs):
        for other in runs[index + 1:]:
            if one.task != other.task:
                continue
            from_, until = max(one.started, other.started), min(
                one.ended or now, other.ended or now
            )
            if until - from_ >= at_least_s:
                found.append((one, other, until - from_))
    return found


def _stop(*_):
    raise CannotRun('stopped from outside, or it took too long')


def play(case_folder, worker_count, play_case, **options):
    """Play a case; exit with 1 if the rule broke, 0 if it held, else 2."""
    deployment = None
    signal.signal(signal.SIGTERM, _stop)
    signal.signal(signal.SIGALRM, _stop)
    signal.alarm(MOST_S)
    try:
        deployment = Deployment(case_folder, worker_count, **options)
        is_broken = play_case(deployment)
    except CannotRun as error:
        print(f'the case could not run: {error}', flush=True)
        sys.exit(2)
    except Exception:
        # An error of the stand-ins is no verdict on the rule.
        traceback.print_exc()
        sys.exit(2)
    finally:
        if deployment is not None:
            deployment.close()
    deployment.record.say('RULE BROKEN' if is_broken else 'the rule held')
    sys.exit(1 if is_broken else 0)


def report_doubles(deployment):
    """Record all tasks that ran twice at once; return whether there were any."""
    doubles = find_doubles(deployment.world)
    for one, other, seconds in doubles:
        deployment.record.say(
            f'TWICE: {one.task}: run {one.number} on {one.worker} and run '
            f'{other.number} on {other.worker} at the same time for {seconds:.2f} s'
        )
    return bool(doubles)


def _free_ports(hosts, count):
    """Return ports that are free on all hosts."""
    found = []
    while len(found) < count:
        port = 10_000 + secrets.randbelow(20_000)
        try:
            for host in hosts:
                with socket.socket() as one:
                    one.bind((host, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found
