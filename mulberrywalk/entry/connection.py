"""Target sessions over WebSockets that targets open to this entry."""

from __future__ import annotations

import anyio
import msgspec
from starlette import websockets

from ..core import event, identity, job, target
from ..telemetry import clock, journal
from ..transport import channel, codec, decoding, wire
from . import protocol, session, upstream

_SILENCE_TIMEOUT_S = 2.0
_OPEN_TIMEOUT_S = 5.0
_POLICY_VIOLATION = 1008
_TRY_AGAIN_LATER = 1013

_decoder = msgspec.json.Decoder(protocol.FromTarget)
_encoder = msgspec.json.Encoder()


class ProtocolError(Exception):
    """A protocol violation by a target; the message is sent to it."""


class Connection(session.TargetSession):
    """The session of a target that is connected by a WebSocket."""

    def __init__(
        self,
        target: identity.TargetId,
        name: identity.SessionId,
        event_log: journal.Journal,
    ) -> None:
        """Start with an empty outbox."""
        self.target = target
        self.session = name
        self.outbox: channel.Outbox[protocol.ToTarget] = channel.Outbox()
        self._event_log = event_log

    def is_polled(self) -> bool:
        """Return False, as the target connects to this entry."""
        return False

    def command(self, commands: wire.Commands) -> None:
        """Send the leader's commands to the target."""
        for start in commands.start:
            self._event_log.record(
                'start sent',
                job=start.task.split('.')[0],
                task=start.task,
                attempt=start.attempt,
                target=self.target,
            )
        self.outbox.put(
            protocol.Commands(
                commands.start,
                commands.stop,
                commands.throttle,
                commands.acknowledge,
                self._read_clock(),
            )
        )

    def renew(self, sequence: int) -> None:
        """Tell the target that its lease was renewed."""
        self.outbox.put(protocol.Renewed(sequence, self._read_clock()))

    def end(self) -> None:
        """Tell the target that its session is over."""
        self.outbox.put(protocol.Expired(self._read_clock()))

    def relocate(self) -> None:
        """Ask the target to resume its session at another entry."""
        self.outbox.put(protocol.Move(self._read_clock()))

    def _read_clock(self) -> int:
        return self._event_log.clock.read()


class Connections:
    """Accepts the WebSockets of targets and serves their sessions."""

    def __init__(
        self,
        leader: upstream.Upstream,
        sessions: session.Sessions,
        event_log: journal.Journal,
    ) -> None:
        """Register the sessions of connecting targets in sessions."""
        self._leader = leader
        self._sessions = sessions
        self._event_log = event_log
        self._is_relocating = False

    def announce_stopping(self) -> None:
        """Announce to the leader that this entry is stopping."""
        self._leader.is_stopping = True

    def relocate(self) -> None:
        """Refuse new targets and ask all current ones to move."""
        self._is_relocating = True
        self._sessions.relocate()

    def count(self) -> int:
        """Return the number of target sessions at this entry."""
        return self._sessions.count()

    async def accept(self, socket: websockets.WebSocket) -> None:
        """Serve one target until either side closes or times out."""
        await socket.accept()
        connection: Connection | None = None
        try:
            connection = await self._handshake(socket)
            async with anyio.create_task_group() as group:
                group.start_soon(self._read, socket, connection)
                group.start_soon(_write, socket, connection)
        except* ProtocolError as errors:
            await _close(socket, str(errors.exceptions[0]), _POLICY_VIOLATION)
        except* (
            ConnectionError,
            websockets.WebSocketDisconnect,
            RuntimeError,
        ) as errors:
            await _close(socket, str(errors.exceptions[0]), _TRY_AGAIN_LATER)
        finally:
            self._remove(connection)

    async def _handshake(self, socket: websockets.WebSocket) -> Connection:
        hello = await _receive(socket)
        if not isinstance(hello, protocol.Hello):
            raise ProtocolError('the first message must be hello')
        if hello.version != protocol.VERSION:
            raise ProtocolError('that version is not spoken here')
        if self._is_relocating:
            raise ConnectionError('this entry is stopping')
        self._event_log.clock.observe(hello.clock)
        name = identity.SessionId(hello.resume or '')
        if not name:
            name = await self._open_session(hello)
        connection = Connection(
            identity.TargetId(hello.target), name, self._event_log
        )
        self._sessions.open[name] = connection
        welcome = protocol.Welcome(name, target.LEASE_MS, self._read_clock())
        connection.outbox.put(welcome)
        self._event_log.record('connected', detail=name, target=hello.target)
        return connection

    async def _open_session(self, hello: protocol.Hello) -> identity.SessionId:
        announcement = event.Announcement(
            target=identity.TargetId(hello.target),
            data_centre=identity.DataCentre(hello.data_centre),
            rack=identity.Rack(hello.rack),
            capacity=hello.capacity.resources(),
            nonce=hello.nonce,
            ended=identity.SessionId(hello.ended) if hello.ended else None,
        )
        reply = await self._leader.call(
            wire.OpenSession(announcement), _OPEN_TIMEOUT_S
        )
        if reply is None or reply[codec.TAG] != 'session_granted':
            raise ConnectionError('no session was granted')
        return identity.SessionId(reply['session'])

    async def _read(
        self, socket: websockets.WebSocket, connection: Connection
    ) -> None:
        while True:
            received = await _receive(socket)
            self._event_log.clock.observe(received.clock)
            self._handle_message(connection, received)

    def _handle_message(
        self, connection: Connection, received: protocol.FromTarget
    ) -> None:
        if isinstance(received, protocol.Renew):
            self._sessions.request_renewal(
                connection.session, received.sequence
            )
        elif isinstance(received, protocol.Report):
            self._handle_report(connection, received)
        elif isinstance(received, protocol.Leave):
            self._event_log.record('leave received', target=connection.target)
            self._leader.send(wire.Departure(connection.session))
        else:
            raise ProtocolError('hello was sent twice')

    def _handle_report(
        self, connection: Connection, received: protocol.Report
    ) -> None:
        for started in received.started:
            self._log_attempt(
                connection, started.attempt, 'runs', started.clock
            )
        for ended in received.ended:
            what = f'done: {ended.reason}'
            self._log_attempt(connection, ended.attempt, what, ended.clock)
        self._leader.send(
            wire.Report(
                connection.session,
                tuple(map(_to_attempt_start, received.started)),
                tuple(map(_to_attempt_end, received.ended)),
                tuple(map(_to_attempt_usage, received.usage)),
            )
        )

    def _log_attempt(
        self, connection: Connection, attempt: str, what: str, timestamp: int
    ) -> None:
        task = attempt.split('/', maxsplit=1)[0]
        self._event_log.add_line(
            journal.Line(
                clock=timestamp or self._read_clock(),
                process=connection.target,
                data_centre=self._event_log.origin.data_centre,
                what=what,
                job=task.split('.')[0],
                task=task,
                attempt=attempt,
                target=connection.target,
            )
        )

    def _remove(self, connection: Connection | None) -> None:
        if connection is None:
            return
        if self._sessions.remove(connection.session, connection):
            self._event_log.record('disconnected', target=connection.target)

    def _read_clock(self) -> int:
        return self._event_log.clock.read()


