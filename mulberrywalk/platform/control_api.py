"""The platform's interface for workers and operators, on every replica.

Only the leader serves requests; the other replicas redirect to it.
"""

from __future__ import annotations

from typing import Any
from urllib import parse as urls

import anyio

from ..core import event, identity, outcome
from ..replica import program
from . import bound, heartbeat, http, wire

_ANSWER_TIMEOUT_S = 0.9
_MAX_BODY_BYTES = 16_777_216
_INSTANCES_PATH = '/instances/'


class ControlApi:
    """The ASGI application for workers and operators."""

    def __init__(
        self,
        components: program.ReplicaComponents,
        address: str,
        worker_times: heartbeat.WorkerTimes,
    ) -> None:
        """Set up the state.

        address is the host:port that workers and operators call.
        """
        self._engine = components.engine
        self._leader = components.leader
        self._event_log = components.logger
        self._address = address
        self._worker_times = worker_times

    async def serve(
        self, scope: dict[str, Any], receive: http.Receive, send: http.Send
    ) -> None:
        """Serve one request."""
        try:
            request = await http.read_request(scope, receive, _MAX_BODY_BYTES)
        except http.BodyTooLargeError:
            await http.write_response(
                send, http.Response(http.CONTENT_TOO_LARGE)
            )
            return
        except ConnectionError:
            return
        response = http.Response(http.SERVICE_UNAVAILABLE)
        with anyio.move_on_after(_ANSWER_TIMEOUT_S):
            response = await self._dispatch(request)
        await http.write_response(send, response)

    async def _dispatch(self, request: http.Request) -> http.Response:
        if not self._engine.is_serving():
            return self._redirect(request)
        if request.path.startswith(_INSTANCES_PATH):
            return await self._serve_worker(request)
        if request.path == '/config/replace':
            return await self._replace_configuration(request)
        if request.path == '/config/read':
            return self._read_configuration()
        return http.Response(http.NOT_IMPLEMENTED)

    def _redirect(self, request: http.Request) -> http.Response:
        local_node = self._engine.node
        leader = local_node.leader
        member = local_node.membership.find(leader) if leader else None
        if member is None or leader == local_node.identity:
            return http.Response(http.SERVICE_UNAVAILABLE)
        host = member.address.rpartition(':')[0]
        port = self._address.rpartition(':')[2]
        path = urls.quote(request.path)
        location = f'http://{host}:{port}{path}'
        return http.Response(
            http.TEMPORARY_REDIRECT, headers={'location': location}
        )

    async def _serve_worker(self, request: http.Request) -> http.Response:
        name, _, action = request.path[len(_INSTANCES_PATH) :].partition('/')
        short_name = name[: bound.MAX_TEXT_LENGTH]
        if action not in {'heartbeat', 'deregister'}:
            return http.Response(http.NOT_FOUND)
        try:
            return await self._serve_message(name, action, request.body)
        except wire.WireError as error:
            self._event_log.warn(
                f'{action} refused', f'from {short_name}: {error}'
            )
            return http.Response(http.BAD_REQUEST, {'error': str(error)})

    async def _serve_message(
        self, name: str, action: str, body: bytes
    ) -> http.Response:
        """Serve a message of a worker; raises wire.WireError."""
        if action == 'deregister':
            born_at = heartbeat.read_birth(body)
            self._event_log.record(
                'deregistration received', target=name[: bound.MAX_TEXT_LENGTH]
            )
            ended = await self._leader.registry.deregister(
                identity.TargetId(name), born_at
            )
            return _to_response(ended)
        received = heartbeat.read_heartbeat(name, body, self._worker_times)
        if self._leader.registry.has_unknown_pool(received):
            pool = received.announcement.pool
            detail = f'from {name}: unknown service {pool}'
            self._event_log.warn('heartbeat ignored', detail)
        reply = await self._leader.registry.process_heartbeat(received)
        if isinstance(reply, outcome.NotRun):
            raise wire.WireError(reply.detail)
        response = _to_response(reply)
        if response.status == http.OK:
            response.body['heartbeatAddr'] = self._address
        return response

    async def _replace_configuration(
        self, request: http.Request
    ) -> http.Response:
        try:
            routing = wire.read_routing(request.body)
        except wire.WireError as error:
            self._event_log.warn('configuration refused', str(error))
            return http.Response(http.BAD_REQUEST, {'error': str(error)})
        reply = await self._engine.propose_and_wait(
            event.ConfigurationReplaced(self._engine.time(), routing)
        )
        return _to_response(reply)

    def _read_configuration(self) -> http.Response:
        current = self._engine.tables.configuration
        if not current.routing.source:
            return http.Response(http.SERVICE_UNAVAILABLE)
        return http.Response(http.OK, current.routing.source.encode())


def _to_response(reply: outcome.Outcome | None) -> http.Response:
    if reply is None or isinstance(reply, outcome.Unavailable):
        return http.Response(http.SERVICE_UNAVAILABLE)
    if isinstance(reply, outcome.NotRun):
        return http.Response(http.BAD_REQUEST, {'error': reply.detail})
    return http.Response(http.OK)
