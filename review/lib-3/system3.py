"""Starts the system as on the platform, with small stand-ins around it.

Used by the scripts of the third review; standard library only. The programs
are started with the commands of the deploy file. Workers, clients and operator
follow PROTOCOL.md. All addresses are loopback addresses.
"""

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
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'nony24.example'
SERVICE = 'huvo11a'
# Bounds of kitamori-bind.
BOUNDS = {
    'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 3000, 'ackMs': 4000,
    'catchUpS': 4, 'drainMs': 2000, 'graceS': 6, 'lossSlackMs': 200,
    'configApplyMs': 2000, 'rollbackSlackMs': 250, 'maxSkewMs': 5000,
    'recoveryS': 12, 'maxHoldMs': 10000, 'stopMs': 200,
    'gangTimeoutMs': 3000, 'cancel_ms': 3000, 'visible_ms': 3000,
    'early_ms': 250, 'finish_s': 14, 'status_s': 120, 'remoteFactor': 1.5,
    'checkpointS': 0.5, 'restoreMs': 250, 'noticeMs': 4500,
    'migrateS': 1.5, 'maintenanceS': 2, 'fencingEnforced': True,
    'leaseMs': 3000, 'thawMs': 300, 'paceMs': 100, 'violationMs': 4000,
}
ZONES = ['doto-kushiro', 'doto-obihiro', 'doto-nemuro']
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case could not be set up; it shows nothing."""


class Record:
    """What was sent, answered and run; one line each, in record.txt."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        with self._lock:
            self._file.write(f'{self.now():8.3f} {text}\n')
            self._file.flush()


