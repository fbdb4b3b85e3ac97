"""The platform's interface for callers, on every entry."""

from __future__ import annotations

import math
import re
from types import MappingProxyType
from typing import Any

from ..core import configuration, identity, job
from ..entry import program, request_mark, upstream
from ..telemetry import clock, journal
from ..transport import codec
from ..transport import wire as messages
from . import authentication, http, open_requests, overload_monitor, wire

_JOB_ID = re.compile('[0-9a-f]{16}', re.IGNORECASE)
_DEADLINE_HEADER = 'mulberrywalk-deadline-ms'
_READY_PATH = '/readyz'
_MS_PER_S = 1000
_MAX_WAIT_S = 10.0
# Subtracted from the deadline, so that the response to a call that has timed
# out still reaches the caller in time.
_ANSWER_MARGIN_S = 0.12
_MIN_WAIT_S = 0.05
# How long a request waits while the entry has no confirmed configuration.
_LEADER_WAIT_S = 1.0
_RETRY_AFTER_MS = 1000
_DEFAULT_MAX_BODY_BYTES = 1_048_576

_STATE_NAMES = MappingProxyType(
    {
        job.JobState.QUEUED: 'queued',
        job.JobState.RUNNING: 'running',
        job.JobState.COMPLETED: 'completed',
        job.JobState.FAILED: 'failed',
        job.JobState.CANCELLED: 'cancelled',
        job.JobState.UNKNOWN: 'failed',
    }
)
# A caller must not add series to the metrics by inventing methods.
_METHOD_NAMES = MappingProxyType(
    {name: name.lower() for name in ('GET', 'HEAD', 'POST', 'PUT', 'DELETE')}
)
_REFUSAL_STATUSES = MappingProxyType(
    {
        'queue_full': http.TOO_MANY_REQUESTS,
        'overloaded': http.SERVICE_UNAVAILABLE,
        'not_ready': http.SERVICE_UNAVAILABLE,
        'unknown_queue': http.NOT_FOUND,
        'request_reused': http.CONFLICT,
        'not_found': http.GONE,
        'foreign_job': http.FORBIDDEN,
        'cancelled': http.GONE,
    }
)


