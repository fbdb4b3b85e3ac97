"""The platform's interface for callers, at every entry."""

from __future__ import annotations

import re
from types import MappingProxyType
from typing import Any

from ..core import configuration, identity, job
from ..entry import program, upstream
from ..telemetry import clock, journal
from ..transport import codec
from ..transport import wire as messages
from . import http, wire

_JOB = re.compile('[0-9a-f]{16}', re.IGNORECASE)
_DEADLINE = 'mulberrywalk-deadline-ms'
_READY_PATH = '/readyz'
_MS_PER_S = 1000
_LONGEST_S = 10.0
# An answer that says that none is known has to reach the caller in time.
_ANSWER_MARGIN_S = 0.12
_SHORTEST_S = 0.05
# A request that comes while a leader is being found waits for so long.
_HOLD_S = 1.0
_RETRY_AFTER_S = 1
_BODY_BYTES = 1_048_576

_STATES = MappingProxyType(
    {
        job.JobState.QUEUED: 'queued',
        job.JobState.RUNNING: 'running',
        job.JobState.COMPLETED: 'completed',
        job.JobState.FAILED: 'failed',
        job.JobState.CANCELLED: 'cancelled',
        job.JobState.UNKNOWN: 'failed',
    }
)
_REFUSALS = MappingProxyType(
    {
        'queue_full': http.TOO_MANY_REQUESTS,
        'overloaded': http.SERVICE_UNAVAILABLE,
        'not_ready': http.SERVICE_UNAVAILABLE,
        'unknown_queue': http.NOT_FOUND,
        'request_reused': http.CONFLICT,
        'not_found': http.GONE,
    }
)


