"""HTTP clients of the platform's workers and of its adviser."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

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


async def post(
    connections: http_client.ConnectionPool,
    address: str,
    path: str,
    body: dict[str, Any],
    headers: Mapping[str, str],
    timeout_s: float,
) -> http_client.HttpReply | None:
    """Send a POST request; return the reply, or None if there is none."""
    request = http_client.HttpRequest(path, headers, msgspec.json.encode(body))
    return await connections.call(address, request, timeout_s)


class WorkerClient(target_client.TargetClient):
    """Sends polls and commands to workers over HTTP."""

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
        body: dict[str, Any] = {
            'fencingToken': request.term,
            'ackCursor': request.acknowledged,
        }
        if request.lease_until_ms is not None:
            body['deadlineMs'] = request.lease_until_ms
        if request.wait_ms:
            body['waitMs'] = request.wait_ms
        timeout_s = _POLL_MARGIN_S + request.wait_ms / _MS_PER_S
        reply = await self._call(destination, 'hold', body, timeout_s)
        if reply is None:
            return target_client.CallResult.NO_REPLY
        if reply.status != http.OK:
            return _to_call_result(reply)
        try:
            return wire.read_listing(reply.body)
        except wire.WireError as error:
            self._event_log.warn(
                'listing refused', f'from {destination.target}: {error}'
            )
            return target_client.CallResult.INVALID

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
        return await self._send_command(destination, 'run-start', body)

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
        reply = await self._call(destination, path, body, _COMMAND_TIMEOUT_S)
        return (
            target_client.CallResult.NO_REPLY
            if reply is None
            else _to_call_result(reply)
        )

    async def _call(
        self,
        destination: target_client.Destination,
        path: str,
        body: dict[str, Any],
        timeout_s: float,
    ) -> http_client.HttpReply | None:
        return await post(
            self._connections,
            destination.address,
            f'/{path}',
            body,
            {**_HEADERS, _EXPECTED_INSTANCE_HEADER: destination.target},
            timeout_s,
        )


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
        reply = await post(
            self._connections,
            self._address,
            '/advise',
            {'step': step, 'workers': targets},
            _HEADERS,
            _ADVICE_TIMEOUT_S,
        )
        if reply is None or reply.status != http.OK:
            return None
        try:
            return wire.read_tickets(reply.body)
        except wire.WireError as error:
            self._event_log.warn('advice refused', f'for {step}: {error}')
            return None


def _command_body(attempt: identity.AttemptId, term: int) -> dict[str, Any]:
    task, run = wire.split_attempt_id(attempt)
    return {'task': task, 'runId': run, 'fencingToken': term}


def _to_call_result(reply: http_client.HttpReply) -> target_client.CallResult:
    if reply.status == http.CONFLICT:
        return wire.read_refusal(reply.body)
    return _RESULTS_BY_STATUS.get(
        reply.status, target_client.CallResult.NO_REPLY
    )
