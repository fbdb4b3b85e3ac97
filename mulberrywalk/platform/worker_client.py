"""HTTP clients of the platform's workers and of its adviser."""

from __future__ import annotations

from types import MappingProxyType
from typing import Any, TypeAlias

import msgspec

from ..core import identity
from ..entry import adviser, target_client
from ..telemetry import journal
from ..transport import wire as messages
from . import http, http_client, wire

_COMMAND_TIMEOUT_S = 0.3
# Added to the time for which the worker may delay its reply.
_POLL_MARGIN_S = 0.4
_ADVICE_TIMEOUT_S = 4.0
_MS_PER_S = 1000
_EXPECTED_INSTANCE_HEADER = 'Mulberrywalk-Expected-Instance'
_MISDIRECTED_REQUEST = 421
_PollReply: TypeAlias = target_client.PollResult | target_client.CallResult

_HEADERS = MappingProxyType(
    {'Content-Type': 'application/json', 'Accept-Encoding': 'identity'}
)

_RESULTS_BY_STATUS = MappingProxyType(
    {
        http.OK: target_client.CallResult.DONE,
        http.BAD_REQUEST: target_client.CallResult.INVALID,
        _MISDIRECTED_REQUEST: target_client.CallResult.WRONG_INCARNATION,
        http.TOO_MANY_REQUESTS: target_client.CallResult.UNHEALTHY,
        http.SERVICE_UNAVAILABLE: target_client.CallResult.UNHEALTHY,
    }
)


class WorkerClient(target_client.TargetClient):
    """Sends polls and commands to workers over HTTP.

    A worker that starts again under its id answers calls meant for its earlier
    incarnation. A connection reaches one incarnation only, so a call that must
    not reach another one is sent on a connection on which that incarnation has
    answered; on a new connection a poll without numbers goes first.
    """

    def __init__(
        self,
        connections: http_client.ConnectionPool,
        event_log: journal.Journal,
    ) -> None:
        """Set up the state."""
        self._connections = connections
        self._event_log = event_log

    async def poll(
        self,
        destination: target_client.Destination,
        request: target_client.PollRequest,
    ) -> target_client.PollResult | target_client.CallResult:
        """Poll a worker; return its state, or why the poll failed."""

        async def exchange(connection: http_client.Connection) -> _PollReply:
            if _carries_numbers(request):
                found = await self._identify(
                    connection, destination, request.term
                )
                if found is not None:
                    return found
            return await self._poll(connection, destination, request)

        timeout_s = _POLL_MARGIN_S + request.wait_ms / _MS_PER_S
        reply = await self._connections.use(
            destination.address, exchange, timeout_s
        )
        return reply or target_client.CallResult.NO_REPLY

    async def identify(
        self, destination: target_client.Destination, term: int
    ) -> target_client.PollResult | target_client.CallResult:
        """Poll a worker on a new connection; it carries no numbers."""

        async def exchange(connection: http_client.Connection) -> _PollReply:
            return await self._poll(
                connection, destination, _unnumbered_poll(term)
            )

        reply = await self._connections.use(
            destination.address, exchange, _POLL_MARGIN_S, is_new=True
        )
        return reply or target_client.CallResult.NO_REPLY

    async def start(
        self,
        destination: target_client.Destination,
        command: messages.StartCommand,
        deadline_ms: int,
        term: int,
    ) -> target_client.CallResult:
        """Start an attempt, unless the call arrives after deadline_ms.

        deadline_ms is a time on the worker's clock.
        """
        body = _command_body(command.attempt, term)
        body['spec'] = command.payload
        body['deadlineMs'] = deadline_ms
        if command.checkpoint:
            body['checkpoint'] = command.checkpoint
        if command.ticket:
            body['ticket'] = command.ticket
        request = _create_request(destination, 'run-start', body)

        async def exchange(
            connection: http_client.Connection,
        ) -> target_client.CallResult:
            found = await self._identify(connection, destination, term)
            if found is not None:
                return _explain_unsent(found)
            return _to_call_result(await connection.call(request))

        call_result = await self._connections.use(
            destination.address, exchange, _COMMAND_TIMEOUT_S
        )
        return call_result or target_client.CallResult.NO_REPLY

    async def stop(
        self,
        destination: target_client.Destination,
        attempt: identity.AttemptId,
        term: int,
    ) -> target_client.CallResult:
        """Stop an attempt, or bar it from starting if it has not started."""
        body = _command_body(attempt, term)
        return await self._send_command(destination, 'run-stop', body)

    async def pace(
        self,
        destination: target_client.Destination,
        attempt: identity.AttemptId,
        percent: int,
        term: int,
    ) -> target_client.CallResult:
        """Limit an attempt to a percentage of its full speed."""
        body = _command_body(attempt, term)
        body['percent'] = percent
        return await self._send_command(destination, 'pace', body)

    async def _send_command(
        self,
        destination: target_client.Destination,
        path: str,
        body: dict[str, Any],
    ) -> target_client.CallResult:
        """Send a command that any incarnation may get."""
        reply = await self._connections.call(
            destination.address,
            _create_request(destination, path, body),
            _COMMAND_TIMEOUT_S,
        )
        return (
            target_client.CallResult.NO_REPLY
            if reply is None
            else _to_call_result(reply)
        )

    async def _identify(
        self,
        connection: http_client.Connection,
        destination: target_client.Destination,
        term: int,
    ) -> _PollReply | None:
        """Return None if a connection reaches the named incarnation.

        Otherwise return the answer of the other one, or why there is none.
        """
        if connection.peer == destination.born_at:
            return None
        found = await self._poll(
            connection, destination, _unnumbered_poll(term)
        )
        if connection.peer != destination.born_at:
            return found
        if not connection.is_reusable():
            # A worker that closes its connections after each reply has just
            # answered, and starting again takes longer than connecting.
            await connection.reopen()
        return None

    async def _poll(
        self,
        connection: http_client.Connection,
        destination: target_client.Destination,
        request: target_client.PollRequest,
    ) -> _PollReply:
        """Poll on one connection, and note who has answered on it."""
        body: dict[str, Any] = {
            'fencingToken': request.term,
            'ackCursor': request.acknowledged,
        }
        if request.lease_until_ms is not None:
            body['deadlineMs'] = request.lease_until_ms
        if request.wait_ms:
            body['waitMs'] = request.wait_ms
        reply = await connection.call(
            _create_request(destination, 'hold', body)
        )
        if reply.status != http.OK:
            return _to_call_result(reply)
        try:
            listing = wire.read_listing(reply.body)
        except wire.WireError as error:
            self._event_log.warn(
                'listing refused', f'from {destination.target}: {error}'
            )
            return target_client.CallResult.INVALID
        connection.peer = listing.born_at
        return listing