def _free_ports(host, count):
    """Return ports that are free on an address now."""
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind((host, 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Process:
    """One program of the system, started with the deploy file's command."""

    def __init__(self, name, role, settings, folder):
        self.name = name
        self.role = role
        self.path = folder / f'{name}.yaml'
        self.log = folder / f'{name}.log'
        self.path.write_text(json.dumps(settings))
        self.running = None
        # Variables of a case, beside those of the deploy file.
        self.env = {}

    def start(self):
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env.update(self.role.get('env', {}))
        env['PYTHONPATH'] = 'target/deps:.'
        env['MULBERRYWALK_CONFIG'] = str(self.path)
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env.update(self.env)
        with self.log.open('ab') as log:
            self.running = subprocess.Popen(
                self.role['run'].split(), cwd=ROOT, env=env, stdout=log,
                stderr=log, stdin=subprocess.DEVNULL,
            )

    def signal(self, number):
        if self.running is not None and self.running.poll() is None:
            self.running.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.running is not None:
            self.running.wait()


class System:
    """Three replicas and some entries; worker and client stand-ins."""

    def __init__(self, record, entries=3, log_to=None):
        self.record = record
        self.log_to = log_to
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review3-'))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        roles = deploy['roles']
        subnet = f'{secrets.randbelow(100) + 20}.{secrets.randbelow(250)}'
        self.stand_in_host = f'127.{subnet}.100'
        hosts = [f'127.{subnet}.{one + 1}' for one in range(3 + entries)]
        control, front, ready, first = _free_ports(hosts[0], 4)
        first = min(first, 60000)
        self.control = [f'{host}:{control}' for host in hosts[:3]]
        self.fronts = [f'{host}:{front}' for host in hosts[3:]]
        self.ready = [f'{host}:{ready}' for host in hosts[3:]]
        self.api_ports = [f'{host}:{first + 1}' for host in hosts[3:]]
        self.replicas = []
        self.entries = []
        for number, host in enumerate(hosts):
            is_core = number < 3
            zone = ZONES[number % 3]
            kind = 'core' if is_core else 'edge'
            data = self.folder / f'data-{number}'
            data.mkdir()
            settings = {
                'nodeName': f'{kind}-{zone}-{number}',
                'role': f'mulberrywalk-{"replica" if is_core else "entry"}',
                'machineClass': kind,
                'serves': ['control' if is_core else 'edge'],
                'ip': host, 'zone': zone, 'region': 'doto',
                'zones': dict.fromkeys(ZONES, 'doto'),
                'bindAddrs': (
                    {'control': f'{host}:{control}'} if is_core else
                    {'front': f'{host}:{front}', 'readiness': f'{host}:{ready}'}
                ),
                'internalPorts': [first, first + 15],
                'seeds': self.control, 'bootstrap': True,
                'faultCounted': is_core,
                'limits': {'cpuShare': 0.717 if is_core else 0.537,
                           'cores': 2, 'memoryMb': 300, 'maxFds': 4100,
                           'linkMbps': 1000.0, 'diskMb': 128 * is_core},
                'dataDir': str(data) if is_core else None,
                'discovery': 'registry', 'entry': 'vip', 'heartbeatMs': 1500,
                'contracts': ['base', 'drain', 'config', 'cost', 'recover',
                              'sched'],
                'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
                'bounds': BOUNDS, 'config_mode': 'highest',
                'controlMode': 'call', 'advice': None,
            }
            role = roles['mulberrywalk-replica' if is_core
                         else 'mulberrywalk-entry']
            process = Process(settings['nodeName'], role, settings,
                              self.folder)
            (self.replicas if is_core else self.entries).append(process)
        self.workers = []

    def start(self):
        for one in (*self.replicas, *self.entries):
            one.start()

    def close(self):
        """End everything that was started, and remove the folder."""
        for worker in self.workers:
            worker.close()
        for one in (*self.replicas, *self.entries):
            one.kill()
        if self.log_to:
            target = pathlib.Path(self.log_to)
            target.mkdir(parents=True, exist_ok=True)
            for log in self.folder.glob('*.log'):
                shutil.copy(log, target)
        shutil.rmtree(self.folder, ignore_errors=True)

    def add_worker(self, name, **options):
        worker = Worker(self, name, **options)
        self.workers.append(worker)
        return worker

    def call(self, method, path, entry=0, body=None, timeout=3.0):
        """Call an entry as a client; return status and body, or None."""
        self.record.note(f'client > {self.entries[entry].name} {method} {path}'
                         + (f' {json.dumps(body)}' if body else ''))
        headers = {'Host': HOST, 'Content-Type': 'application/json',
                   'Mulberrywalk-Deadline-Ms': str(int(timeout * 1000))}
        answer = request(self.fronts[entry], method, path, body, headers,
                         timeout)
        shown = 'no answer' if answer is None else f'{answer[0]} {answer[1]}'
        self.record.note(f'client < {self.entries[entry].name} {method} {path}'
                         f': {shown}')
        return answer

    def submit(self, path, body, seconds=15, entries=None):
        """Hand a job in, again and again until it is accepted."""
        entries = entries or range(len(self.entries))
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for entry in entries:
                answer = self.call('POST', path, entry, body)
                if answer is not None and answer[0] == 200:
                    return
                time.sleep(0.2)
        raise CannotRun(f'{path} was not accepted')

    def configure(self, document, seconds=30):
        """Send a configuration as the operator, until it is acknowledged."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for address in self.control:
                answer = follow(address, 'POST', '/config/replace', document)
                if answer is not None and answer[0] == 200:
                    self.record.note('operator: configuration '
                                     f'{document["version"]} acknowledged')
                    return
            time.sleep(0.2)
        raise CannotRun('the configuration was not acknowledged')

    def wait(self, condition, what, seconds):
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRun(what)
            time.sleep(0.02)

    def wait_ready(self, seconds=30):
        """Wait until all entries are ready and all workers are known."""
        def is_ready():
            return all(
                (answer := request(one, 'GET', '/readyz', None, {}, 1))
                is not None and answer[0] == 200
                for one in self.ready
            ) and all(worker.held_at for worker in self.workers)
        self.wait(is_ready, 'the system did not become ready', seconds)

    def leader(self):
        """Return the number of the replica that answers reads."""
        for number, address in enumerate(self.control):
            answer = request(address, 'GET', '/config/read', None, {}, 1)
            if answer is not None and answer[0] == 200:
                return number
        return None


def document(version, routes):
    """Return a configuration; routes are (name, prefix, priority, tries)."""
    return {
        'version': version,
        'routes': [
            {'name': name, 'host': HOST, 'pathPrefix': prefix,
             'kind': 'unsafe', 'timeoutMs': 3000, 'targetLatencyMs': latency,
             'priority': priority, 'service': SERVICE, 'maxAttempts': tries,
             'slackFactor': 2.2}
            for name, prefix, priority, tries, latency in routes
        ],
        'services': [{'name': SERVICE, 'healthPath': '/healthz',
                      'maxConns': 64, 'protocol': 'h1', 'tls': False,
                      'rejectsOverload': False, 'standby': False}],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 262144,
                   'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
    }


SWATCH = ('r-swatch', '/lohu930/', 0, 4, 250)
SORT = ('r-sort', '/pufi791/', 2, 4, 1200)
WATCH = ('r-watch', '/pule252/', 1, 2, 2500)


def request(address, method, path, body, headers, timeout):
    """Make one HTTP call; return (status, body, headers), or None."""
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    deadline = time.monotonic() + timeout
    try:
        encoded = json.dumps(body).encode() if body is not None else None
        connection.request(method, path, encoded, headers)
        connection.sock.settimeout(max(0.01, deadline - time.monotonic()))
        reply = connection.getresponse()
        return reply.status, reply.read().decode(), dict(reply.getheaders())
    except (OSError, http.client.HTTPException, AttributeError):
        return None
    finally:
        connection.close()


def follow(address, method, path, body, timeout=1.0):
    """Call a control address, and follow a 307 twice."""
    for _ in range(3):
        answer = request(address, method, path, body,
                         {'Content-Type': 'application/json'}, timeout)
        if answer is None or answer[0] != 307:
            return answer
        headers = {key.lower(): text for key, text in answer[2].items()}
        location = parse.urlsplit(headers.get('location', ''))
        address = location.netloc
    return answer


class Run:
    """One run of a task on a worker."""

    def __init__(self, task, number, spec, at, checkpoint):
        self.task = task
        self.number = number
        self.began = at
        self.checkpoint = checkpoint
        try:
            self.run_s = json.loads(spec).get('s')
        except ValueError:
            self.run_s = None
        self.ended = None
        self.how = ''


class Worker:
    """A worker: runs, lease, fence, heartbeats.

    It runs a task for the seconds that its spec names under 's'; without, until
    it is stopped. Its room is not guarded. controls are the addresses to which
    it sends its heartbeats, the operator's list by default; through maps them
    to the relays that it sends through.
    """

    def __init__(self, system, name, cpu=16000, mem_mb=32768, zone=0,
                 labels=('a', 'r1-1'), address=None):
        self.system = system
        self.record = system.record
        self.name = name
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.zone = ZONES[zone % 3]
        self.labels = list(labels)
        self.born = time.time_ns() // 1_000_000
        self.clock_began = time.monotonic()
        self.seq = 0
        self.state = 'ready'
        self.leaves_at = None
        self.runs = []
        self.ends = []
        self.acknowledged = 0
        self.fence = 0
        self.lease_ms = 0
        self.highest = {}
        self.held_at = []
        self.stop_s = 0.05
        self.draining_acknowledged_at = None
        self.is_gone = False
        # Hooks of a case: (path, body) -> seconds to hold the call before it
        # is carried out, None to carry it out at once.
        self.late = None
        self.through = {}
        self.use_one_connection = False
        self._persistent = None
        self.heartbeat_address = None
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self._server = self._serve()
        self.own_address = (f'{system.stand_in_host}:'
                            f'{self._server.server_address[1]}')
        self.address = address or self.own_address
        self.closing = threading.Event()
        threading.Thread(target=self._tick, daemon=True).start()

    # -- heartbeats -------------------------------------------------------

    def start_heartbeats(self):
        threading.Thread(target=self._beat, daemon=True).start()

    def heartbeat(self):
        """Return the next heartbeat."""
        with self.lock:
            self.seq += 1
            beat = {
                'service': SERVICE, 'address': self.address, 'zone': self.zone,
                'version': 'v1', 'slots': 8, 'state': self.state,
                'coldRemainingMs': 0,
                'capacity': {'cpu': self.cpu, 'memMb': self.mem_mb, 'gpu': 0},
                'labels': self.labels, 'clockMs': self.clock_ms(),
                'seq': self.seq, 'born': self.born,
            }
            if self.state == 'draining':
                left = (self.leaves_at or 0) - time.monotonic()
                beat['remainingMs'] = max(0, int(left * 1000))
            return beat

    def drain(self, stays_s):
        """Say from now on that the worker leaves, and stay for a while."""
        with self.lock:
            self.state = 'draining'
            self.leaves_at = time.monotonic() + stays_s
        self.record.note(f'worker {self.name}: begins to drain, stays for '
                         f'{stays_s} s')

    def _beat(self):
        order = list(self.system.control)
        while not self.closing.is_set() and not self.is_gone:
            began = time.monotonic()
            first = [self.heartbeat_address] if self.heartbeat_address else []
            for address in [*first, *(a for a in order if a not in first)]:
                if self.closing.is_set() or self.is_gone:
                    return
                if self._send_beat(address):
                    break
                self.heartbeat_address = None
            self.closing.wait(max(0.05, HEARTBEAT_S
                                  - (time.monotonic() - began)))

    def _send_beat(self, address):
        """Send one heartbeat to a daemon; return whether it is acknowledged."""
        beat = self.heartbeat()
        path = f'/instances/{self.name}/heartbeat'
        for _ in range(3):
            real = address
            answer = self._call_control(real, path, beat)
            if answer is None or answer[0] != 307:
                break
            headers = {key.lower(): text for key, text in answer[2].items()}
            address = parse.urlsplit(headers.get('location', '')).netloc
        shown = answer[0] if answer else 'no answer'
        self.record.note(f'worker {self.name} > {real} heartbeat '
                         f'{beat["state"]} seq {beat["seq"]}: {shown}')
        if answer is None or answer[0] // 100 != 2:
            return False
        if (beat['state'] == 'draining'
                and self.draining_acknowledged_at is None):
            self.draining_acknowledged_at = time.monotonic()
        try:
            self.heartbeat_address = json.loads(answer[1]).get('heartbeatAddr')
        except ValueError:
            self.heartbeat_address = None
        return True

    def _call_control(self, address, path, body):
        """Call a daemon, on one connection that stays open if it is so set."""
        reached = self.through.get(address, address)
        headers = {'Content-Type': 'application/json'}
        if not self.use_one_connection:
            return request(reached, 'POST', path, body, headers, 1.0)
        if self._persistent is None or self._persistent[0] != reached:
            if self._persistent is not None:
                self._persistent[1].close()
            host, _, port = reached.rpartition(':')
            self._persistent = reached, http.client.HTTPConnection(
                host, int(port), timeout=1.0)
        connection = self._persistent[1]
        try:
            connection.request('POST', path, json.dumps(body).encode(),
                               headers)
            reply = connection.getresponse()
            return (reply.status, reply.read().decode(),
                    dict(reply.getheaders()))
        except (OSError, http.client.HTTPException):
            # Closed, not reset: what was sent is still on its way.
            connection.close()
            self._persistent = None
            return None

    def leave(self):
        """Deregister and end."""
        body = {'born': self.born}
        path = f'/instances/{self.name}/deregister'
        for address in self.system.control:
            answer = follow(self.through.get(address, address), 'POST', path,
                            body)
            if answer is not None and answer[0] // 100 == 2:
                self.record.note(f'worker {self.name}: deregistered')
                break
        self.end()

    def end(self):
        """End the process: runs end, nothing answers any more."""
        with self.lock:
            self.is_gone = True
            for run in self.active():
                run.ended = time.monotonic()
                run.how = 'gone'
                self._note_end(run)

    # -- runs -------------------------------------------------------------

    def clock_ms(self):
        return int((time.monotonic() - self.clock_began) * 1000)

    def active(self):
        return [run for run in self.runs if run.ended is None]

    def _tick(self):
        while not self.closing.wait(0.01):
            with self.lock:
                self._advance()

    def _advance(self):
        now = time.monotonic()
        lapse = self.clock_began + self.lease_ms / 1000
        for run in self.active():
            done = run.began + run.run_s if run.run_s is not None else None
            if done is not None and done <= min(now, lapse):
                self._end(run, 'done', done)
            elif lapse <= now:
                self._end(run, 'lapsed', lapse)

    def _end(self, run, how, at):
        run.ended = at
        run.how = how
        self.ends.append(run)
        self._note_end(run)
        self.changed.notify_all()

    def _note_end(self, run):
        self.record.note(f'worker {self.name}: {run.task} run {run.number} '
                         f'ends {run.how}')

    def execute(self, path, body):
        """Carry a call out; return status and reply."""
        with self.lock:
            self._advance()
            token = body.get('fencingToken', 0)
            if token < self.fence:
                return self._refuse('fence')
            self.fence = token
            if path == '/hold':
                return self._hold(body)
            if path == '/run-start':
                return self._start(body)
            if path == '/run-stop':
                return self._stop(body)
            if path == '/pace':
                return 200, {'clockMs': self.clock_ms(), 'born': self.born}
            return 404, {}

    def _extend(self, deadline_ms):
        latest = self.clock_ms() + BOUNDS['maxHoldMs']
        self.lease_ms = max(self.lease_ms, min(deadline_ms, latest))

    def _hold(self, body):
        self.held_at.append(time.monotonic())
        if body.get('deadlineMs'):
            self._extend(body['deadlineMs'])
        self.acknowledged = max(self.acknowledged, body.get('ackCursor', 0))
        deadline = time.monotonic() + body.get('waitMs', 0) / 1000
        while len(self.ends) <= self.acknowledged:
            left = deadline - time.monotonic()
            if left <= 0 or self.closing.is_set():
                break
            self.changed.wait(left)
        return 200, {
            'clockMs': self.clock_ms(), 'born': self.born,
            'running': [[run.task, run.number, '', 100, 0]
                        for run in self.active()],
            'finished': [
                [number, run.task, run.number, run.how, '']
                for number, run in enumerate(self.ends, start=1)
                if number > self.acknowledged
            ][:500],
        }

    def _start(self, body):
        task, number = body['task'], body['runId']
        for run in self.active():
            if run.task == task and run.number == number:
                return self._accept()
        if number <= self.highest.get(task, 0):
            self._extend(body['deadlineMs'])
            return self._refuse('old', task, number)
        if body['deadlineMs'] < self.clock_ms():
            return self._refuse('late', task, number)
        self._extend(body['deadlineMs'])
        self.highest[task] = number
        run = Run(task, number, body['spec'], time.monotonic(),
                  body.get('checkpoint', ''))
        self.runs.append(run)
        self.record.note(f'worker {self.name}: {task} run {number} starts')
        return self._accept()

    def _stop(self, body):
        task, number = body['task'], body['runId']
        self.highest[task] = max(number, self.highest.get(task, 0))
        for run in self.active():
            if run.task == task and run.number <= number:
                self._end(run, 'stopped', time.monotonic())
        return self._accept()

    def _accept(self):
        return 200, {'clockMs': self.clock_ms(), 'born': self.born}

    def _refuse(self, reason, task='', number=0):
        self.record.note(f'worker {self.name}: refuses {task} {number} '
                         f'as {reason}')
        return 409, {'clockMs': self.clock_ms(), 'born': self.born,
                     'reason': reason}

    # -- server -----------------------------------------------------------

    def _serve(self):
        worker = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'
            disable_nagle_algorithm = True

            def do_GET(self):
                self._answer(200 if not worker.is_gone else 0, {})

            def do_POST(self):
                length = int(self.headers.get('content-length', 0))
                body = json.loads(self.rfile.read(length) or b'{}')
                if worker.is_gone:
                    self._answer(0, {})
                    return
                expected = self.headers.get('Mulberrywalk-Expected-Instance')
                if expected and expected != worker.name:
                    self._answer(421, {})
                    return
                delay = worker.late(self.path, body) if worker.late else None
                if delay is not None:
                    timer = threading.Timer(
                        delay, worker.execute, (self.path, body))
                    timer.daemon = True
                    timer.start()
                    self._answer(0, {})
                    return
                self._answer(*worker.execute(self.path, body))

            def _answer(self, status, body):
                if not status:
                    self.close_connection = True
                    return
                encoded = json.dumps(body).encode()
                try:
                    self.send_response(status)
                    self.send_header('Content-Type', 'application/json')
                    self.send_header('Content-Length', str(len(encoded)))
                    self.end_headers()
                    self.wfile.write(encoded)
                except OSError:
                    self.close_connection = True

            def log_message(self, *_):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        server = Server((self.system.stand_in_host, 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server

    def close(self):
        self.closing.set()
        with self.lock:
            self.changed.notify_all()
        self._server.shutdown()
        self._server.server_close()


class Relay:
    """A link to one address that can be cut, as a partition does it.

    During the cut nothing passes in either direction. What was sent on an open
    connection meanwhile is held up, and passes after the cut when TCP sends it
    again: retry_s after it was first sent, and then after twice the wait each
    time. A connection that is opened during the cut stays without an answer.
    With is_hop the link goes over a hop of its own, which passes what it has
    held up on a new connection, as the other end may have closed the old one.
    """

    def __init__(self, record, host, target, name, retry_s=0.3, is_hop=False):
        self.record = record
        self.is_hop = is_hop
        self.target = target
        self.name = name
        self.retry_s = retry_s
        self._open = threading.Event()
        self._open.set()
        self._cut_number = 0
        self._closed = threading.Event()
        self._listener = socket.create_server((host, 0), backlog=128)
        self.address = f'{host}:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        self._cut_number += 1
        self._open.clear()

    def heal(self):
        self._open.set()

    def close(self):
        self._closed.set()
        self._open.set()
        self._listener.close()

    def _accept(self):
        while not self._closed.is_set():
            try:
                source, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._connect, args=(source,), daemon=True).start()

    def _connect(self, source):
        if not self._open.is_set():
            # The opening packet is lost; its sender gives up before the next.
            self._open.wait()
            source.close()
            return
        host, _, port = self.target.rpartition(':')
        try:
            target = socket.create_connection((host, int(port)), timeout=2)
            target.settimeout(None)
        except OSError:
            source.close()
            return
        for one in (source, target):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for pair in ((source, target, True), (target, source, False)):
            threading.Thread(target=self._copy, args=pair,
                             daemon=True).start()

    def _pass_later(self, source, held, at):
        """Hold a request up, and pass it on a new connection."""
        source.settimeout(1.5)
        try:
            while chunk := source.recv(65536):
                held += chunk
        except OSError:
            pass
        self._open.wait()
        self._wait_for_retry(at)
        if self._closed.is_set():
            return
        self.record.note(f'link {self.name}: a call of {len(held)} bytes that '
                         f'was held up arrives {time.monotonic() - at:.1f} s '
                         'late')
        host, _, port = self.target.rpartition(':')
        try:
            with socket.create_connection((host, int(port)), 2) as target:
                target.sendall(held)
                target.recv(65536)
        except OSError:
            return

    def _copy(self, source, target, is_forward):
        is_held = False
        try:
            while True:
                chunk = source.recv(65536)
                at = time.monotonic()
                if not self._open.is_set():
                    if self.is_hop and is_forward and chunk:
                        self._pass_later(source, chunk, at)
                        return
                    is_held = True
                    self._open.wait()
                    self._wait_for_retry(at)
                if self._closed.is_set():
                    return
                if not chunk:
                    break
                if is_held:
                    self.record.note(f'link {self.name}: {len(chunk)} bytes '
                                     'that were held up arrive '
                                     f'{time.monotonic() - at:.1f} s late')
                target.sendall(chunk)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            for one in (source, target):
                try:
                    one.close()
                except OSError:
                    pass

    def _wait_for_retry(self, sent_at):
        """Wait until TCP sends again what was first sent at a time."""
        wait, due = self.retry_s, sent_at + self.retry_s
        while due < time.monotonic():
            wait *= 2
            due += wait
        time.sleep(max(0, due - time.monotonic()))


def main(folder, play):
    """Play a case: exit with 1 if the rule broke, 0 if it held, else 2."""
    record = Record(folder)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.note(f'TROUBLE={int(has_trouble)}')
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))
    broken = None
    # A guard: the case ends in time whatever happens.
    guard = threading.Timer(112, lambda: os.kill(os.getpid(), signal.SIGTERM))
    guard.daemon = True
    guard.start()
    try:
        broken = play(record, has_trouble)
    except Exception as error:
        # An error of the stand-ins shows nothing about the system.
        record.note(f'the case could not run: {error!r}')
        print(f'could not run: {error!r}')
        sys.exit(2)
    verdict = f'BROKEN: {broken}' if broken else 'held'
    record.note(verdict)
    print(verdict)
    sys.exit(1 if broken else 0)
