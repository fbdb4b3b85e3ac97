"""A stand-in target: speaks the target protocol, runs pretended tasks.

For tests and the demo only. A task's payload is JSON: run_ms says how long
it runs, fail that it fails, use_bytes what it reports as used memory. The
answer repeats the payload, so that a caller can tell its own from another's.
"""

from __future__ import annotations

import dataclasses
import json
import pathlib
import secrets
import signal
import time
from typing import Annotated, Any

import anyio
import anyio.abc
import httpx
import httpx_ws
import typer

RENEW_S = 0.5
SILENCE_S = 1.5
WATCH_S = 0.05
RECONNECT_S = 0.2
RESEND_S = 1.0
_MS_PER_S = 1000
_NS_PER_MS = 1_000_000
_CLOCK_BITS = 16
_OBEY = 'obey'


def monotonic_ms() -> int:
    """Return the monotonic clock, common to all processes of a machine."""
    return time.monotonic_ns() // _NS_PER_MS


@dataclasses.dataclass(frozen=True)
class Plan:
    """What the target is and how it behaves.

    Behaviours: obey; fail, which fails every task; duplicate, which reports
    each end three times; late, which reports ends a second late; blackhole,
    which confirms starts and never ends anything.
    """

    name: str
    data_centre: str
    rack: str
    entries: tuple[str, ...]
    millicores: int
    memory_bytes: int
    slots: int
    behaviour: str
    history: pathlib.Path | None


