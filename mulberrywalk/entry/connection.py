"""The WebSockets of targets and the sessions that they carry."""

from __future__ import annotations

import anyio
import msgspec
from starlette import websockets

from ..core import event, identity, job, target
from ..telemetry import clock, journal
from ..transport import channel, codec, reading, wire
from . import protocol, session, upstream

_SILENCE_S = 2.0
_OPEN_S = 5.0
_POLICY_VIOLATION = 1008
_TRY_AGAIN = 1013

_decoder = msgspec.json.Decoder(protocol.FromTarget)
_encoder = msgspec.json.Encoder()


class ProtocolError(Exception):
    """A target broke the protocol; the text tells it how."""


class Connection(session.TargetSession):
    """One target that is connected to this entry by a WebSocket."""

    def __init__(
        self,
        target: identity.TargetId,
        name: identity.SessionId,
        lines: journal.Journal,
    ) -> None:
        """Start with nothing to send."""
        self.target = target
        self.session = name
        self.outbox: channel.Outbox[protocol.ToTarget] = channel.Outbox()
        self._journal = lines

    def is_polled(self) -> bool:
        """Return that the target has dialled in."""
        return False

    def command(self, commands: wire.Commands) -> None:
        """Send what the leader wants the target to do."""
        for start in commands.start:
            self._journal.record(
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
                self._stamp(),
            )
        )

    def renew(self, sequence: int) -> None:
        """Tell the target that its renewal was received."""
        self.outbox.put(protocol.Renewed(sequence, self._stamp()))

    def end(self) -> None:
        """Tell the target that its session is over."""
        self.outbox.put(protocol.Expired(self._stamp()))

    def relocate(self) -> None:
        """Ask the target to resume at another entry."""
        self.outbox.put(protocol.Move(self._stamp()))

    def _stamp(self) -> int:
        return self._journal.clock.read()


class Connections:
    """The targets that dial in to this entry."""

    def __init__(
        self,
        leader: upstream.Upstream,
        sessions: session.Sessions,
        lines: journal.Journal,
    ) -> None:
        """Keep the sessions of the targets that connect among all."""
        self._leader = leader
        self._sessions = sessions
        self._journal = lines
        self._is_moving = False

    def announce_stopping(self) -> None:
        """Let the leader know that this entry is stopping."""
        self._leader.is_stopping = True

    def relocate(self) -> None:
        """Take no more targets, and let go of all."""
        self._is_moving = True
        self._sessions.relocate()

    def count(self) -> int:
        """Return how many targets this entry carries."""
        return self._sessions.count()

    async def accept(self, socket: websockets.WebSocket) -> None:
        """Serve one target until either end closes or falls silent."""
        await socket.accept()
        connection: Connection | None = None
        try:
            connection = await self._greet(socket)
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
            await _close(socket, str(errors.exceptions[0]), _TRY_AGAIN)
        finally:
            self._forget(connection)

    async def _greet(self, socket: websockets.WebSocket) -> Connection:
        hello = await _receive(socket)
        if not isinstance(hello, protocol.Hello):
            raise ProtocolError('the first message must be hello')
        if hello.version != protocol.VERSION:
            raise ProtocolError('that version is not spoken here')
        if self._is_moving:
            raise ConnectionError('this entry is stopping')
        self._journal.clock.witness(hello.clock)
        name = identity.SessionId(hello.resume or '')
        if not name:
            name = await self._open_session(hello)
        connection = Connection(
            identity.TargetId(hello.target), name, self._journal
        )
        self._sessions.open[name] = connection
        welcome = protocol.Welcome(name, target.LEASE_MS, self._stamp())
        connection.outbox.put(welcome)
        self._journal.record('connected', detail=name, target=hello.target)
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
        reply = await self._leader.call(wire.OpenSession(announcement), _OPEN_S)
        if reply is None or reply[codec.TAG] != 'session_granted':
            raise ConnectionError('no session was granted')
        return identity.SessionId(reply['session'])

    async def _read(
        self, socket: websockets.WebSocket, connection: Connection
    ) -> None:
        while True:
            received = await _receive(socket)
            self._journal.clock.witness(received.clock)
            self._take(connection, received)

    def _take(
        self, connection: Connection, received: protocol.FromTarget
    ) -> None:
        if isinstance(received, protocol.Renew):
            self._sessions.request_renewal(
                connection.session, received.sequence
            )
        elif isinstance(received, protocol.Report):
            self._take_report(connection, received)
        elif isinstance(received, protocol.Leave):
            self._journal.record('leave received', target=connection.target)
            self._leader.send(wire.Departure(connection.session))
        else:
            raise ProtocolError('hello was sent twice')

    def _take_report(
        self, connection: Connection, received: protocol.Report
    ) -> None:
        for started in received.started:
            self._keep(connection, started.attempt, 'runs', started.clock)
        for ended in received.ended:
            what = f'done: {ended.reason}'
            self._keep(connection, ended.attempt, what, ended.clock)
        self._leader.send(
            wire.Report(
                connection.session,
                tuple(map(_start_of, received.started)),
                tuple(map(_end_of, received.ended)),
                tuple(map(_usage_of, received.usage)),
            )
        )

    def _keep(
        self, connection: Connection, attempt: str, what: str, stamp: int
    ) -> None:
        task = attempt.split('/', maxsplit=1)[0]
        self._journal.keep(
            journal.Line(
                clock=stamp or self._stamp(),
                process=connection.target,
                data_centre=self._journal.origin.data_centre,
                what=what,
                job=task.split('.')[0],
                task=task,
                attempt=attempt,
                target=connection.target,
            )
        )

    def _forget(self, connection: Connection | None) -> None:
        if connection is None:
            return
        if self._sessions.remove(connection.session, connection):
            self._journal.record('disconnected', target=connection.target)

    def _stamp(self) -> int:
        return self._journal.clock.read()


async def _receive(socket: websockets.WebSocket) -> protocol.FromTarget:
    """Return the next message; raises on silence and on bad messages."""
    with anyio.move_on_after(_SILENCE_S):
        text = await _receive_text(socket)
        if len(text) > protocol.MAX_MESSAGE_BYTES:
            raise ProtocolError('the message is too large')
        with reading.refused_as(ProtocolError):
            return _decoder.decode(text)
    raise ConnectionError(f'nothing heard for {_SILENCE_S} s')


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
        for message in await connection.outbox.take(_SILENCE_S):
            text = _encoder.encode(message).decode()
            with anyio.fail_after(_SILENCE_S):
                await socket.send_text(text)


async def _close(socket: websockets.WebSocket, reason: str, code: int) -> None:
    if socket.client_state is not websockets.WebSocketState.CONNECTED:
        return
    refused = _encoder.encode(protocol.Refused(reason)).decode()
    with anyio.move_on_after(_SILENCE_S):
        try:
            await socket.send_text(refused)
            await socket.close(code)
        except (RuntimeError, websockets.WebSocketDisconnect):
            return


def _start_of(started: protocol.Started) -> event.AttemptStart:
    return event.AttemptStart(
        identity.AttemptId(started.attempt), clock.wall_of(started.clock)
    )


def _end_of(ended: protocol.Ended) -> event.AttemptEnd:
    return event.AttemptEnd(
        identity.AttemptId(ended.attempt),
        job.EndReason(ended.reason),
        clock.wall_of(ended.clock),
        ended.answer,
        ended.detail,
        ended.checkpoint,
    )


def _usage_of(used: protocol.Usage) -> event.AttemptUsage:
    return event.AttemptUsage(
        identity.AttemptId(used.attempt), used.millicores, used.memory_bytes
    )
