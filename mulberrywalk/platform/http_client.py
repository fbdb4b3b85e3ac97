"""HTTP/1.1 calls to workers and the adviser over pooled connections.

Calls are most of the work of an entry, and a general client library spends
several times the processor time of h11 on each of them.
"""

from __future__ import annotations

import contextlib
import dataclasses
import select
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from . import bound

# Connections that are unused for longer are closed.
_MAX_IDLE_S = 20
_MAX_READ_BYTES = 65_536
# A listing of 10,000 rows takes about a tenth of this.
_MAX_REPLY_BYTES = 8_388_608
_CONTENT_ENCODING = b'content-encoding'
_NO_WAIT_MS = 0

# Raised by a call that gets no valid reply or has an invalid header.
_CALL_ERRORS = (
    OSError,
    ValueError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    h11.ProtocolError,
)

Exchanged = TypeVar('Exchanged')


class ReplyError(ValueError):
    """A reply has no status, is packed or is too large."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A POST request without the headers that name host and length."""

    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """A reply with its complete body."""

    status: int
    body: bytes


class Connection:
    """An open connection, which carries one call at a time.

    peer identifies the process that has answered on it, None before; callers
    set it. A process that is started again does not get its connections back.
    """

    def __init__(self, address: str, stream: SocketStream) -> None:
        """Use a stream that is connected to the address."""
        self.address = address
        self.used_at = time.monotonic()
        self._use(stream)

    def is_reusable(self) -> bool:
        """Return whether another call can be sent.

        An idle connection becomes readable when the remote end closes it.
        Bytes behind a reply would be taken for the next one.
        """
        is_idle = self._protocol.our_state is h11.IDLE
        surplus, _ = self._protocol.trailing_data
        return (
            is_idle
            and not surplus
            and not _is_closed_or_readable(self._socket.fileno())
        )

    async def call(self, request: HttpRequest) -> HttpReply:
        """Send a request and return the reply; raises one of _CALL_ERRORS."""
        await self._stream.send(self._encode(request))
        reply = await self._read_reply()
        if self._protocol.our_state is h11.DONE:
            self._protocol.start_next_cycle()
        self.used_at = time.monotonic()
        return reply

    async def reopen(self) -> None:
        """Replace a stream that takes no further call; the peer is unknown.

        Raises one of _CALL_ERRORS.
        """
        await self.close()
        self._use(await _connect(self.address))

    async def close(self) -> None:
        """Close the connection without waiting for the remote end."""
        await anyio.aclose_forcefully(self._stream)

    def _use(self, stream: SocketStream) -> None:
        self.peer: int | None = None
        self._stream = stream
        self._protocol = h11.Connection(h11.CLIENT)
        self._socket = stream.extra_attributes[SocketAttribute.raw_socket]()

    def _encode(self, request: HttpRequest) -> bytes:
        headers = {
            'Host': self.address,
            'Content-Length': str(len(request.body)),
            **request.headers,
        }
        head = h11.Request(
            method='POST', target=request.path, headers=list(headers.items())
        )
        events = (head, h11.Data(request.body), h11.EndOfMessage())
        return b''.join(self._protocol.send(one) or b'' for one in events)

    async def _read_reply(self) -> HttpReply:
        head = await self._next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await self._next_event()
        if not isinstance(head, h11.Response):
            raise ReplyError('the reply has no status')
        if any(name == _CONTENT_ENCODING for name, _ in head.headers):
            raise ReplyError('the reply has a content encoding')
        return HttpReply(head.status_code, await self._read_body())

    async def _read_body(self) -> bytes:
        body = bytearray()
        received = await self._next_event()
        while isinstance(received, h11.Data):
            body.extend(received.data)
            if len(body) > _MAX_REPLY_BYTES:
                raise ReplyError('the reply is too large')
            received = await self._next_event()
        return bytes(body)

    async def _next_event(self) -> object:
        while True:
            received = self._protocol.next_event()
            if received is not h11.NEED_DATA:
                return received
            try:
                chunk = await self._stream.receive(_MAX_READ_BYTES)
            except anyio.EndOfStream:
                # The end of the stream may be the end of the body.
                chunk = b''
            self._protocol.receive_data(chunk)


class ConnectionPool:
    """Connections to any number of addresses, reused between calls.

    Callers limit the number of calls that they make at a time.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self._idle: dict[str, list[Connection]] = {}

    async def call(
        self, address: str, request: HttpRequest, timeout_s: float
    ) -> HttpReply | None:
        """Send a request; return the reply, or None if there is none in time.

        Also returns None if the address is not IPv4:port, if the call fails,
        and for a reply that has a content encoding or is too large.
        """

        async def send(connection: Connection) -> HttpReply:
            return await connection.call(request)

        return await self.use(address, send, timeout_s)

    async def use(
        self,
        address: str,
        exchange: Callable[[Connection], Awaitable[Exchanged]],
        timeout_s: float,
        *,
        is_new: bool = False,
    ) -> Exchanged | None:
        """Return the result of an exchange of calls on one connection.

        Returns None where call does; timeout_s is for the whole exchange. With
        is_new the connection is opened for it.
        """
        if not bound.is_address(address):
            return None
        with anyio.move_on_after(timeout_s):
            try:
                connection = await self._take(address, is_new=is_new)
                return await self._exchange(connection, exchange)
            except _CALL_ERRORS:
                return None
        return None

    def count_idle(self) -> int:
        """Return the number of connections that carry no call."""
        return sum(map(len, self._idle.values()))

    async def _exchange(
        self,
        connection: Connection,
        exchange: Callable[[Connection], Awaitable[Exchanged]],
    ) -> Exchanged:
        async with contextlib.AsyncExitStack() as stack:
            # Without a reply the next one could answer the earlier request.
            stack.push_async_callback(connection.close)
            exchanged = await exchange(connection)
            if connection.is_reusable():
                stack.pop_all()
                self._idle.setdefault(connection.address, []).append(connection)
        return exchanged

    async def _take(self, address: str, *, is_new: bool) -> Connection:
        """Return an idle connection unless is_new, or else a new one."""
        idle = self._idle.get(address, [])
        while idle and not is_new:
            connection = idle.pop()
            if connection.is_reusable():
                return connection
            await connection.close()
        await self._close_unused()
        return Connection(address, await _connect(address))

    async def _close_unused(self) -> None:
        """Close the connections to all addresses that were idle for long."""
        unused = self._remove_unused()
        with anyio.CancelScope(shield=True):
            for connection in unused:
                await connection.close()

    def _remove_unused(self) -> list[Connection]:
        """Remove and return the connections that were idle for long.

        Nothing else runs meanwhile: another call may take any connection that
        is left. Lists are changed in place, as a call may hold one.
        """
        used_since = time.monotonic() - _MAX_IDLE_S
        unused: list[Connection] = []
        for address, connections in list(self._idle.items()):
            out_of_use = [
                one for one in connections if one.used_at < used_since
            ]
            for connection in out_of_use:
                connections.remove(connection)
            if not connections:
                self._idle.pop(address)
            unused.extend(out_of_use)
        return unused


async def _connect(address: str) -> SocketStream:
    host, _, port = address.rpartition(':')
    return await anyio.connect_tcp(host, int(port))


def _is_closed_or_readable(descriptor: int) -> bool:
    """Return whether a descriptor is negative or has something to read."""
    if descriptor < 0:
        return True
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(_NO_WAIT_MS))
