"""The platform's interface for workers and operators, at every replica.

Only the leader answers for the cell; the others redirect to it.
"""

from __future__ import annotations

from typing import Any
from urllib import parse as urls

import anyio

from ..core import event, identity, outcome
from ..replica import program
from . import http, validation, wire

_ANSWER_S = 0.9
_BODY_BYTES = 16_777_216
_INSTANCES = '/instances/'


class ControlApi:
    """Answers workers and operators for the cell."""

    def __init__(
        self, parts: program.ReplicaComponents, address: str, lease_ms: int
    ) -> None:
        """Prepare; serve is the ASGI application, reached at address."""
        self._engine = parts.engine
        self._leader = parts.leader
        self._lines = parts.logger
        self._address = address
        self._lease_ms = lease_ms

    async def serve(
        self, scope: dict[str, Any], receive: http.Receive, send: http.Send
    ) -> None:
        """Answer one request."""
        try:
            request = await http.read_request(scope, receive, _BODY_BYTES)
        except http.BodyTooLargeError:
            await http.write_response(
                send, http.Response(http.CONTENT_TOO_LARGE)
            )
            return
        except ConnectionError:
            return
        response = http.Response(http.SERVICE_UNAVAILABLE)
        with anyio.move_on_after(_ANSWER_S):
            response = await self._answer(request)
        await http.write_response(send, response)

    async def _answer(self, request: http.Request) -> http.Response:
        if not self._engine.is_serving():
            return self._redirect(request)
        if request.path.startswith(_INSTANCES):
            return await self._answer_worker(request)
        if request.path == '/config/replace':
            return await self._replace(request)
        if request.path == '/config/read':
            return self._read()
        return http.Response(http.NOT_IMPLEMENTED)

    def _redirect(self, request: http.Request) -> http.Response:
        running = self._engine.node
        leader = running.leader
        member = running.membership.find(leader) if leader else None
        if member is None or leader == running.identity:
            return http.Response(http.SERVICE_UNAVAILABLE)
        host = member.address.rpartition(':')[0]
        port = self._address.rpartition(':')[2]
        path = urls.quote(request.path)
        location = f'http://{host}:{port}{path}'
        return http.Response(
            http.TEMPORARY_REDIRECT, headers={'location': location}
        )

    async def _answer_worker(self, request: http.Request) -> http.Response:
        name, _, call = request.path[len(_INSTANCES) :].partition('/')
        if call == 'deregister':
            target = identity.TargetId(name)
            return _respond(await self._leader.registry.deregister(target))
        if call != 'heartbeat':
            return http.Response(http.NOT_FOUND)
        try:
            sighting = wire.read_heartbeat(name, request.body, self._lease_ms)
        except wire.WireError as error:
            shown = name[: validation.MAX_TEXT_LENGTH]
            self._lines.warn('heartbeat refused', f'of {shown}: {error}')
            return http.Response(http.BAD_REQUEST, {'error': str(error)})
        if self._leader.registry.has_unknown_pool(sighting):
            pool = sighting.announcement.pool
            detail = f'of {name}: no service {pool}'
            self._lines.warn('heartbeat passed over', detail)
        told = await self._leader.registry.process_heartbeat(sighting)
        answer = _respond(told)
        if answer.status == http.OK:
            answer.body['heartbeatAddr'] = self._address
        return answer

    async def _replace(self, request: http.Request) -> http.Response:
        try:
            routing = wire.read_routing(request.body)
        except wire.WireError as error:
            self._lines.warn('configuration refused', str(error))
            return http.Response(http.BAD_REQUEST, {'error': str(error)})
        told = await self._engine.propose_and_wait(
            event.ConfigurationReplaced(self._engine.time(), routing)
        )
        return _respond(told)

    def _read(self) -> http.Response:
        current = self._engine.tables.configuration
        if not current.routing.source:
            return http.Response(http.SERVICE_UNAVAILABLE)
        return http.Response(http.OK, current.routing.source.encode())


def _respond(told: outcome.Outcome | None) -> http.Response:
    if told is None:
        return http.Response(http.SERVICE_UNAVAILABLE)
    if isinstance(told, outcome.NotRun):
        return http.Response(http.BAD_REQUEST, {'error': told.detail})
    return http.Response(http.OK)
