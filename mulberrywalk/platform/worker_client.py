"""Calls to the platform's workers and to its adviser."""

from __future__ import annotations

import dataclasses
import ssl
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import anyio
import httpx
import msgspec

from ..core import identity
from ..entry import adviser, target_client
from ..telemetry import journal
from ..transport import wire as messages
from . import http, validation, wire

_ORDER_S = 0.3
# Beyond the time that the answer itself is allowed to wait for an end.
_LOOK_S = 0.4
_ADVICE_S = 4.0
_MS_PER_S = 1000
_MOST_CONNECTIONS = 24
_IDLE_S = 20
# Longer than any call waits by itself.
_CLIENT_S = 30
_PLACE = 'Mulberrywalk-Expected-Instance'
_WRONG_LIFE = 421
_HEADERS = MappingProxyType(
    {'Content-Type': 'application/json', 'Accept-Encoding': 'identity'}
)
_PACKED = 'content-encoding'
# Of an answer; 10,000 rows of a listing take about a tenth of it.
_MOST_BYTES = 8_388_608

_STATUSES = MappingProxyType(
    {
        http.OK: target_client.CallResult.DONE,
        http.BAD_REQUEST: target_client.CallResult.INVALID,
        _WRONG_LIFE: target_client.CallResult.WRONG_INCARNATION,
        http.TOO_MANY_REQUESTS: target_client.CallResult.UNHEALTHY,
        http.SERVICE_UNAVAILABLE: target_client.CallResult.UNHEALTHY,
    }
)

# What a call raises when nobody answers, and for a header that no call can be
# made with.
_UNANSWERED = (
    httpx.HTTPError,
    OSError,
    ValueError,
    anyio.ClosedResourceError,
)


class ClientPool:
    """One HTTP client for each address that is called.

    A client looks at all of its idle connections on each call, so that one
    for all addresses would cost more the more there are.
    """

    def __init__(self) -> None:
        """Start without clients."""
        self._clients: dict[str, httpx.AsyncClient] = {}
        # Nothing is encrypted here; a client without one makes its own.
        self._context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)

    def get(self, address: str) -> httpx.AsyncClient | None:
        """Return the client of an address, or None when it is not IPv4:port."""
        if not validation.is_address(address):
            return None
        client = self._clients.get(address)
        if client is None:
            client = httpx.AsyncClient(
                base_url=f'http://{address}',
                timeout=_CLIENT_S,
                trust_env=False,
                verify=self._context,
                limits=httpx.Limits(
                    max_connections=_MOST_CONNECTIONS,
                    max_keepalive_connections=_MOST_CONNECTIONS,
                    keepalive_expiry=_IDLE_S,
                ),
            )
            self._clients[address] = client
        return client

    async def close(self, address: str) -> None:
        """Close the connections to an address that is called no more."""
        client = self._clients.pop(address, None)
        if client is not None:
            await client.aclose()


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """An answer that was read whole."""

    status: int
    body: bytes


async def post(
    client: httpx.AsyncClient | None,
    url: str,
    body: dict[str, Any],
    headers: Mapping[str, str],
    seconds: float,
) -> HttpReply | None:
    """Return the answer, or None when none came in time or none can come.

    One that is packed, or longer than _MOST_BYTES, counts as none.
    """
    if client is None:
        return None
    encoded = msgspec.json.encode(body)
    with anyio.move_on_after(seconds):
        try:
            async with client.stream(
                'POST', url, content=encoded, headers=headers
            ) as answered:
                return await _read(answered)
        except _UNANSWERED:
            return None
    return None


async def _read(answered: httpx.Response) -> HttpReply | None:
    if _PACKED in answered.headers:
        return None
    chunks: list[bytes] = []
    size = 0
    async for chunk in answered.aiter_raw():
        size += len(chunk)
        if size > _MOST_BYTES:
            return None
        chunks.append(chunk)
    return HttpReply(answered.status_code, b''.join(chunks))