async def _receive(socket: websockets.WebSocket) -> protocol.FromTarget:
    """Return the next message.

    Raises ConnectionError on a timeout or a disconnect, and ProtocolError on an
    invalid message.
    """
    with anyio.move_on_after(_SILENCE_TIMEOUT_S):
        text = await _receive_text(socket)
        if len(text) > protocol.MAX_MESSAGE_BYTES:
            raise ProtocolError('the message is too large')
        with decoding.translate_errors(ProtocolError):
            return _decoder.decode(text)
    raise ConnectionError(f'nothing heard for {_SILENCE_TIMEOUT_S} s')


async def _receive_text(socket: websockets.WebSocket) -> str:
    received = await socket.receive()
    if received['type'] == 'websocket.disconnect':
        raise ConnectionError('the target has left')
    text = received.get('text')
    if not isinstance(text, str):
        raise ProtocolError('a message of bytes is not understood')
    return text


async def _write(socket: websockets.WebSocket, connection: Connection) -> None:
    while True:
        for message in await connection.outbox.take(_SILENCE_TIMEOUT_S):
            text = _encoder.encode(message).decode()
            with anyio.fail_after(_SILENCE_TIMEOUT_S):
                await socket.send_text(text)


async def _close(socket: websockets.WebSocket, reason: str, code: int) -> None:
    if socket.client_state is not websockets.WebSocketState.CONNECTED:
        return
    refused = _encoder.encode(protocol.Refused(reason)).decode()
    with anyio.move_on_after(_SILENCE_TIMEOUT_S):
        try:
            await socket.send_text(refused)
            await socket.close(code)
        except (RuntimeError, websockets.WebSocketDisconnect):
            return


def _to_attempt_start(started: protocol.Started) -> event.AttemptStart:
    return event.AttemptStart(
        identity.AttemptId(started.attempt), clock.wall_of(started.clock)
    )


def _to_attempt_end(ended: protocol.Ended) -> event.AttemptEnd:
    return event.AttemptEnd(
        identity.AttemptId(ended.attempt),
        job.EndReason(ended.reason),
        clock.wall_of(ended.clock),
        ended.answer,
        ended.detail,
        ended.checkpoint,
    )


def _to_attempt_usage(used: protocol.Usage) -> event.AttemptUsage:
    return event.AttemptUsage(
        identity.AttemptId(used.attempt), used.millicores, used.memory_bytes
    )
