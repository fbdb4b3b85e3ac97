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
from typing import Any

import anyio
import httpx
import httpx_ws
import typer
import wsproto

from demo import runner

RENEW_S = 0.5
SILENCE_S = 1.5
WATCH_S = 0.05
RECONNECT_S = 0.2
RESEND_S = 1.0
# A leaving target answers the starts that are still under way.
LINGER_MS = 1000
_MESSAGE_BYTES = 8_388_608
_RENEWALS_KEPT = 100

_BROKEN = (
    httpx_ws.HTTPXWSException,
    httpx.HTTPError,
    OSError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    wsproto.utilities.LocalProtocolError,
)


@dataclasses.dataclass(frozen=True)
class Plan:
    """What the target is; behaviour is one of the runner's."""

    name: str
    data_centre: str
    rack: str
    entries: tuple[str, ...]
    capacity: dict[str, int]
    behaviour: str
    history: pathlib.Path | None


class Target:
    """Holds one session at a time and carries its messages."""

    def __init__(self, plan: Plan) -> None:
        """Start without a session."""
        self.plan = plan
        self.is_stopped = anyio.Event()
        self._lease = runner.Lease()
        self._history = runner.History(plan.name, plan.history)
        self._runner = runner.Runner(
            self._lease, self._history, plan.behaviour, self._report
        )
        self._ended_session = ''
        self._left_at = 0
        self._sent_at: dict[int, int] = {}
        self._sequence = 0
        self._socket: httpx_ws.AsyncWebSocketSession | None = None

    async def run(self) -> None:
        """Connect for ever, until a planned stop is over."""
        self._history.note('join', {'attempt': ''})
        async with anyio.create_task_group() as group:
            self._runner.group = group
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
            except* _BROKEN:
                self._socket = None
            self._socket = None
            await anyio.sleep(RECONNECT_S)

    async def _serve(self, address: str) -> None:
        async with (
            httpx.AsyncClient(timeout=2) as client,
            httpx_ws.aconnect_ws(  # type: ignore[var-annotated]
                f'http://{address}/v1/target',
                client,
                max_message_size_bytes=_MESSAGE_BYTES,
                keepalive_ping_interval_seconds=None,
            ) as socket,
        ):
            await self._converse(socket)

    async def _converse(self, socket: httpx_ws.AsyncWebSocketSession) -> None:
        greeted_at = runner.monotonic_ms()
        resumed = self._lease.session
        await socket.send_text(json.dumps(self._hello()))
        welcome = await self._receive(socket)
        if welcome['type'] != 'welcome':
            raise OSError(welcome.get('reason', 'no welcome'))
        if self._lease.session != resumed:
            # Everything was stopped meanwhile: that session must not go on.
            raise OSError('the lease lapsed while the session was resumed')
        if not resumed:
            self._lease.session = welcome['session']
            self._lease.duration = welcome['lease_ms']
            self._lease.until = greeted_at + welcome['lease_ms']
        self._socket = socket
        async with anyio.create_task_group() as group:
            group.start_soon(self._renew)
            group.start_soon(self._repeat_ends)
            await self._listen(socket)
            group.cancel_scope.cancel()

    def _hello(self) -> dict[str, Any]:
        hello: dict[str, Any] = {
            'type': 'hello',
            'version': 1,
            'target': self.plan.name,
            'data_centre': self.plan.data_centre,
            'rack': self.plan.rack,
            'capacity': self.plan.capacity,
            'nonce': secrets.token_hex(8),
            'clock': self._runner.clock.stamp(),
        }
        if self._lease.session:
            hello['resume'] = self._lease.session
        elif self._ended_session:
            hello['ended'] = self._ended_session
        return hello

    async def _receive(
        self, socket: httpx_ws.AsyncWebSocketSession
    ) -> dict[str, Any]:
        try:
            text = await socket.receive_text(timeout=SILENCE_S)
        except TimeoutError as error:
            raise OSError('the entry is silent') from error
        message: dict[str, Any] = json.loads(text)
        self._runner.clock.witness(message.get('clock', 0))
        return message

    async def _listen(self, socket: httpx_ws.AsyncWebSocketSession) -> None:
        session = self._lease.session
        while self._lease.session == session:
            message = await self._receive(socket)
            kind = message['type']
            if kind in {'move', 'error'}:
                return
            await self._take(kind, message)

    async def _take(self, kind: str, message: dict[str, Any]) -> None:
        if kind == 'renewed':
            sent_at = self._sent_at.pop(message['sequence'], 0)
            self._lease.extend(sent_at)
        elif kind == 'commands' and self._lease.holds():
            await self._runner.obey(message)
        elif kind == 'expired':
            self._end_session(runner.monotonic_ms())

    async def _renew(self) -> None:
        while True:
            self._sequence += 1
            self._sent_at[self._sequence] = runner.monotonic_ms()
            self._sent_at.pop(self._sequence - _RENEWALS_KEPT, None)
            await self._send({'type': 'renew', 'sequence': self._sequence})
            if self._runner.is_leaving:
                await self._send({'type': 'leave'})
            await anyio.sleep(RENEW_S)

    async def _repeat_ends(self) -> None:
        while True:
            if self._runner.ends:
                await self._report({'ended': list(self._runner.ends.values())})
            await anyio.sleep(RESEND_S)

    async def _send(self, message: dict[str, Any]) -> None:
        if self._socket is None:
            return
        message['clock'] = self._runner.clock.stamp()
        try:
            await self._socket.send_text(json.dumps(message))
        except _BROKEN:
            self._socket = None

    async def _report(self, parts: dict[str, Any]) -> None:
        await self._send({'type': 'report', **parts})

    async def _watch_lease(self) -> None:
        while True:
            await anyio.sleep(WATCH_S)
            if self._lease.session and not self._lease.holds():
                # Nothing has run since the lease lapsed: this check comes
                # before any task goes on, also after a pause.
                self._end_session(self._lease.until)
            if self._may_stop():
                self.is_stopped.set()

    def _may_stop(self) -> bool:
        if not self._runner.is_leaving:
            return False
        is_busy = self._runner.running or self._runner.ends
        waited_ms = runner.monotonic_ms() - self._left_at
        return not is_busy and waited_ms >= LINGER_MS

    def _end_session(self, at: int) -> None:
        self._runner.end_session(at)
        self._ended_session = self._lease.session
        self._lease.session = ''

    async def _leave_on_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                self._runner.is_leaving = True
                self._left_at = runner.monotonic_ms()
                self._history.note('leave', {'attempt': ''})
                await self._send({'type': 'leave'})


def main(
    name: str,
    entries: str,
    data_centre: str = 'doto-kushiro',
    rack: str = 'rack-0',
    millicores: int = 16_000,
    memory_bytes: int = 34_359_738_368,
    slots: int = 8,
    behaviour: str = 'obey',
    history: str = '',
) -> None:
    """Run a stand-in target until a planned stop."""
    plan = Plan(
        name=name,
        data_centre=data_centre,
        rack=rack,
        entries=tuple(entries.split(',')),
        capacity={
            'millicores': millicores,
            'memory_bytes': memory_bytes,
            'slots': slots,
        },
        behaviour=behaviour,
        history=pathlib.Path(history) if history else None,
    )
    anyio.run(_run, plan, backend='asyncio')


async def _run(plan: Plan) -> None:
    await Target(plan).run()


if __name__ == '__main__':
    typer.run(main)
