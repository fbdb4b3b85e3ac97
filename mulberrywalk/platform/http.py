"""The shape of HTTP exchanges that the platform's interfaces share."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

# Where every process shows its metrics, beside the ports of the settings.
METRICS_PORT = 9464

OK = 200
TEMPORARY_REDIRECT = 307
BAD_REQUEST = 400
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
    """A request that was read whole; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An answer; the body is encoded unless it is bytes already."""

    status: int
    body: Any = dataclasses.field(default_factory=dict)
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


class BodyTooLargeError(Exception):
    """The body of a request exceeds what is taken."""


async def read_request(
    scope: dict[str, Any], receive: Receive, limit: int
) -> Request:
    """Return the request; raises BodyTooLargeError beyond limit bytes."""
    chunks: list[bytes] = []
    size = 0
    is_more = True
    while is_more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise ConnectionError('the caller has left')
        chunks.append(message.get('body', b''))
        size += len(chunks[-1])
        is_more = message.get('more_body', False)
        if size > limit:
            raise BodyTooLargeError
    return Request(
        scope['method'],
        scope['path'],
        {
            name.decode('latin-1').lower(): text.decode('latin-1')
            for name, text in scope['headers']
        },
        b''.join(chunks),
    )


async def write_response(send: Send, response: Response) -> None:
    """Send a whole answer."""
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
    """Send a page of plain text."""
    await send(
        {
            'type': 'http.response.start',
            'status': OK,
            'headers': [(b'content-type', b'text/plain; charset=utf-8')],
        }
    )
    await send({'type': 'http.response.body', 'body': text.encode()})


async def handle_lifespan(receive: Receive, send: Send) -> None:
    """Answer the server's start and stop; there is nothing to do."""
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return
