"""Streams of batches over gRPC that fail when the remote end is silent."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import Any, Generic, NoReturn, TypeVar

import anyio
import grpc
import msgspec
from anyio.lowlevel import checkpoint_if_cancelled

from ..telemetry import cost
from . import decoding

# The limit for sending or receiving one batch, and for a unary call.
TIMEOUT_S = 1.0
HEARTBEAT_INTERVAL_S = 0.25
# How long an outbox collects further messages after the first one.
BATCH_DELAY_S = 0.002
MAX_MESSAGE_BYTES = 268_435_456
SERVICE = 'mulberrywalk.Replica'
PEER = 'Peer'
LINK = 'Link'
JOIN = 'Join'
LEAVE = 'Leave'
TIMELINE = 'Timeline'

CHANNEL_OPTIONS = (
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    # Gives each channel its own connection: a new channel must not reuse a
    # connection that has become unresponsive.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.so_reuseport', 0),
    ('grpc.min_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 500),
    ('grpc.initial_reconnect_backoff_ms', 100),
)

# Errors that a stream raises once the remote end is gone.
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
    """A bounded queue of messages that are sent in batches."""

    def __init__(
        self, limit: int = 100_000, batch_delay_s: float = BATCH_DELAY_S
    ) -> None:
        """Create an empty queue of at most limit messages.

        Messages put within batch_delay_s of the first are sent together.
        """
        self._batch_delay_s = batch_delay_s
        self._messages: collections.deque[Sent] = collections.deque(
            maxlen=limit
        )
        self._not_empty = anyio.Event()

    def put(self, message: Sent) -> None:
        """Add a message; a full outbox drops its oldest one."""
        self._messages.append(message)
        self._not_empty.set()

    def flush(self) -> None:
        """Let take return soon, even without a message."""
        self._not_empty.set()

    async def wait(self) -> None:
        """Wait until there is a message."""
        if not self._messages:
            await self._not_empty.wait()

    async def take(self, seconds: float) -> tuple[Sent, ...]:
        """Return all messages, or none if none arrives within seconds."""
        if not self._messages:
            with anyio.move_on_after(seconds):
                await self._not_empty.wait()
                await anyio.sleep(self._batch_delay_s)
        self._not_empty = anyio.Event()
        batch = tuple(self._messages)
        self._messages.clear()
        return batch


class Stream(Generic[Sent, Received]):
    """The client or server end of an open gRPC stream."""

    def __init__(
        self, raw: Any, received: type[Received], meter: cost.Meter
    ) -> None:
        """Wrap a gRPC call or servicer context that has read and write."""
        self._raw = raw
        self._meter = meter
        self._decoder = msgspec.msgpack.Decoder(received)
        self._encoder = msgspec.msgpack.Encoder()

    async def send(self, batch: Sent) -> None:
        """Send one batch.

        Raises ConnectionError when it cannot be encoded or sent in TIMEOUT_S.
        """
        with decoding.translate_errors(ConnectionError):
            encoded = self._encoder.encode(batch)
        self._meter.count_sent(len(encoded))
        with anyio.move_on_after(TIMEOUT_S):
            try:
                await self._raw.write(encoded)
            except _STREAM_ERRORS as error:
                raise ConnectionError(str(error)) from error
            except asyncio.CancelledError as cancellation:
                await _raise_if_cancelled(cancellation)
            return
        raise ConnectionError(f'no message could be sent for {TIMEOUT_S} s')

    async def receive(self) -> Received:
        """Return the next batch.

        Raises ConnectionError when none arrives within TIMEOUT_S, when the
        stream is closed or broken, and when the batch cannot be decoded.
        """
        with anyio.move_on_after(TIMEOUT_S):
            try:
                encoded = await self._raw.read()
            except _STREAM_ERRORS as error:
                raise ConnectionError(str(error)) from error
            except asyncio.CancelledError as cancellation:
                await _raise_if_cancelled(cancellation)
            if encoded is grpc.aio.EOF:
                raise ConnectionError('the remote end has closed the stream')
            self._meter.count_received(len(encoded))
            with decoding.translate_errors(ConnectionError):
                return self._decoder.decode(encoded)
        raise ConnectionError(f'no message received for {TIMEOUT_S} s')


def dial(address: str) -> grpc.aio.Channel:
    """Return a channel that shares its connection with no other."""
    return grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)


def dial_compressed(address: str) -> grpc.aio.Channel:
    """Return a channel that compresses what this end sends.

    A message that would not become smaller is sent as it is. The other end
    needs no setting to read either.
    """
    return grpc.aio.insecure_channel(
        address, options=CHANNEL_OPTIONS, compression=grpc.Compression.Gzip
    )


def open_stream(
    channel: grpc.aio.Channel,
    method: str,
    received: type[Received],
    meter: cost.Meter,
) -> Stream[Any, Received]:
    """Open a stream to a method of a replica."""
    call = channel.stream_stream(f'/{SERVICE}/{method}')()
    return Stream(call, received, meter)


async def call_decoded(
    address: str, method: str, encoded: bytes, reply_type: type[Received]
) -> Received:
    """Make a unary call and return the decoded reply.

    Raises ConnectionError when the call fails or the reply is malformed.
    """
    reply = await call(address, method, encoded)
    with decoding.translate_errors(ConnectionError):
        return msgspec.msgpack.decode(reply, type=reply_type)


async def call(address: str, method: str, encoded: bytes) -> bytes:
    """Make a unary call; raises ConnectionError when it fails."""
    async with dial(address) as channel:
        unary_call = channel.unary_unary(f'/{SERVICE}/{method}')
        try:
            reply: bytes = await unary_call(encoded, timeout=TIMEOUT_S)
        except grpc.RpcError as error:
            raise ConnectionError(f'{address}: {error.code()}') from error
        except asyncio.CancelledError as cancellation:
            await _raise_if_cancelled(cancellation)
    return reply


async def _raise_if_cancelled(cancellation: asyncio.CancelledError) -> NoReturn:
    """Raise the cancellation of this task, or else ConnectionError.

    gRPC consumes a cancellation that arrives while a call waits for its first
    answer, and raises another one that no cancel scope recognises. Unhandled,
    that one cancels the task group of the whole process.
    """
    # Raises if a cancel scope of this task is cancelled.
    await checkpoint_if_cancelled()
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise cancellation
    raise ConnectionError('gRPC has cancelled the call') from cancellation


class Server:
    """Serves the methods of a replica on one address."""

    def __init__(self, address: str) -> None:
        """Create the server; it does not listen before start."""
        self._address = address
        self._server = grpc.aio.server(options=CHANNEL_OPTIONS)

    async def start(
        self,
        streams: MappingProxyType[str, StreamHandler],
        calls: MappingProxyType[str, CallHandler],
    ) -> None:
        """Start listening.

        Raises OSError when the address cannot be bound; it can be called again.
        """
        try:
            self._server.add_insecure_port(self._address)
        except RuntimeError as error:
            raise OSError(f'cannot listen on {self._address}') from error
        handlers: dict[str, Any] = {
            name: grpc.stream_stream_rpc_method_handler(_stream_handler(method))
            for name, method in streams.items()
        }
        handlers.update(
            {
                name: grpc.unary_unary_rpc_method_handler(_call_handler(method))
                for name, method in calls.items()
            }
        )
        generic_handler = grpc.method_handlers_generic_handler(
            SERVICE, handlers
        )
        self._server.add_generic_rpc_handlers((generic_handler,))
        await self._server.start()

    async def stop(self) -> None:
        """Stop listening and close all streams at once."""
        await self._server.stop(grace=0)


def _stream_handler(method: StreamHandler) -> Any:
    async def serve(_: Any, context: Any) -> None:
        await method(context)

    return serve


def _call_handler(method: CallHandler) -> Any:
    async def serve(encoded: bytes, _: Any) -> bytes:
        return await method(encoded)

    return serve