class WorkerClient(target_client.TargetClient):
    """Orders and looks as calls to workers."""

    def __init__(self, clients: ClientPool, lines: journal.Journal) -> None:
        """Use the clients that are given."""
        self._clients = clients
        self._lines = lines

    async def poll(
        self,
        destination: target_client.Destination,
        glance: target_client.PollRequest,
    ) -> target_client.PollResult | target_client.CallResult:
        """Return what a look has shown, or why there is nothing."""
        body: dict[str, Any] = {
            'fencingToken': glance.term,
            'ackCursor': glance.acknowledged,
        }
        if glance.lease_until_ms is not None:
            body['deadlineMs'] = glance.lease_until_ms
        if glance.wait_ms:
            body['waitMs'] = glance.wait_ms
        seconds = _LOOK_S + glance.wait_ms / _MS_PER_S
        answered = await self._call(destination, 'hold', body, seconds)
        if answered is None:
            return target_client.CallResult.NO_REPLY
        if answered.status != http.OK:
            return _answer_of(answered)
        try:
            return wire.read_listing(answered.body)
        except wire.WireError as error:
            self._lines.warn(
                'listing refused', f'of {destination.target}: {error}'
            )
            return target_client.CallResult.INVALID

    async def start(
        self,
        destination: target_client.Destination,
        command: messages.StartCommand,
        until: int,
        term: int,
    ) -> target_client.CallResult:
        """Start an attempt under a lease until a time of the worker."""
        body = _order(command.attempt, term)
        body['spec'] = command.payload
        body['deadlineMs'] = until
        if command.checkpoint:
            body['checkpoint'] = command.checkpoint
        if command.ticket:
            body['ticket'] = command.ticket
        return await self._order(destination, 'run-start', body)

    async def stop(
        self,
        destination: target_client.Destination,
        attempt: identity.AttemptId,
        term: int,
    ) -> target_client.CallResult:
        """Stop an attempt, and bar it where it was not started yet."""
        body = _order(attempt, term)
        return await self._order(destination, 'run-stop', body)

    async def pace(
        self,
        destination: target_client.Destination,
        attempt: identity.AttemptId,
        percent: int,
        term: int,
    ) -> target_client.CallResult:
        """Let an attempt work at a share of its speed."""
        body = _order(attempt, term)
        body['percent'] = percent
        return await self._order(destination, 'pace', body)

    async def _order(
        self,
        destination: target_client.Destination,
        path: str,
        body: dict[str, Any],
    ) -> target_client.CallResult:
        answered = await self._call(destination, path, body, _ORDER_S)
        return (
            target_client.CallResult.NO_REPLY
            if answered is None
            else _answer_of(answered)
        )

    async def _call(
        self,
        destination: target_client.Destination,
        path: str,
        body: dict[str, Any],
        seconds: float,
    ) -> HttpReply | None:
        return await post(
            self._clients.get(destination.address),
            f'/{path}',
            body,
            {**_HEADERS, _PLACE: destination.target},
            seconds,
        )


class HttpAdviserClient(adviser.AdviserClient):
    """Questions as calls to the adviser of the platform."""

    def __init__(
        self, clients: ClientPool, address: str, lines: journal.Journal
    ) -> None:
        """Ask at an address, host:port."""
        self._clients = clients
        self._address = address
        self._lines = lines

    async def advise(
        self, step: identity.StepId, targets: tuple[identity.TargetId, ...]
    ) -> tuple[tuple[identity.TargetId, str], ...] | None:
        """Return allowed workers with their tickets, or None on failure."""
        answered = await post(
            self._clients.get(self._address),
            '/advise',
            {'step': step, 'workers': targets},
            _HEADERS,
            _ADVICE_S,
        )
        if answered is None or answered.status != http.OK:
            return None
        try:
            return wire.read_tickets(answered.body)
        except wire.WireError as error:
            self._lines.warn('advice refused', f'on {step}: {error}')
            return None


def _order(attempt: identity.AttemptId, term: int) -> dict[str, Any]:
    task, run = wire.split_attempt_id(attempt)
    return {'task': task, 'runId': run, 'fencingToken': term}


def _answer_of(answered: HttpReply) -> target_client.CallResult:
    if answered.status == http.CONFLICT:
        return wire.read_refusal(answered.body)
    return _STATUSES.get(answered.status, target_client.CallResult.NO_REPLY)