class Target:
    """Holds one session at a time and runs its attempts."""

    def __init__(self, plan: Plan) -> None:
        """Start without a session."""
        self.plan = plan
        self.session = ''
        self.ended_session = ''
        self.lease_until = 0
        self.is_leaving = False
        self.is_stopped = anyio.Event()
        self.running: dict[str, anyio.CancelScope] = {}
        self.known: set[str] = set()
        self.ends: dict[str, dict[str, Any]] = {}
        self.sent_at: dict[int, int] = {}
        self.sequence = 0
        self.clock = 0
        self.heard_at = 0
        self.socket: httpx_ws.AsyncWebSocketSession | None = None
        self.group: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Connect for ever, until a planned stop is over."""
        async with anyio.create_task_group() as group:
            self.group = group
            group.start_soon(self._watch_lease)
            group.start_soon(self._leave_on_signal)
            group.start_soon(self._connect)
            await self.is_stopped.wait()
            group.cancel_scope.cancel()

    async def _connect(self) -> None:
        entries = list(self.plan.entries)
        while True:
            address = entries.pop(0)
            entries.append(address)
            try:
                await self._serve(address)
            except* (
                httpx_ws.HTTPXWSException,
                httpx.HTTPError,
                OSError,
                anyio.ClosedResourceError,
                anyio.EndOfStream,
                anyio.BrokenResourceError,
            ):
                self.socket = None
            self.socket = None
            await anyio.sleep(RECONNECT_S)

    async def _serve(self, address: str) -> None:
        async with httpx.AsyncClient(timeout=2) as client:
            url = f'http://{address}/v1/target'
            async with httpx_ws.aconnect_ws(
                url,
                client,
                max_message_size_bytes=8_388_608,
                keepalive_ping_interval_seconds=None,
            ) as socket:
                await self._converse(socket)

    async def _converse(self, socket: httpx_ws.AsyncWebSocketSession) -> None:
        greeted_at = monotonic_ms()
        self.heard_at = greeted_at
        nonce = secrets.token_hex(8)
        await socket.send_text(json.dumps(self._hello(nonce)))
        welcome = await self._receive(socket)
        if welcome['type'] != 'welcome':
            raise OSError(welcome.get('reason', 'no welcome'))
        if not self.session:
            self.session = welcome['session']
            self.lease_until = greeted_at + welcome['lease_ms']
            self.lease_ms = welcome['lease_ms']
        self.socket = socket
        async with anyio.create_task_group() as group:
            group.start_soon(self._renew, socket)
            group.start_soon(self._repeat_ends, socket)
            await self._listen(socket)
            group.cancel_scope.cancel()

    def _hello(self, nonce: str) -> dict[str, Any]:
        hello = {
            'type': 'hello',
            'version': 1,
            'target': self.plan.name,
            'data_centre': self.plan.data_centre,
            'rack': self.plan.rack,
            'capacity': {
                'millicores': self.plan.millicores,
                'memory_bytes': self.plan.memory_bytes,
                'slots': self.plan.slots,
            },
            'nonce': nonce,
            'clock': self._stamp(),
        }
        if self.session:
            hello['resume'] = self.session
        elif self.ended_session:
            hello['ended'] = self.ended_session
        return hello

    async def _receive(
        self, socket: httpx_ws.AsyncWebSocketSession
    ) -> dict[str, Any]:
        text = await socket.receive_text(timeout=SILENCE_S)
        message: dict[str, Any] = json.loads(text)
        self.clock = max(self.clock, message.get('clock', 0))
        return message

    async def _listen(self, socket: httpx_ws.AsyncWebSocketSession) -> None:
        session = self.session
        while self.session == session:
            try:
                message = await self._receive(socket)
            except TimeoutError as error:
                raise OSError('the entry is silent') from error
            kind = message['type']
            if kind == 'renewed':
                self._extend_lease(message['sequence'])
            elif kind == 'commands' and self.is_leased():
                await self._obey(message)
            elif kind == 'expired':
                self._end_session(monotonic_ms())
            elif kind in {'move', 'error'}:
                return

    def is_leased(self) -> bool:
        """Return whether the session's lease holds now."""
        return bool(self.session) and monotonic_ms() < self.lease_until

    def _extend_lease(self, sequence: int) -> None:
        sent_at = self.sent_at.pop(sequence, None)
        if sent_at is not None and self.is_leased():
            self.lease_until = max(self.lease_until, sent_at + self.lease_ms)

    async def _renew(self, socket: httpx_ws.AsyncWebSocketSession) -> None:
        while True:
            self.sequence += 1
            self.sent_at[self.sequence] = monotonic_ms()
            self.sent_at.pop(self.sequence - 100, None)
            await self._send({'type': 'renew', 'sequence': self.sequence})
            if self.is_leaving:
                await self._send({'type': 'leave'})
            await anyio.sleep(RENEW_S)

    async def _repeat_ends(
        self, socket: httpx_ws.AsyncWebSocketSession
    ) -> None:
        while True:
            if self.ends:
                await self._report(ended=list(self.ends.values()))
            await anyio.sleep(RESEND_S)

    async def _send(self, message: dict[str, Any]) -> None:
        if self.socket is None:
            return
        message['clock'] = self._stamp()
        try:
            await self.socket.send_text(json.dumps(message))
        except (
            httpx_ws.HTTPXWSException,
            OSError,
            anyio.ClosedResourceError,
            anyio.BrokenResourceError,
        ):
            self.socket = None

    async def _report(self, **parts: list[dict[str, Any]]) -> None:
        await self._send({'type': 'report', **parts})

    async def _obey(self, commands: dict[str, Any]) -> None:
        for start in commands['start']:
            await self._start(start)
        for stop in commands['stop']:
            await self._stop(stop['attempt'])
        for attempt in commands['acknowledge']:
            self.ends.pop(attempt, None)

    async def _start(self, start: dict[str, Any]) -> None:
        attempt = start['attempt']
        if attempt in self.known:
            # A repeated start: say again what is known, run nothing.
            if attempt in self.running:
                await self._report(started=[self._stamped(attempt)])
            return
        self.known.add(attempt)
        self.running[attempt] = anyio.CancelScope()
        self._note('start', start)
        await self._report(started=[self._stamped(attempt)])
        if self.group is not None:
            self.group.start_soon(self._run_attempt, start)

    async def _stop(self, attempt: str) -> None:
        if attempt in self.running:
            self.running[attempt].cancel()
        elif attempt not in self.known:
            self.known.add(attempt)
            await self._finish(attempt, 'never_started')

    async def _run_attempt(self, start: dict[str, Any]) -> None:
        attempt = start['attempt']
        session = self.session
        order = json.loads(start['payload'] or '{}')
        if 'use_bytes' in order:
            await self._report(
                usage=[
                    {
                        'attempt': attempt,
                        'millicores': start['millicores'],
                        'memory_bytes': order['use_bytes'],
                    }
                ]
            )
        scope = self.running.get(attempt)
        if scope is None:
            return
        with scope:
            await anyio.sleep(self._run_ms(order) / _MS_PER_S)
        if self.session != session or not self.is_leased():
            return
        self.running.pop(attempt)
        self._note('end', start)
        if scope.cancelled_caught:
            await self._finish(attempt, 'stopped', checkpoint='half way')
        elif order.get('fail') or self.plan.behaviour == 'fail':
            await self._finish(attempt, 'failed', detail='as told')
        else:
            await self._finish(attempt, 'completed', answer=start['payload'])

    def _run_ms(self, order: dict[str, Any]) -> float:
        if self.plan.behaviour == 'blackhole':
            return 86_400_000
        if self.plan.behaviour == 'fail':
            return 1
        return float(order.get('run_ms', 10))

    async def _finish(self, attempt: str, reason: str, **more: str) -> None:
        if self.plan.behaviour == 'late':
            await anyio.sleep(1)
        ended = {'attempt': attempt, 'reason': reason, **more}
        ended['clock'] = self._stamp()  # type: ignore[assignment]
        self.ends[attempt] = ended
        repeats = 3 if self.plan.behaviour == 'duplicate' else 1
        for _ in range(repeats):
            await self._report(ended=[ended])

    async def _watch_lease(self) -> None:
        while True:
            await anyio.sleep(WATCH_S)
            if self.session and not self.is_leased():
                # Nothing has run since the lease lapsed: this check comes
                # before any task goes on, also after a pause.
                self._end_session(self.lease_until)
            if self.is_leaving and not (self.running or self.ends):
                self.is_stopped.set()

    def _end_session(self, at: int) -> None:
        for attempt, scope in self.running.items():
            scope.cancel()
            self._note('end', {'attempt': attempt}, at)
        self.running.clear()
        self.known.clear()
        self.ends.clear()
        self.ended_session = self.session
        self.session = ''

    async def _leave_on_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                self.is_leaving = True
                self._note('leave', {'attempt': ''})
                await self._send({'type': 'leave'})

    def _note(
        self, what: str, start: dict[str, Any], at: int | None = None
    ) -> None:
        if self.plan.history is None:
            return
        line = {
            'at': monotonic_ms() if at is None else at,
            'target': self.plan.name,
            'what': what,
            'attempt': start['attempt'],
            'millicores': start.get('millicores', 0),
            'memory_bytes': start.get('memory_bytes', 0),
        }
        with self.plan.history.open('a') as history:
            history.write(f'{json.dumps(line)}\n')

    def _stamped(self, attempt: str) -> dict[str, Any]:
        return {'attempt': attempt, 'clock': self._stamp()}

    def _stamp(self) -> int:
        wall = (time.time_ns() // _NS_PER_MS) << _CLOCK_BITS
        self.clock = max(self.clock + 1, wall)
        return self.clock


def main(
    name: str,
    entries: str,
    data_centre: str = 'doto-kushiro',
    rack: str = 'r0',
    millicores: int = 16_000,
    memory_bytes: int = 34_359_738_368,
    slots: int = 8,
    behaviour: Annotated[str, typer.Option()] = _OBEY,
    history: str = '',
) -> None:
    """Run a stand-in target until a planned stop."""
    plan = Plan(
        name=name,
        data_centre=data_centre,
        rack=rack,
        entries=tuple(entries.split(',')),
        millicores=millicores,
        memory_bytes=memory_bytes,
        slots=slots,
        behaviour=behaviour,
        history=pathlib.Path(history) if history else None,
    )
    anyio.run(_run, plan, backend='asyncio')


async def _run(plan: Plan) -> None:
    await Target(plan).run()


if __name__ == '__main__':
    typer.run(main)