class CallerApi:
    """The ASGI application for callers; it forwards requests to the leader."""

    def __init__(self, components: program.Components) -> None:
        """Set up the state; serve is the ASGI application."""
        self._leader: upstream.Upstream = components.leader
        self._serving_state = components.api.serving_state
        self._event_log: journal.Journal = components.event_log
        self._metrics = components.metrics
        self._routing: configuration.Routing | None = None
        self._queues_by_host: dict[str, list[configuration.Queue]] = {}
        self._keys = authentication.NO_KEYS
        self.open_requests = open_requests.OpenRequests(
            open_requests.MAX_OPEN_REQUESTS
        )

    async def serve(
        self, scope: dict[str, Any], receive: http.Receive, send: http.Send
    ) -> None:
        """Serve one request."""
        with self._serving_state:
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
            response = await self._dispatch(request, receive)
            if request.path != _READY_PATH:
                kind = _METHOD_NAMES.get(request.method, 'other')
                duration_ms = clock.monotonic_ms() - received_at
                self._metrics.timing(f'answer_{kind}', duration_ms)
                self._metrics.incr(f'answers_{kind}_{response.status}')
            if self._serving_state.is_draining:
                response.headers['connection'] = 'close'
            await http.write_response(send, response)

    async def _dispatch(
        self, request: http.Request, receive: http.Receive
    ) -> http.Response:
        if request.path == _READY_PATH:
            return self._get_readiness()
        wait_started_at = clock.monotonic_ms()
        if not self._leader.is_current():
            refused = await self._wait_until_current(request, receive)
            if refused is not None:
                return refused
        queue = self._find_queue(request)
        if queue is None:
            self._event_log.record('refused', f'no queue for {request.path}')
            return http.Response(http.NOT_FOUND, {'error': 'no such queue'})
        waited_s = (clock.monotonic_ms() - wait_started_at) / _MS_PER_S
        is_for_job = request.path != queue.path_prefix
        caller = authentication.authenticate(
            request, queue, self._keys, is_for_job=is_for_job
        )
        if isinstance(caller, authentication.Refusal):
            return self._refuse_caller(request, caller)
        if not self.open_requests.admits(caller.team):
            return self._refuse_excess(request, caller.team)
        with self.open_requests.track(caller.team):
            return await self._dispatch_to_queue(
                request, queue, caller, waited_s
            )

    async def _wait_until_current(
        self, request: http.Request, receive: http.Receive
    ) -> http.Response | None:
        """Wait for the confirmation of the configuration.

        Returns a refusal if it does not come, or if the request submits a job
        and its caller has left. An entry that was suspended finds requests of
        callers that have left long ago, and is not confirmed when it reads
        them.
        """
        age_ms = self._leader.confirmation_age_ms()
        leader_wait_s = min(_LEADER_WAIT_S, _remaining_s(request))
        if not await self._leader.wait_until_current(leader_wait_s):
            age_ms = self._leader.confirmation_age_ms()
            transfer = self._leader.receipts.describe()
            return self._refuse_unconfirmed(
                request,
                f'configuration not confirmed for {age_ms} ms {transfer}',
            )
        if request.method == 'POST' and await http.has_disconnected(receive):
            self._metrics.incr('refused_caller_left')
            return self._refuse_unconfirmed(
                request,
                'the caller left while the configuration was not confirmed '
                f'for {age_ms} ms',
            )
        return None

    def _refuse_unconfirmed(
        self, request: http.Request, reason: str
    ) -> http.Response:
        self._record_refusal(request, reason)
        return _unavailable('the configuration could not be confirmed')

    def _refuse_caller(
        self, request: http.Request, refusal: authentication.Refusal
    ) -> http.Response:
        fault = refusal.fault.value
        self._metrics.incr(f'refused_key_{fault}')
        self._record_refusal(request, f'key {fault} {refusal.digest}')
        headers = {}
        if refusal.status() == http.UNAUTHORIZED:
            headers['www-authenticate'] = authentication.CHALLENGE
        return http.Response(refusal.status(), {'error': fault}, headers)

    def _refuse_excess(
        self, request: http.Request, team: str | None
    ) -> http.Response:
        reason = self.open_requests.describe(team)
        self._metrics.incr('refused_open_requests')
        self._record_refusal(request, reason)
        return _unavailable(reason)

    def _record_refusal(self, request: http.Request, reason: str) -> None:
        self._event_log.record(
            'refused',
            f'{request.method} {request.path}: {reason}',
            job=request.path.rpartition('/')[2],
        )

    async def _dispatch_to_queue(
        self,
        request: http.Request,
        queue: configuration.Queue,
        caller: authentication.Caller,
        waited_s: float,
    ) -> http.Response:
        name = request.path[len(queue.path_prefix) :]
        timeout_s = max(_MIN_WAIT_S, _wait_limit_s(request, queue) - waited_s)
        if request.method == 'GET' and not name:
            return await self._count_pending(queue, timeout_s)
        if not _JOB_ID.fullmatch(name):
            return http.Response(http.BAD_REQUEST, {'error': 'no job id'})
        if request.method == 'POST':
            return await self._submit(request, queue, caller, timeout_s)
        if request.method == 'DELETE':
            return await self._cancel(name, caller, timeout_s)
        return await self._get_state(name, caller, timeout_s)

    def _get_readiness(self) -> http.Response:
        if self._serving_state.is_draining:
            return _unavailable('this entry is stopping')
        if not self._leader.is_current():
            transfer = self._leader.receipts.describe()
            return _unavailable(f'no leader confirms this entry {transfer}')
        if overload_monitor.is_relieved(self._leader):
            return _unavailable('this entry is overloaded')
        return http.Response(http.OK)

    async def _submit(
        self,
        request: http.Request,
        queue: configuration.Queue,
        caller: authentication.Caller,
        timeout_s: float,
    ) -> http.Response:
        name = request.path[len(queue.path_prefix) :]
        try:
            specification = wire.read_job(
                request.body, name, queue, caller.team or ''
            )
        except wire.WireError as error:
            return http.Response(http.BAD_REQUEST, {'error': str(error)})
        submission = messages.Submit(
            specification,
            wire.submission_digest(request.body),
            request_mark.make(self._leader.configuration),
        )
        reply = await self._leader.propose(submission, timeout_s)
        return self._to_response('submit', name, reply, caller)

    async def _cancel(
        self, name: str, caller: authentication.Caller, timeout_s: float
    ) -> http.Response:
        cancellation = messages.Cancel(identity.JobId(name), caller.team)
        reply = await self._leader.propose(cancellation, timeout_s)
        return self._to_response('cancel', name, reply, caller)

    async def _get_state(
        self, name: str, caller: authentication.Caller, timeout_s: float
    ) -> http.Response:
        query = messages.GetState(identity.JobId(name), caller.team)
        reply = await self._leader.propose(query, timeout_s)
        if reply is not None and reply[codec.TAG] == 'job_state':
            state = _STATE_NAMES[job.JobState(reply['state'])]
            return http.Response(http.OK, {'state': state})
        return self._to_response('state', name, reply, caller)

    async def _count_pending(
        self, queue: configuration.Queue, timeout_s: float
    ) -> http.Response:
        reply = await self._leader.call(
            messages.CountPending(queue.name), timeout_s
        )
        if reply is None:
            return self._to_response('count', queue.name, reply)
        return http.Response(http.OK, {'pending': reply['count']})

    def _to_response(
        self,
        operation: str,
        name: str,
        reply: dict[str, Any] | None,
        caller: authentication.Caller = authentication.UNCHECKED,
    ) -> http.Response:
        outcome = reply[codec.TAG] if reply else 'unknown'
        reason = reply.get('reason', '') if reply else 'no answer in time'
        self._event_log.record(
            'answered',
            f'{operation} {name}: {outcome} {reason}{caller.shown()}',
            job=name,
        )
        if reply is None:
            return http.Response(http.GATEWAY_TIMEOUT, {'error': reason})
        if reason:
            status = _REFUSAL_STATUSES.get(reason, http.BAD_REQUEST)
            if status in {http.TOO_MANY_REQUESTS, http.SERVICE_UNAVAILABLE}:
                retry_after_ms = reply.get('retry_after_ms', 0)
                return _refusal(status, reply.get('detail', ''), retry_after_ms)
            return http.Response(status, {'error': reply.get('detail', '')})
        return http.Response(http.OK)

    def _find_queue(self, request: http.Request) -> configuration.Queue | None:
        """Return the queue with the longest path prefix that matches."""
        current = self._leader.configuration
        if current is None:
            return None
        if current.routing is not self._routing:
            self._index_queues(current.routing)
        host = request.headers.get('host', '').partition(':')[0].lower()
        return next(
            (
                queue
                for queue in self._queues_by_host.get(host, ())
                if request.path.startswith(queue.path_prefix)
            ),
            None,
        )

    def _index_queues(self, routing: configuration.Routing) -> None:
        self._routing = routing
        self._keys = authentication.index_keys(routing)
        self._queues_by_host = {}
        ordered = sorted(
            routing.queues,
            key=lambda queue: len(queue.path_prefix),
            reverse=True,
        )
        for queue in ordered:
            self._queues_by_host.setdefault(queue.host, []).append(queue)

    def _body_limit(self) -> int:
        current = self._leader.configuration
        return (
            current and current.routing.max_body_bytes
        ) or _DEFAULT_MAX_BODY_BYTES


