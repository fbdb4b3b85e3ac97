"""Simulates the tasks of a stand-in target and records their history."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

_MS_PER_S = 1000
_NS_PER_MS = 1_000_000
_COUNTER_BITS = 16
_BLACKHOLE_RUN_MS = 86_400_000.0
_DEFAULT_RUN_MS = 10
_DUPLICATE_COUNT = 3
_ATTEMPT = 'attempt'

Report = Callable[[dict[str, Any]], Awaitable[None]]


def monotonic_ms() -> int:
    """Return the monotonic time in ms, shared by all processes of a host."""
    return time.monotonic_ns() // _NS_PER_MS


class HybridClock:
    """The hybrid logical clock of a target."""

    def __init__(self) -> None:
        """Start at zero, before every stamp."""
        self._latest = 0

    def stamp(self) -> int:
        """Return a stamp greater than all issued or observed before."""
        wall = (time.time_ns() // _NS_PER_MS) << _COUNTER_BITS
        self._latest = max(self._latest + 1, wall)
        return self._latest

    def observe(self, stamp: int) -> None:
        """Advance the clock to a received stamp if that is later."""
        self._latest = max(self._latest, stamp)


@dataclasses.dataclass(frozen=True)
class History:
    """Appends what ran on a target to a file that demo.audit checks.

    Nothing is written without a path.
    """

    target: str
    path: pathlib.Path | None

    def record(
        self, event: str, start: dict[str, Any], at: int | None = None
    ) -> None:
        """Append an event of an attempt.

        start is the start command of the attempt, or as much of it as is
        known. at is monotonic ms, by default now.
        """
        if self.path is None:
            return
        line = {
            'at': monotonic_ms() if at is None else at,
            'target': self.target,
            'what': event,
            _ATTEMPT: start[_ATTEMPT],
            'millicores': start.get('millicores', 0),
            'memory_bytes': start.get('memory_bytes', 0),
            'label': _label(start.get('payload', '')),
        }
        with self.path.open('a') as history_file:
            history_file.write(f'{json.dumps(line)}\n')


def _label(payload: str) -> str:
    options = json.loads(payload or '{}')
    return str(options.get('label', ''))


@dataclasses.dataclass
class Lease:
    """The session of a target and its lease; expires_at is monotonic ms."""

    session: str = ''
    expires_at: int = 0
    duration_ms: int = 0

    def is_valid(self) -> bool:
        """Return whether there is a session whose lease has not expired."""
        return bool(self.session) and monotonic_ms() < self.expires_at

    def extend(self, sent_at: int) -> None:
        """Extend a valid lease, counted from when its renewal was sent."""
        if self.is_valid():
            self.expires_at = max(self.expires_at, sent_at + self.duration_ms)


class Runner:
    """Simulates the attempts of a target, for one session at a time.

    The behaviour is one of: obey, which runs tasks as their payload says;
    fail, which fails every task; duplicate, which reports each end three
    times; late, which reports each end one second late; blackhole, which
    confirms starts and never ends an attempt.
    """

    def __init__(
        self, lease: Lease, history: History, behaviour: str, report: Report
    ) -> None:
        """Start without attempts; report sends fields of a report message."""
        self.clock = HybridClock()
        self.running: dict[str, anyio.CancelScope] = {}
        self.unacknowledged_ends: dict[str, dict[str, Any]] = {}
        self.task_group: TaskGroup | None = None
        self.is_leaving = False
        self._known_attempts: set[str] = set()
        self._lease = lease
        self._history = history
        self._behaviour = behaviour
        self._report = report

    async def execute(self, commands: dict[str, Any]) -> None:
        """Execute the commands of one message."""
        for start in commands['start']:
            await self._start(start)
        for stop in commands['stop']:
            await self._stop(stop[_ATTEMPT])
        for attempt in commands['acknowledge']:
            self.unacknowledged_ends.pop(attempt, None)

    def end_session(self, at: int) -> None:
        """Cancel all attempts, record their ends and clear the state.

        at is the time of the ends in monotonic ms.
        """
        for attempt, scope in self.running.items():
            scope.cancel()
            self._history.record('end', {_ATTEMPT: attempt}, at)
        self.running.clear()
        self._known_attempts.clear()
        self.unacknowledged_ends.clear()

    async def _start(self, start: dict[str, Any]) -> None:
        attempt = start[_ATTEMPT]
        stamped = {_ATTEMPT: attempt, 'clock': self.clock.stamp()}
        if attempt in self._known_attempts:
            # A duplicate start runs nothing: it is confirmed again while the
            # attempt is running.
            if attempt in self.running:
                await self._report({'started': [stamped]})
            return
        self._known_attempts.add(attempt)
        if self.is_leaving:
            # The start was sent before the leave notice arrived. This reason
            # lets the scheduler place the attempt elsewhere at once.
            await self._finish(attempt, 'never_started')
            return
        self.running[attempt] = anyio.CancelScope()
        self._history.record('start', start)
        await self._report({'started': [stamped]})
        if self.task_group is not None:
            self.task_group.start_soon(self._run, start)

    async def _stop(self, attempt: str) -> None:
        scope = self.running.get(attempt)
        if scope is not None:
            scope.cancel()
        elif attempt not in self._known_attempts:
            self._known_attempts.add(attempt)
            await self._finish(attempt, 'never_started')

    async def _run(self, start: dict[str, Any]) -> None:
        attempt = start[_ATTEMPT]
        session = self._lease.session
        options = json.loads(start['payload'] or '{}')
        scope = self.running.get(attempt)
        if scope is None:
            return
        await self._report_usage(start, options)
        with scope:
            await anyio.sleep(self._run_ms(options) / _MS_PER_S)
        if self._lease.session != session or not self._lease.is_valid():
            return
        self.running.pop(attempt)
        self._history.record('end', start)
        if scope.cancelled_caught:
            await self._finish(attempt, 'stopped', checkpoint='half way')
        elif self._must_fail(options):
            await self._finish(attempt, 'failed', detail='as told')
        else:
            await self._finish(attempt, 'completed', answer=start['payload'])

    async def _report_usage(
        self, start: dict[str, Any], options: dict[str, Any]
    ) -> None:
        if 'use_bytes' not in options:
            return
        usage = {
            _ATTEMPT: start[_ATTEMPT],
            'millicores': start['millicores'],
            'memory_bytes': options['use_bytes'],
        }
        await self._report({'usage': [usage]})

    def _must_fail(self, options: dict[str, Any]) -> bool:
        return self._behaviour == 'fail' or bool(options.get('fail'))

    def _run_ms(self, options: dict[str, Any]) -> float:
        if self._behaviour == 'blackhole':
            return _BLACKHOLE_RUN_MS
        if self._behaviour == 'fail':
            return 1
        return float(options.get('run_ms', _DEFAULT_RUN_MS))

    async def _finish(self, attempt: str, reason: str, **fields: str) -> None:
        if self._behaviour == 'late':
            await anyio.sleep(1)
        ended: dict[str, Any] = {_ATTEMPT: attempt, 'reason': reason, **fields}
        ended['clock'] = self.clock.stamp()
        self.unacknowledged_ends[attempt] = ended
        report_count = _DUPLICATE_COUNT if self._behaviour == 'duplicate' else 1
        for _ in range(report_count):
            await self._report({'ended': [ended]})
