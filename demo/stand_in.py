"""A stand-in target: speaks the target protocol and simulates tasks.

For tests and the demo only. A task's payload is a JSON object: run_ms is its
run time, fail makes it fail, use_bytes is the memory use that it reports.
The answer is the payload, so that a caller can detect another job's answer.
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

RENEW_INTERVAL_S = 0.5
RECEIVE_TIMEOUT_S = 1.5
LEASE_CHECK_INTERVAL_S = 0.05
RECONNECT_DELAY_S = 0.2
RESEND_INTERVAL_S = 1.0
# A leaving target stays at least this long, to answer starts in transit.
MIN_LEAVE_MS = 1000
_MAX_MESSAGE_BYTES = 8_388_608
_MAX_TRACKED_RENEWALS = 100

_CONNECTION_ERRORS = (
    httpx_ws.HTTPXWSException,
    httpx.HTTPError,
    OSError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    wsproto.utilities.LocalProtocolError,
)


@dataclasses.dataclass(frozen=True)
class TargetConfig:
    """The settings of a target; behaviour is one of runner.Runner's."""

    name: str
    data_centre: str
    rack: str
    entries: tuple[str, ...]
    capacity: dict[str, int]
    behaviour: str
    history: pathlib.Path | None


class Target:
    """Holds one session at a time and exchanges its messages."""

    def __init__(self, config: TargetConfig) -> None:
        """Start without a session."""
        self.config = config
        self.is_stopped = anyio.Event()
        self._lease = runner.Lease()
        self._history = runner.History(config.name, config.history)
        self._runner = runner.Runner(
            self._lease, self._history, config.behaviour, self._report
        )
        self._ended_session = ''
        self._leaving_since = 0
        self._renewal_sent_at: dict[int, int] = {}
        self._sequence = 0
        self._socket: httpx_ws.AsyncWebSocketSession | None = None

    async def run(self) -> None:
        """Keep connecting to entries until a planned stop is complete."""
        self._history.record('join', {'attempt': ''})
        async with anyio.create_task_group() as group:
            self._runner.task_group = group
            group.start_soon(self._watch_lease)
            group.start_soon(self._leave_on_signal)
            group.start_soon(self._connect)
            await self.is_stopped.wait()
            group.cancel_scope.cancel()

    async def _connect(self) -> None:
        entries = list(self.config.entries)
        while True:
            address = entries.pop(0)
            entries.append(address)
            try:
                await self._serve(address)
            except* _CONNECTION_ERRORS:
                self._socket = None
            self._socket = None
            await anyio.sleep(RECONNECT_DELAY_S)

    async def _serve(self, address: str) -> None:
        async with (
            httpx.AsyncClient(timeout=2) as client,
            httpx_ws.aconnect_ws(  # type: ignore[var-annotated]
                f'http://{address}/v1/target',
                client,
                max_message_size_bytes=_MAX_MESSAGE_BYTES,
                keepalive_ping_interval_seconds=None,
            ) as socket,
        ):
            await self._run_session(socket)

    async def _run_session(
        self, socket: httpx_ws.AsyncWebSocketSession
    ) -> None:
        hello_sent_at = runner.monotonic_ms()
        resumed_session = self._lease.session
        await socket.send_text(json.dumps(self._hello()))
        welcome = await self._receive(socket)
        if welcome['type'] != 'welcome':
            raise OSError(welcome.get('reason', 'the entry sent no welcome'))
        if self._lease.session != resumed_session:
            # The lease expired while the entry answered, and all attempts were
            # cancelled: the old session must not continue.
            raise OSError('the lease expired while the session was resumed')
        if not resumed_session:
            self._lease.session = welcome['session']
            self._lease.duration_ms = welcome['lease_ms']
            self._lease.expires_at = hello_sent_at + welcome['lease_ms']
        self._socket = socket
        async with anyio.create_task_group() as group:
            group.start_soon(self._renew)
            group.start_soon(self._resend_ends)
            await self._listen(socket)
            group.cancel_scope.cancel()

    def _hello(self) -> dict[str, Any]:
        hello: dict[str, Any] = {
            'type': 'hello',
            'version': 1,
            'target': self.config.name,
            'data_centre': self.config.data_centre,
            'rack': self.config.rack,
            'capacity': self.config.capacity,
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
            text = await socket.receive_text(timeout=RECEIVE_TIMEOUT_S)
        except TimeoutError as error:
            raise OSError('the entry sent no message in time') from error
        message: dict[str, Any] = json.loads(text)
        self._runner.clock.observe(message.get('clock', 0))
        return message

    async def _listen(self, socket: httpx_ws.AsyncWebSocketSession) -> None:
        session = self._lease.session
        while self._lease.session == session:
            message = await self._receive(socket)
            kind = message['type']
            if kind in {'move', 'error'}:
                return
            await self._handle_message(kind, message)

    async def _handle_message(self, kind: str, message: dict[str, Any]) -> None:
        if kind == 'renewed':
            sent_at = self._renewal_sent_at.pop(message['sequence'], 0)
            self._lease.extend(sent_at)
        elif kind == 'commands' and self._lease.is_valid():
            await self._runner.execute(message)
        elif kind == 'expired':
            self._end_session(runner.monotonic_ms())

    async def _renew(self) -> None:
        while True:
            self._sequence += 1
            self._renewal_sent_at[self._sequence] = runner.monotonic_ms()
            self._renewal_sent_at.pop(
                self._sequence - _MAX_TRACKED_RENEWALS, None
            )
            await self._send({'type': 'renew', 'sequence': self._sequence})
            if self._runner.is_leaving:
                await self._send({'type': 'leave'})
            await anyio.sleep(RENEW_INTERVAL_S)

    async def _resend_ends(self) -> None:
        while True:
            if self._runner.unacknowledged_ends:
                await self._report(
                    {'ended': list(self._runner.unacknowledged_ends.values())}
                )
            await anyio.sleep(RESEND_INTERVAL_S)

    async def _send(self, message: dict[str, Any]) -> None:
        if self._socket is None:
            return
        message['clock'] = self._runner.clock.stamp()
        try:
            await self._socket.send_text(json.dumps(message))
        except _CONNECTION_ERRORS:
            self._socket = None

    async def _report(self, fields: dict[str, Any]) -> None:
        await self._send({'type': 'report', **fields})

    async def _watch_lease(self) -> None:
        while True:
            await anyio.sleep(LEASE_CHECK_INTERVAL_S)
            if self._lease.session and not self._lease.is_valid():
                # The end is recorded at the expiry: no attempt has run since,
                # because this check precedes any task that would continue,
                # also after the process was paused.
                self._end_session(self._lease.expires_at)
            if self._can_stop():
                self.is_stopped.set()

    def _can_stop(self) -> bool:
        if not self._runner.is_leaving:
            return False
        is_busy = self._runner.running or self._runner.unacknowledged_ends
        leaving_ms = runner.monotonic_ms() - self._leaving_since
        return not is_busy and leaving_ms >= MIN_LEAVE_MS

    def _end_session(self, at: int) -> None:
        self._runner.end_session(at)
        self._ended_session = self._lease.session
        self._lease.session = ''

    async def _leave_on_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                self._runner.is_leaving = True
                self._leaving_since = runner.monotonic_ms()
                self._history.record('leave', {'attempt': ''})
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
    """Run a stand-in target until SIGTERM and its planned stop."""
    config = TargetConfig(
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
    anyio.run(_run, config, backend='asyncio')


async def _run(config: TargetConfig) -> None:
    await Target(config).run()


if __name__ == '__main__':
    typer.run(main)
