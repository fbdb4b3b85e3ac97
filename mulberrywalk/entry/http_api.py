"""The HTTP API of an entry for callers and operators."""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Awaitable, Callable
from typing import Annotated, Any, TypeVar

import anyio
import msgspec
from starlette import applications, requests, responses, routing, websockets

from ..core import identity, job, job_shape
from ..telemetry import journal, metric
from ..transport import channel, codec, decoding, team_request, wire
from . import connection, http_response, request_mark, upstream

MAX_BODY_BYTES = 4_194_304
MAX_WAIT_S = 300.0
_CALL_TIMEOUT_S = 10.0
_BAD_REQUEST = 400
_GET = 'GET'

Body = TypeVar('Body')
Endpoint = Callable[[requests.Request], Awaitable[responses.Response]]


class ConfigurationPatch(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """A JSON merge patch to a given version of the configuration."""

    request_id: job.Name
    version: Annotated[int, msgspec.Meta(ge=1, le=job.MAX_INT64)]
    changes: dict[str, Any]


@dataclasses.dataclass(slots=True)
class ServingState:
    """Whether the entry is draining, and its requests in progress."""

    is_draining: bool = False
    in_progress: int = 0

    def __enter__(self) -> None:
        """Count the start of a request."""
        self.in_progress += 1

    def __exit__(self, *_: object) -> None:
        """Count the end of a request."""
        self.in_progress -= 1


class HttpApi:
    """Serves HTTP requests by calls to the leader."""

    def __init__(
        self,
        leader: upstream.Upstream,
        targets: connection.Connections,
        event_log: journal.Journal,
        metrics: metric.Metrics,
    ) -> None:
        """Set up the state; application returns the ASGI application."""
        self.serving_state = ServingState()
        self._leader = leader
        self._targets = targets
        self._event_log = event_log
        self._metrics = metrics

    def application(self) -> applications.Starlette:
        """Return the ASGI application with all routes."""
        routes: list[routing.BaseRoute] = [
            self._route('/v1/jobs', self.submit, 'POST'),
            self._route('/v1/jobs/{job}', self.get_job, _GET),
            self._route('/v1/jobs/{job}', self.cancel, 'DELETE'),
            self._route('/v1/jobs/{job}/explanation', self.explain, _GET),
            self._route('/v1/configuration', self.get_configuration, _GET),
            self._route('/v1/configuration', self.patch_configuration, 'PATCH'),
            self._route('/v1/members', self.get_members, _GET),
            self._route('/v1/targets', self.list_targets, _GET),
            self._route('/v1/teams', self.list_teams, _GET),
            self._route(
                '/v1/targets/{target}/departure', self.drain_target, 'POST'
            ),
            self._route('/v1/timeline', self.get_timeline, _GET),
            routing.Route('/v1/health', self.get_health, methods=[_GET]),
            routing.Route('/v1/ready', self.get_readiness, methods=[_GET]),
            routing.WebSocketRoute('/v1/target', self.accept_target),
        ]
        return applications.Starlette(routes=routes)

    async def submit(self, request: requests.Request) -> responses.Response:
        """Submit a job and optionally wait for it to end."""
        encoded = await read_body(request)
        wait_s = parse_wait(request)
        if isinstance(encoded, http_response.InputError):
            return http_response.respond_error(encoded)
        if isinstance(wait_s, http_response.InputError):
            return http_response.respond_error(wait_s)
        specification = _decode_job(encoded)
        if isinstance(specification, http_response.InputError):
            return http_response.respond_error(specification)
        if not self._leader.is_current():
            return http_response.respond_not_ready(
                'the configuration could not be confirmed'
            )
        digest = hashlib.sha256(
            msgspec.json.encode(specification, order='sorted')
        ).hexdigest()
        mark = request_mark.make(self._leader.configuration)
        submission = wire.Submit(specification, digest, mark)
        reply = await self._leader.propose(submission, _CALL_TIMEOUT_S)
        if reply is None:
            return http_response.respond_unknown(specification.request_id)
        outcome = reply[codec.TAG]
        self._event_log.record(
            'answered',
            f'{specification.request_id} {outcome}',
            job=reply.get('job', ''),
        )
        self._metrics.incr(f'submit.{outcome}')
        if wait_s and outcome == 'accepted':
            return await self._wait(reply, wait_s)
        return http_response.respond(reply)

    async def get_job(self, request: requests.Request) -> responses.Response:
        """Return a job, optionally after waiting for it to end."""
        wait_s = parse_wait(request)
        if isinstance(wait_s, http_response.InputError):
            return http_response.respond_error(wait_s)
        name = _job_id_of(request)
        if wait_s:
            reply = await self._leader.call(
                wire.GetJob(name, is_waiting=True), wait_s
            )
            if reply is not None:
                return http_response.respond(reply)
        return await self._ask(wire.GetJob(name), name)

    async def cancel(self, request: requests.Request) -> responses.Response:
        """Cancel a job."""
        name = _job_id_of(request)
        return await self._ask(wire.Cancel(name), name)

    async def explain(self, request: requests.Request) -> responses.Response:
        """Explain why a job is waiting or where it ran."""
        name = _job_id_of(request)
        return await self._ask(wire.Explain(name), name)

    async def get_configuration(
        self, _: requests.Request
    ) -> responses.Response:
        """Return the configuration and the version that each process has."""
        return await self._ask(wire.GetConfiguration())

    async def patch_configuration(
        self, request: requests.Request
    ) -> responses.Response:
        """Patch the configuration."""
        encoded = await read_body(request)
        if isinstance(encoded, http_response.InputError):
            return http_response.respond_error(encoded)
        patch = _decode_patch(encoded)
        if isinstance(patch, http_response.InputError):
            return http_response.respond_error(patch)
        if not self._leader.is_current():
            return http_response.respond_not_ready(
                'the configuration could not be confirmed'
            )
        return await self._ask(
            wire.PatchConfiguration(
                patch.request_id, patch.version, patch.changes
            ),
            patch.request_id,
        )

    async def get_members(self, _: requests.Request) -> responses.Response:
        """Return the replicas and the entries."""
        return await self._ask(wire.GetMembers())

    async def list_targets(self, _: requests.Request) -> responses.Response:
        """Return all targets."""
        return await self._ask(wire.GetTargets())

    async def list_teams(self, _: requests.Request) -> responses.Response:
        """Return all teams with what they hold and wait for."""
        return await self._ask(team_request.GetTeams())

    async def drain_target(
        self, request: requests.Request
    ) -> responses.Response:
        """Stop new work from being placed on a target."""
        name = identity.TargetId(request.path_params['target'])
        return await self._ask(wire.DrainTarget(name), name)

    async def get_timeline(
        self, request: requests.Request
    ) -> responses.Response:
        """Return the merged timeline of this entry and all replicas."""
        try:
            with decoding.translate_errors():
                line_filter = msgspec.convert(
                    dict(request.query_params),
                    type=journal.Filter,
                    strict=False,
                )
        except decoding.MalformedMessageError as error:
            return http_response.respond_error(
                http_response.decoding_error(error)
            )
        collected = self._event_log.find(line_filter)
        unreachable: list[str] = []
        for address in self._leader.addresses.all():
            lines = await _ask_timeline(address, line_filter)
            if lines is None:
                unreachable.append(address)
            else:
                collected.extend(lines)
        merged = msgspec.to_builtins(journal.merge(collected))
        return http_response.respond_plain(
            {
                'lines': merged,
                'unreachable': unreachable,
            }
        )

    async def get_health(self, _: requests.Request) -> responses.Response:
        """Return liveness and the number of targets and requests."""
        return http_response.respond_plain(
            {
                'status': 'up',
                'targets': self._targets.count(),
                'in_progress': self.serving_state.in_progress,
            }
        )

    async def get_readiness(self, _: requests.Request) -> responses.Response:
        """Return whether a load balancer should send requests here."""
        if self.serving_state.is_draining:
            return http_response.respond_not_ready('this entry is stopping')
        if not self._leader.is_current():
            return http_response.respond_not_ready(
                'no leader confirms this entry'
            )
        return http_response.respond_plain({'status': 'ready'})

    async def accept_target(self, socket: websockets.WebSocket) -> None:
        """Serve a target over its WebSocket."""
        await self._targets.accept(socket)

    def _route(
        self, path: str, endpoint: Endpoint, method: str
    ) -> routing.Route:
        async def serve(request: requests.Request) -> responses.Response:
            with self.serving_state:
                return await endpoint(request)

        return routing.Route(path, serve, methods=[method])

    async def _wait(
        self, accepted: dict[str, Any], wait_s: float
    ) -> responses.Response:
        name = identity.JobId(accepted['job'])
        reply = await self._leader.call(
            wire.GetJob(name, is_waiting=True), wait_s
        )
        return http_response.respond(accepted if reply is None else reply)

    async def _ask(
        self, request: wire.Request, request_id: str = ''
    ) -> responses.Response:
        reply = await self._leader.propose(request, _CALL_TIMEOUT_S)
        if reply is None:
            return http_response.respond_unknown(request_id)
        return http_response.respond(reply)


async def read_body(
    request: requests.Request,
) -> bytes | http_response.InputError:
    """Return the request body, or an error when it is too large."""
    chunks: list[bytes] = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            return http_response.body_too_large(MAX_BODY_BYTES)
        chunks.append(chunk)
    return b''.join(chunks)


def decode(
    encoded: bytes, body_type: type[Body]
) -> Body | http_response.InputError:
    """Return the decoded body, or an error naming the invalid field."""
    try:
        with decoding.translate_errors():
            return msgspec.json.decode(encoded, type=body_type)
    except decoding.MalformedMessageError as error:
        return http_response.decoding_error(error)


def _decode_patch(
    encoded: bytes,
) -> ConfigurationPatch | http_response.InputError:
    patch = decode(encoded, ConfigurationPatch)
    if isinstance(patch, http_response.InputError):
        return patch
    fault = decoding.find_encoding_error(patch.changes)
    if fault:
        return http_response.InputError(_BAD_REQUEST, 'changes', fault)
    return patch


def _decode_job(encoded: bytes) -> job.Specification | http_response.InputError:
    specification = decode(encoded, job.Specification)
    if isinstance(specification, http_response.InputError):
        return specification
    fault = job_shape.find_field_error(specification)
    if fault is not None:
        return http_response.InputError(_BAD_REQUEST, *fault)
    return specification


def parse_wait(request: requests.Request) -> float | http_response.InputError:
    """Return the wait in seconds (zero for none), or an error."""
    text = request.query_params.get('wait', '0')
    try:
        wait_s = float(text)
    except ValueError:
        wait_s = -1
    if 0 <= wait_s <= MAX_WAIT_S:
        return wait_s
    return http_response.InputError(
        _BAD_REQUEST,
        'wait',
        f'{text!r} is not a number of seconds from 0 to {MAX_WAIT_S:.0f}',
    )


async def _ask_timeline(
    address: str, line_filter: journal.Filter
) -> tuple[journal.Line, ...] | None:
    encoded = msgspec.msgpack.encode(wire.TimelineRequest(line_filter))
    try:
        with anyio.fail_after(channel.TIMEOUT_S):
            reply = await channel.call_decoded(
                address, channel.TIMELINE, encoded, wire.TimelineReply
            )
    except (ConnectionError, TimeoutError):
        return None
    return reply.lines


def _job_id_of(request: requests.Request) -> identity.JobId:
    return identity.JobId(request.path_params['job'])
