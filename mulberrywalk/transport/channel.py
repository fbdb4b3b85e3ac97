"""Streams of batches over gRPC, given up when the other end is silent."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import Any, Generic, TypeVar

import anyio
import grpc
import msgspec

from ..telemetry import cost
from . import decoding

TIMEOUT_S = 1.0
HEARTBEAT_INTERVAL_S = 0.25
BATCH_DELAY_S = 0.002
MAX_MESSAGE_BYTES = 268_435_456
SERVICE = 'mulberrywalk.Replica'
PEER = 'Peer'
LINK = 'Link'
JOIN = 'Join'
TIMELINE = 'Timeline'

CHANNEL_OPTIONS = (
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    # A channel of its own connection: a new one must not inherit a
    # connection that has gone silent.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.so_reuseport', 0),
    ('grpc.min_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 500),
    ('grpc.initial_reconnect_backoff_ms', 100),
)

# What a stream raises once its other end is gone.
_STREAM_ERRORS = (
    grpc.RpcError,
    grpc.aio.UsageError,
    asyncio.InvalidStateError,
    RuntimeError,
)

Sent = TypeVar('Sent')
Received = TypeVar('Received')
CallHandler = Callable[[bytes], Awaitable[bytes]]
StreamHandler = Callable[[Any], Awaitable[None]]


class Outbox(Generic[Sent]):
    """Messages that wait to be sent in one batch, bounded in number."""

    def __init__(
        self, limit: int = 100_000, batch_delay_s: float = BATCH_DELAY_S
    ) -> None:
        """Start empty; what comes within batch_delay_s leaves together."""
        self._batch_delay_s = batch_delay_s
        self._messages: collections.deque[Sent] = collections.deque(
            maxlen=limit
        )
        self._filled = anyio.Event()

    def put(self, message: Sent) -> None:
        """Add a message; the oldest is dropped from a full outbox."""
        self._messages.append(message)
        self._filled.set()

    async def take(self, seconds: float) -> tuple[Sent, ...]:
        """Return all messages, or none after waiting that long."""
        if not self._messages:
            with anyio.move_on_after(seconds):
                await self._filled.wait()
                await anyio.sleep(self._batch_delay_s)
        self._filled = anyio.Event()
        taken = tuple(self._messages)
        self._messages.clear()
        return taken


class Stream(Generic[Sent, Received]):
    """One open gRPC stream, either end of it."""

    def __init__(
        self, raw: Any, received: type[Received], meter: cost.Meter
    ) -> None:
        """Wrap a gRPC call or servicer context with read and write."""
        self._raw = raw
        self._meter = meter
        self._decoder = msgspec.msgpack.Decoder(received)
        self._encoder = msgspec.msgpack.Encoder()

    async def send(self, batch: Sent) -> None:
        """Send one batch; raises ConnectionError when it cannot leave."""
        with decoding.translate_errors(ConnectionError):
            encoded = self._encoder.encode(batch)
        self._meter.count_sent(len(encoded))
        with anyio.move_on_after(TIMEOUT_S):
            try:
                await self._raw.write(encoded)
            except _STREAM_ERRORS as error:
                raise ConnectionError(str(error)) from error
            return
        raise ConnectionError(f'nothing left for {TIMEOUT_S} s')

    async def receive(self) -> Received:
        """Return the next batch.

        Raises ConnectionError on silence, and when it cannot be read.
        """
        with anyio.move_on_after(TIMEOUT_S):
            try:
                encoded = await self._raw.read()
            except _STREAM_ERRORS as error:
                raise ConnectionError(str(error)) from error
            if encoded is grpc.aio.EOF:
                raise ConnectionError('the other end has closed the stream')
            self._meter.count_received(len(encoded))
            with decoding.translate_errors(ConnectionError):
                return self._decoder.decode(encoded)
        raise ConnectionError(f'nothing heard for {TIMEOUT_S} s')


def dial(address: str) -> grpc.aio.Channel:
    """Return a channel with a connection of its own."""
    return grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)


def open_stream(
    channel: grpc.aio.Channel,
    method: str,
    received: type[Received],
    meter: cost.Meter,
) -> Stream[Any, Received]:
    """Return a stream of a replica's method."""
    call = channel.stream_stream(f'/{SERVICE}/{method}')()
    return Stream(call, received, meter)


async def call_decoded(
    address: str, method: str, encoded: bytes, answer: type[Received]
) -> Received:
    """Return the answer of a method that is called once.

    Raises ConnectionError when the call fails or the answer is unreadable.
    """
    answered = await call(address, method, encoded)
    with decoding.translate_errors(ConnectionError):
        return msgspec.msgpack.decode(answered, type=answer)


async def call(address: str, method: str, encoded: bytes) -> bytes:
    """Call a method once; raises ConnectionError when it fails."""
    async with dial(address) as channel:
        asked = channel.unary_unary(f'/{SERVICE}/{method}')
        try:
            answered: bytes = await asked(encoded, timeout=TIMEOUT_S)
        except grpc.RpcError as error:
            raise ConnectionError(f'{address}: {error.code()}') from error
    return answered


class Server:
    """Serves the methods of a replica on one address."""

    def __init__(self, address: str) -> None:
        """Prepare to listen; nothing is opened yet."""
        self._address = address
        self._server = grpc.aio.server(options=CHANNEL_OPTIONS)

    async def start(
        self,
        streams: MappingProxyType[str, StreamHandler],
        calls: MappingProxyType[str, CallHandler],
    ) -> None:
        """Listen; raises OSError when the address cannot be had."""
        handlers: dict[str, Any] = {
            name: grpc.stream_stream_rpc_method_handler(_stream(method))
            for name, method in streams.items()
        }
        handlers.update(
            {
                name: grpc.unary_unary_rpc_method_handler(_call(method))
                for name, method in calls.items()
            }
        )
        generic = grpc.method_handlers_generic_handler(SERVICE, handlers)
        self._server.add_generic_rpc_handlers((generic,))
        try:
            self._server.add_insecure_port(self._address)
        except RuntimeError as error:
            raise OSError(f'cannot listen on {self._address}') from error
        await self._server.start()

    async def stop(self) -> None:
        """Close all streams."""
        await self._server.stop(grace=0)


def _stream(method: StreamHandler) -> Any:
    async def serve(_: Any, context: Any) -> None:
        await method(context)

    return serve


def _call(method: CallHandler) -> Any:
    async def serve(encoded: bytes, _: Any) -> bytes:
        return await method(encoded)

    return serve