def _wait_limit_s(request: http.Request, queue: configuration.Queue) -> float:
    """Return how long a request for a queue may take, in seconds."""
    timeout_s = queue.timeout_ms / _MS_PER_S - _ANSWER_MARGIN_S
    return max(_MIN_WAIT_S, min(timeout_s, _remaining_s(request)))


def _remaining_s(request: http.Request) -> float:
    """Return for how long the caller of a request still waits, in seconds.

    It is zero if an answer could hardly reach the caller in time.
    """
    try:
        deadline_s = (
            float(request.headers.get(_DEADLINE_HEADER, '')) / _MS_PER_S
        )
    except ValueError:
        deadline_s = _MAX_WAIT_S
    return max(float(0), min(_MAX_WAIT_S, deadline_s) - _ANSWER_MARGIN_S)


def _unavailable(reason: str) -> http.Response:
    return _refusal(http.SERVICE_UNAVAILABLE, reason, _RETRY_AFTER_MS)


def _refusal(status: int, reason: str, retry_after_ms: int) -> http.Response:
    """Return a refusal that asks for a retry after whole seconds, at least 1.

    A reply of an earlier version may be without a wait.
    """
    seconds = max(1, math.ceil(retry_after_ms / _MS_PER_S))
    return http.Response(
        status, {'error': reason}, {'retry-after': str(seconds)}
    )