class HttpAdviserClient(adviser.AdviserClient):
    """Sends requests to the platform's adviser over HTTP."""

    def __init__(
        self,
        connections: http_client.ConnectionPool,
        address: str,
        event_log: journal.Journal,
    ) -> None:
        """Set up the state; address is IPv4:port."""
        self._connections = connections
        self._address = address
        self._event_log = event_log

    async def advise(
        self, step: identity.StepId, targets: tuple[identity.TargetId, ...]
    ) -> tuple[tuple[identity.TargetId, str], ...] | None:
        """Return the allowed workers and their tickets, or None on failure."""
        body = msgspec.json.encode({'step': step, 'workers': targets})
        reply = await self._connections.call(
            self._address,
            http_client.HttpRequest('/advise', _HEADERS, body),
            _ADVICE_TIMEOUT_S,
        )
        if reply is None or reply.status != http.OK:
            return None
        try:
            return wire.read_tickets(reply.body)
        except wire.WireError as error:
            self._event_log.warn('advice refused', f'for {step}: {error}')
            return None


def _create_request(
    destination: target_client.Destination, path: str, body: dict[str, Any]
) -> http_client.HttpRequest:
    headers = {**_HEADERS, _EXPECTED_INSTANCE_HEADER: destination.target}
    return http_client.HttpRequest(
        f'/{path}', headers, msgspec.json.encode(body)
    )


def _unnumbered_poll(term: int) -> target_client.PollRequest:
    """Return a poll that means the same to every incarnation."""
    return target_client.PollRequest(
        term, lease_until_ms=None, acknowledged=0, wait_ms=0
    )


def _carries_numbers(request: target_client.PollRequest) -> bool:
    """Return whether a poll is meaningful to one incarnation only."""
    return request.lease_until_ms is not None or request.acknowledged > 0


def _explain_unsent(found: _PollReply) -> target_client.CallResult:
    """Return the result of a start that was not sent."""
    if isinstance(found, target_client.PollResult):
        return target_client.CallResult.WRONG_INCARNATION
    if found in {
        target_client.CallResult.FENCED,
        target_client.CallResult.WRONG_INCARNATION,
    }:
        return found
    # The poll that went first failed, which is no refusal of the start.
    return target_client.CallResult.NO_REPLY


def _command_body(attempt: identity.AttemptId, term: int) -> dict[str, Any]:
    task, run = wire.split_attempt_id(attempt)
    return {'task': task, 'runId': run, 'fencingToken': term}


def _to_call_result(reply: http_client.HttpReply) -> target_client.CallResult:
    if reply.status == http.CONFLICT:
        return wire.read_refusal(reply.body)
    return _RESULTS_BY_STATUS.get(
        reply.status, target_client.CallResult.NO_REPLY
    )
