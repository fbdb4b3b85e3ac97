"""HTTP requests and responses over ASGI for the platform's interfaces."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import msgspec

# Every process serves its metrics on this port, which is not in the settings.
METRICS_PORT = 9464

OK = 200
TEMPORARY_REDIRECT = 307
BAD_REQUEST = 400
UNAUTHORIZED = 401
FORBIDDEN = 403
NOT_FOUND = 404
GONE = 410
CONFLICT = 409
CONTENT_TOO_LARGE = 413
TOO_MANY_REQUESTS = 429
NOT_IMPLEMENTED = 501
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Application = Callable[[dict[str, Any], Receive, Send], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request with its complete body; header names are in lower case.

    Of a header that is sent several times, headers has the last value, and
    repeated has the name.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    repeated: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response; a body that is not bytes is encoded as JSON."""

    status: int
    body: Any = dataclasses.field(default_factory=dict)
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


class BodyTooLargeError(Exception):
    """The body of a request exceeds the limit."""


async def read_request(
    scope: dict[str, Any], receive: Receive, limit: int
) -> Request:
    """Read a request.

    Raises BodyTooLargeError if the body exceeds limit bytes, and
    ConnectionError if the client disconnects.
    """
    chunks: list[bytes] = []
    size = 0
    has_more = True
    while has_more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise ConnectionError('the client disconnected')
        chunks.append(message.get('body', b''))
        size += len(chunks[-1])
        has_more = message.get('more_body', False)
        if size > limit:
            raise BodyTooLargeError
    headers = [
        (name.decode('latin-1').lower(), text.decode('latin-1'))
        for name, text in scope['headers']
    ]
    return Request(
        scope['method'],
        scope['path'],
        dict(headers),
        b''.join(chunks),
        _find_repeated(headers),
    )


async def has_disconnected(receive: Receive) -> bool:
    """Return whether the client of a request that was read has disconnected.

    A client that has closed only its sending side looks the same.
    """
    with anyio.CancelScope() as scope:
        # A message that has arrived is returned without waiting.
        scope.cancel()
        message = await receive()
        return bool(message['type'] == 'http.disconnect')
    return False


def _find_repeated(headers: list[tuple[str, str]]) -> frozenset[str]:
    """Return the names of the headers that occur more than once."""
    counts = collections.Counter(name for name, _ in headers)
    if len(counts) == len(headers):
        return frozenset()
    return frozenset(name for name, count in counts.items() if count > 1)


async def write_response(send: Send, response: Response) -> None:
    """Send a complete response."""
    body = response.body
    if not isinstance(body, bytes):
        body = msgspec.json.encode(body)
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
        *(
            (name.encode(), text.encode())
            for name, text in response.headers.items()
        ),
    ]
    await send(
        {
            'type': 'http.response.start',
            'status': response.status,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': body})


async def write_text(send: Send, text: str) -> None:
    """Send a plain-text response."""
    await send(
        {
            'type': 'http.response.start',
            'status': OK,
            'headers': [(b'content-type', b'text/plain; charset=utf-8')],
        }
    )
    await send({'type': 'http.response.body', 'body': text.encode()})


async def handle_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the lifespan events of the server."""
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return