class CallerApi:
    """Answers callers by calls to the leader."""

    def __init__(self, parts: program.Components) -> None:
        """Prepare; serve is the ASGI application."""
        self._leader: upstream.Upstream = parts.leader
        self._duty = parts.api.serving_state
        self._lines: journal.Journal = parts.event_log
        self._metrics = parts.metrics
        self._routing: configuration.Routing | None = None
        self._prefixes: dict[str, list[configuration.Queue]] = {}

    async def serve(
        self, scope: dict[str, Any], receive: http.Receive, send: http.Send
    ) -> None:
        """Answer one request."""
        with self._duty:
            try:
                request = await http.read_request(
                    scope, receive, self._body_limit()
                )
            except http.BodyTooLargeError:
                await http.write_response(
                    send, http.Response(http.CONTENT_TOO_LARGE)
                )
                return
            except ConnectionError:
                return
            received_at = clock.monotonic_ms()
            response = await self._answer(request)
            if request.path != _READY_PATH:
                kind = request.method.lower()
                passed_ms = clock.monotonic_ms() - received_at
                self._metrics.timing(f'answer_{kind}', passed_ms)
                self._metrics.incr(f'answers_{kind}_{response.status}')
            if self._duty.is_draining:
                response.headers['connection'] = 'close'
            await http.write_response(send, response)

    async def _answer(self, request: http.Request) -> http.Response:
        if request.path == _READY_PATH:
            return self._answer_readiness()
        asked_at = clock.monotonic_ms()
        if not await self._leader.wait_until_current(_HOLD_S):
            age_ms = self._leader.confirmation_age_ms()
            self._lines.record(
                'refused',
                f'{request.method} {request.path}: '
                f'configuration not confirmed for {age_ms} ms',
                job=request.path.rpartition('/')[2],
            )
            return _unavailable('the configuration could not be confirmed')
        queue = self._find_queue(request)
        if queue is None:
            self._lines.record('refused', f'no queue for {request.path}')
            return http.Response(http.NOT_FOUND, {'error': 'no such queue'})
        held_s = (clock.monotonic_ms() - asked_at) / _MS_PER_S
        return await self._answer_for_queue(request, queue, held_s)

    async def _answer_for_queue(
        self,
        request: http.Request,
        queue: configuration.Queue,
        held_s: float,
    ) -> http.Response:
        name = request.path[len(queue.path_prefix) :]
        seconds = max(_SHORTEST_S, _patience_s(request, queue) - held_s)
        if request.method == 'GET' and not name:
            return await self._count(queue, seconds)
        if not _JOB.fullmatch(name):
            return http.Response(http.BAD_REQUEST, {'error': 'no job id'})
        if request.method == 'POST':
            return await self._submit(request, queue, name, seconds)
        if request.method == 'DELETE':
            return await self._cancel(name, seconds)
        return await self._get_state(name, seconds)

    def _answer_readiness(self) -> http.Response:
        if self._duty.is_draining:
            return _unavailable('this entry is stopping')
        if not self._leader.is_current():
            return _unavailable('no leader confirms this entry')
        return http.Response(http.OK)

    async def _submit(
        self,
        request: http.Request,
        queue: configuration.Queue,
        name: str,
        seconds: float,
    ) -> http.Response:
        try:
            specification = wire.read_job(request.body, name, queue)
        except wire.WireError as error:
            return http.Response(http.BAD_REQUEST, {'error': str(error)})
        submission = messages.Submit(
            specification, wire.submission_digest(request.body)
        )
        reply = await self._leader.propose(submission, seconds)
        return self._respond('submit', name, reply)

    async def _cancel(self, name: str, seconds: float) -> http.Response:
        cancelled = messages.Cancel(identity.JobId(name))
        reply = await self._leader.propose(cancelled, seconds)
        return self._respond('cancel', name, reply)

    async def _get_state(self, name: str, seconds: float) -> http.Response:
        asked = messages.GetState(identity.JobId(name))
        reply = await self._leader.propose(asked, seconds)
        if reply is not None and reply[codec.TAG] == 'job_state':
            state = _STATES[job.JobState(reply['state'])]
            return http.Response(http.OK, {'state': state})
        return self._respond('state', name, reply)

    async def _count(
        self, queue: configuration.Queue, seconds: float
    ) -> http.Response:
        reply = await self._leader.call(
            messages.CountPending(queue.name), seconds
        )
        if reply is None:
            return self._respond('count', queue.name, reply)
        return http.Response(http.OK, {'pending': reply['count']})

    def _respond(
        self, what: str, name: str, reply: dict[str, Any] | None
    ) -> http.Response:
        told = reply[codec.TAG] if reply else 'unknown'
        reason = reply.get('reason', '') if reply else 'no answer in time'
        self._lines.record(
            'answered', f'{what} {name}: {told} {reason}', job=name
        )
        if reply is None:
            return http.Response(http.GATEWAY_TIMEOUT, {'error': reason})
        if reason:
            status = _REFUSALS.get(reason, http.BAD_REQUEST)
            if status in {http.TOO_MANY_REQUESTS, http.SERVICE_UNAVAILABLE}:
                return _refuse(status, reply.get('detail', ''))
            return http.Response(status, {'error': reply.get('detail', '')})
        return http.Response(http.OK)

    def _find_queue(self, request: http.Request) -> configuration.Queue | None:
        """Return the queue with the longest prefix of the path."""
        current = self._leader.configuration
        if current is None:
            return None
        if current.routing is not self._routing:
            self._index(current.routing)
        host = request.headers.get('host', '').partition(':')[0].lower()
        return next(
            (
                queue
                for queue in self._prefixes.get(host, ())
                if request.path.startswith(queue.path_prefix)
            ),
            None,
        )

    def _index(self, routing: configuration.Routing) -> None:
        self._routing = routing
        self._prefixes = {}
        ordered = sorted(
            routing.queues, key=lambda one: len(one.path_prefix), reverse=True
        )
        for queue in ordered:
            self._prefixes.setdefault(queue.host, []).append(queue)

    def _body_limit(self) -> int:
        current = self._leader.configuration
        return (current and current.routing.max_body_bytes) or _BODY_BYTES


def _patience_s(request: http.Request, queue: configuration.Queue) -> float:
    """Return how long an answer may take."""
    bound_s = min(_LONGEST_S, queue.timeout_ms / _MS_PER_S)
    try:
        deadline_s = float(request.headers.get(_DEADLINE, '')) / _MS_PER_S
    except ValueError:
        deadline_s = bound_s
    return max(_SHORTEST_S, min(bound_s, deadline_s) - _ANSWER_MARGIN_S)


def _unavailable(reason: str) -> http.Response:
    return _refuse(http.SERVICE_UNAVAILABLE, reason)


def _refuse(status: int, reason: str) -> http.Response:
    return http.Response(
        status, {'error': reason}, {'retry-after': str(_RETRY_AFTER_S)}
    )
