"""Odd messages of other writers, and a stand-in of a target that sends them."""

from __future__ import annotations

import contextlib
import itertools
import json
import socket
import time
from collections.abc import Iterator
from typing import Any

import httpx

from tests import platform_fakes

HUGE_FLOAT = 1e300
HUGE_INTEGER = 10**40
_DEPTH = 100_000
_NESTED = '[' * _DEPTH + ']' * _DEPTH
_UNAVAILABLE = 503
_RETRY_LIMIT_S = 5
_PORT_BEYOND = 99_999_999
_PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
_INVALID_REQUESTS = (
    bytes(100),
    b'GET /\xff HTTP/1.1\r\nhost: \xff\r\n\r\n',
    b'POST / HTTP/1.1\r\ncontent-length: 99999999999999999999\r\n\r\nx',
    b''.join((_PREFACE, b'\xff' * 100)),
)


class MalformedWorker(platform_fakes.FakeWorker):
    """Announces itself as others do, and lists what cannot be read."""

    def __init__(self, name: str, host: str) -> None:
        """Listen on a port of its own."""
        super().__init__(name, host, run_s=1)
        self.polls = 0

    def _poll(self, body: dict[str, Any]) -> tuple[int, Any]:
        body.pop('waitMs', None)
        return super()._poll(body)

    def _list_runs(self) -> dict[str, Any]:
        self.polls += 1
        odd = _malformed_listings(super()._list_runs())
        return next(itertools.islice(odd, self.polls % 9, None))


def add_nested_field(document: dict[str, Any]) -> bytes:
    """Return a document with a field that nobody knows, nested deeply."""
    return f'{json.dumps(document)[:-1]}, "other": {_NESTED}}}'.encode()


def heartbeats(address: str, born: int) -> Iterator[tuple[str, bytes]]:
    """Yield the ids and bodies of heartbeats that name no worker to use.

    The neighbour that is at the address is not to be harmed by them.
    """
    beat = {
        'service': 'pool',
        'address': '127.0.0.1:1',
        'zone': 'dc-1',
        'state': 'ready',
        'capacity': {'cpu': 4000, 'memMb': 4096, 'gpu': 0},
        'labels': ['a', 'r1'],
        'seq': 1,
        'born': born,
    }
    changes: tuple[dict[str, Any], ...] = (
        {'capacity': {'cpu': HUGE_FLOAT, 'memMb': HUGE_FLOAT, 'gpu': 0}},
        {'capacity': {'cpu': -1, 'memMb': -1, 'gpu': -1}},
        {'capacity': {'cpu': 1, 'memMb': 1, 'gpu': HUGE_INTEGER}},
        {'seq': HUGE_INTEGER},
        {'seq': -1},
        {'born': HUGE_INTEGER},
        {'born': 0},
        {'born': -1},
        {'state': 'draining', 'remainingMs': HUGE_FLOAT},
        {'address': f'127.0.0.1:{_PORT_BEYOND}'},
        {'address': f'{address}@:x'},
        {'address': ''},
        {'labels': [['a']]},
        {'zone': 7},
    )
    yield 'odd', add_nested_field(beat)
    for number, change in enumerate(changes):
        yield f'odd-{number}', json.dumps({**beat, **change}).encode()
    for name in ('%C3%A9', 'a%0Ab', '%00', '%20'):
        yield name, json.dumps(beat).encode()
    yield 'odd', b'\xff\xfe{'


def configurations(present: dict[str, Any]) -> Iterator[bytes]:
    """Yield configurations that are not to be accepted."""
    version = present['version'] + 1
    newer = {**present, 'version': version}
    route = present['routes'][0]
    advice = {'decisionMs': -5, 'perWorkerMs': 1, 'validMs': 1}
    changes: tuple[dict[str, Any], ...] = (
        {'timeoutMs': HUGE_FLOAT},
        {'targetLatencyMs': HUGE_FLOAT},
        {'slackFactor': 1e307},
        {'maxAttempts': HUGE_INTEGER},
        {'advice': advice},
    )
    yield add_nested_field(newer)
    yield json.dumps({**present, 'version': HUGE_INTEGER}).encode()
    for change in changes:
        yield json.dumps({**newer, 'routes': [{**route, **change}]}).encode()


def jobs() -> Iterator[bytes]:
    """Yield jobs that are not to be accepted."""
    phase = {'count': 1, 'cpu': 500, 'memMb': 10, 'estimateMs': 100}
    changes: tuple[dict[str, Any], ...] = (
        {'cpu': HUGE_FLOAT},
        {'memMb': 1e308},
        {'count': HUGE_INTEGER},
        {'estimateMs': HUGE_FLOAT},
        {'after': [HUGE_INTEGER]},
    )
    yield add_nested_field({'phases': [phase]})
    for change in changes:
        yield json.dumps({'phases': [{**phase, **change}]}).encode()
    repeated = {'phases': [phase], 'repeatCount': 2, 'intervalMs': 1}
    yield json.dumps({**repeated, 'firstMs': HUGE_FLOAT}).encode()
    yield json.dumps({**repeated, 'intervalMs': HUGE_FLOAT}).encode()
    yield json.dumps({**repeated, 'repeatCount': HUGE_INTEGER}).encode()


def patches() -> Iterator[bytes]:
    """Yield patches of the product's own document that cannot be taken."""
    patch = {'request_id': 'r1', 'version': 1, 'changes': {'headroom': 1}}
    yield add_nested_field(patch)
    yield json.dumps({**patch, 'version': HUGE_INTEGER}).encode()
    yield json.dumps({**patch, 'changes': {'headroom': HUGE_INTEGER}}).encode()


def send(method: str, url: str, body: bytes, **headers: str) -> int:
    """Return the status of the answer that is no 503, or nothing without one.

    Workers, operators and callers come again after a 503, which tells that
    nobody leads for a moment.
    """
    deadline = time.monotonic() + _RETRY_LIMIT_S
    status = _UNAVAILABLE
    while status == _UNAVAILABLE and time.monotonic() < deadline:
        status = _send_once(method, url, body, headers)
    return status


def _send_once(
    method: str, url: str, body: bytes, headers: dict[str, str]
) -> int:
    with contextlib.suppress(httpx.HTTPError):
        return httpx.request(
            method,
            url,
            content=body,
            headers=headers,
            timeout=2,
            follow_redirects=True,
        ).status_code
    return 0


def send_invalid_bytes(address: str) -> None:
    """Send what is no request of any protocol to an address."""
    host, _, port = address.rpartition(':')
    for noise in _INVALID_REQUESTS:
        with (
            contextlib.suppress(OSError),
            socket.create_connection((host, int(port)), timeout=1) as opened,
        ):
            opened.sendall(noise)


def _malformed_listings(listing: dict[str, Any]) -> Iterator[Any]:
    task = '0123456789abcdef.0.0.0'
    rows = (
        [task, 1, '', 50, True],
        [task, 'x', '', 50, 0],
        [task, HUGE_INTEGER, '', 50, 0],
        [task],
    )
    for row in rows:
        yield {**listing, 'running': [row]}
    yield {**listing, 'clockMs': HUGE_FLOAT}
    yield {**listing, 'finished': [[HUGE_INTEGER, task, 1, 'done', '']]}
    yield {**listing, 'finished': [[-1, task, 'x', 'done', '']]}
    yield {**listing, 'running': [[task, 1, '', 50, HUGE_FLOAT]]}
    yield add_nested_field(listing)
