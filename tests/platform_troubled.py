"""Workers and processes in trouble: slow, paused, killed and started again."""

from __future__ import annotations

import contextlib
import random
import signal
import sys
import threading
import time
from typing import Any

import httpx

from tests import platform_fakes, platform_test

# contactMs of the platform's rules, and for how long packets wait at a machine
# that counts as slowed.
CONTACT_S = 3.0
STALL_S = 0.5
KINDS = ('dropped', 'unanswered', 'slow', 'late')
MAX_LATE_S = 3.0
MAX_ANSWER_DELAY_S = 1.0
# Longer than an entry waits for an answer to a command.
_SILENCE_S = 0.5
_RESTART_TIMEOUT_S = 30
_WATCH_INTERVAL_S = 0.05
_REPLICAS = tuple(range(platform_test.REPLICAS))
_PROCESSES = tuple(range(platform_test.REPLICAS + platform_test.ENTRIES))
_NO_ANSWER: tuple[int, Any] = (0, {})

Span = tuple[float, float]


class TroubledWorker(platform_fakes.FakeWorker):
    """A worker that treats its calls as its disturbance says.

    disturbance is one of KINDS, or empty. Half of the calls are dropped, left
    unanswered or answered late; or all starts and stops are executed up to
    MAX_LATE_S after their arrival, without an answer. A task runs for the
    seconds that its specification says.
    """

    def __init__(self, name: str, host: str, run_s: float) -> None:
        """Start undisturbed."""
        self.disturbance = ''
        # When each call was disturbed, until its late execution, and restarts.
        self.troubles: list[Span] = []
        # Tasks and numbers of the runs whose starts were executed late.
        self.late: set[tuple[str, int]] = set()
        # Runs whose ends were acknowledged before a lease lapsed.
        self.acknowledged: list[platform_fakes.Run] = []
        self._random = random.Random(name)
        self._lapsed_at = float(0)
        super().__init__(name, host, run_s)

    def restart(self) -> None:
        """Crash and start again, which counts as trouble."""
        with self._lock:
            super().restart()
            now = time.monotonic()
            self.troubles.append((now, now))

    def history(self) -> list[platform_fakes.Run]:
        """Return the runs of all lives."""
        self.active_runs()
        return [*self.past_runs, *self.runs]

    def _handle_call(self, path: str, body: dict[str, Any]) -> tuple[int, Any]:
        kind = self.disturbance
        if not self._is_disturbed(kind, path):
            return self._execute(path, body)
        now = time.monotonic()
        late_s = self._random.uniform(0, MAX_LATE_S) if kind == 'late' else 0
        self.troubles.append((now, now + late_s))
        if kind == 'slow':
            time.sleep(self._random.uniform(0, MAX_ANSWER_DELAY_S))
            return self._execute(path, body)
        if kind == 'unanswered':
            self._execute(path, body)
        elif kind == 'late':
            late_call = (path, body, self.born)
            threading.Timer(late_s, self._execute_late, late_call).start()
        time.sleep(self._random.choice((0, _SILENCE_S)))
        return _NO_ANSWER

    def _is_disturbed(self, kind: str, path: str) -> bool:
        if kind == 'late':
            return path != '/hold'
        return bool(kind) and self._random.random() < 0.5

    def _execute_late(self, path: str, body: dict[str, Any], born: int) -> None:
        """Execute a call in the life that it was sent to."""
        with self._lock:
            if born != self.born:
                return
            before = len(self.runs)
            self._execute(path, body)
            for run in self.runs[before:]:
                self.late.add((run.task, run.number))

    def _handle_poll(self, body: dict[str, Any]) -> tuple[int, Any]:
        if self._clock_ms() > self._lease_end_ms:
            self._lapsed_at = self._lease_end()
        known = self._acknowledged_cursor
        response = super()._handle_poll(body)
        noted = self._ended[known : self._acknowledged_cursor]
        self.acknowledged.extend(
            run for run in noted if not self._has_lapsed_since(run)
        )
        return response

    def _has_lapsed_since(self, run: platform_fakes.Run) -> bool:
        return run.ended_at is None or self._lapsed_at >= run.ended_at

    def _read_run_s(self, body: dict[str, Any]) -> float:
        return float(body['spec'])


class TroubledCluster(platform_test.PlatformCluster):
    """A cluster of workers that can be disturbed."""

    worker_type = TroubledWorker

    def is_answering(self, number: int) -> bool:
        """Return whether a process has started and answers."""
        addresses = [*self.replica_addresses, *self.entry_addresses]
        with contextlib.suppress(httpx.HTTPError):
            httpx.get(f'http://{addresses[number]}/readyz', timeout=2)
            return True
        return False


class StallWatch:
    """Notes when this process, and so all fakes, did not run for a while.

    Its workers answer nothing then, which is trouble as if it were chosen.
    """

    def __init__(self) -> None:
        """Start watching in a thread."""
        self.spans: list[Span] = []
        self._is_closed = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop watching."""
        self._is_closed.set()
        self._thread.join()

    def _run(self) -> None:
        seen_at = time.monotonic()
        while not self._is_closed.wait(_WATCH_INTERVAL_S):
            now = time.monotonic()
            if now - seen_at > STALL_S:
                self.spans.append((seen_at, now))
            seen_at = now


class Troubles:
    """Series of troubles, with calm between them."""

    def __init__(self, cluster: TroubledCluster, seed: int) -> None:
        """Start without trouble."""
        self.spans: list[Span] = []
        self._cluster = cluster
        self._random = random.Random(seed)

    def run_series(self) -> None:
        """Run some troubles one after the other, then stay calm a while."""
        for _ in range(self._random.randint(1, 4)):
            trouble = self._random.choice(
                (self._disturb, self._restart_worker, self._pause, self._kill)
            )
            span_start = time.monotonic()
            what = trouble()
            span = (span_start, time.monotonic())
            self.spans.append(span)
            sys.stdout.write(f'{time.time():.3f} {what}, {span}\n')
            time.sleep(self._random.uniform(0, 1))
        time.sleep(self._random.uniform(CONTACT_S + 1, CONTACT_S + 4))

    def _disturb(self) -> str:
        kind = self._random.choice(KINDS)
        count = self._random.randint(1, len(self._cluster.workers))
        chosen = self._random.sample(self._cluster.workers, count)
        for disturbed in chosen:
            disturbed.disturbance = kind
        time.sleep(self._random.uniform(0.5, 3))
        for calmed in chosen:
            calmed.disturbance = ''
        return f'{kind} at {[one.name for one in chosen]}'

    def _restart_worker(self) -> str:
        chosen = self._random.choice(self._cluster.workers)
        chosen.restart()
        return f'{chosen.name} started again'

    def _pause(self) -> str:
        process = self._random.choice(self._cluster.processes)
        process.signal(signal.SIGSTOP)
        time.sleep(self._random.uniform(0.3, 1))
        process.signal(signal.SIGCONT)
        return f'{process.name} paused'

    def _kill(self) -> str:
        """Kill a process, all replicas or all processes; start them again."""
        one = (self._random.choice(_PROCESSES),)
        chosen = self._random.choice((one, one, one, _REPLICAS, _PROCESSES))
        for killed in chosen:
            self._cluster.processes[killed].kill()
        time.sleep(self._random.uniform(0, 1.5))
        for started in chosen:
            self._cluster.start_again(started)
        self._cluster.wait(
            lambda: all(map(self._cluster.is_answering, chosen)),
            'a process did not start again',
            _RESTART_TIMEOUT_S,
        )
        return f'processes {chosen} killed'
