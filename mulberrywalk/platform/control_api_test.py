"""What a replica answers to workers and operators, odd ones among them."""

import types

import anyio
import h11
import pytest

from ..consensus import message
from ..core import cell_test
from ..replica import registry
from ..telemetry import journal
from . import control_api

MEMBER = message.Member(
    message.ReplicaId('b'), '10.0.0.2:7000', 'd', voter=True
)


class FakeEngine:
    """Leads, or knows who does."""

    def __init__(self, *, is_leading):
        self.is_leading = is_leading
        self.tables = cell_test.Cell().tables
        self.node = types.SimpleNamespace(
            leader=MEMBER.identity,
            identity=message.ReplicaId('a'),
            membership=message.Membership((MEMBER,)),
        )

    def is_serving(self):
        return self.is_leading


def ask(path, body=b'', *, is_leading=True):
    """Return the status and the headers of an answer."""
    running = FakeEngine(is_leading=is_leading)
    leader = types.SimpleNamespace(registry=registry.Registry(running))
    parts = types.SimpleNamespace(
        engine=running,
        leader=leader,
        logger=journal.Journal(journal.Origin('a', 'd')),
    )
    sent = []

    async def receive():
        return {'type': 'http.request', 'body': body, 'more_body': False}

    async def send(message):
        sent.append(message)

    scope = {'method': 'POST', 'path': path, 'headers': []}
    answering = control_api.ControlApi(parts, '10.0.0.1:8080', 8000)
    anyio.run(answering.serve, scope, receive, send)
    return sent[0]['status'], sent[0]['headers']


@pytest.mark.parametrize(
    'path',
    [
        '/instances/a\nb/heartbeat',
        '/instances/a\r\nset-cookie: x/heartbeat',
        '/instances/\xe9/heartbeat',
        '/instances/a b?/heartbeat',
        '/instances/\x00/deregister',
    ],
)
def test_odd_path_is_redirected_in_a_header_that_can_be_sent(path):
    status, headers = ask(path, is_leading=False)
    assert status == 307
    h11.Response(status_code=status, headers=headers)
    location = dict(headers)[b'location']
    assert location.startswith(b'http://10.0.0.2:8080/instances/')
    assert location.isascii()
    assert b' ' not in location


def test_plain_path_is_redirected_as_it_is():
    _, headers = ask('/instances/i-7f3a/heartbeat', is_leading=False)
    assert dict(headers)[b'location'] == (
        b'http://10.0.0.2:8080/instances/i-7f3a/heartbeat'
    )


@pytest.mark.parametrize(
    'path', ['/instances/i-1/heartbeat', '/config/replace']
)
@pytest.mark.parametrize('body', [b'', b'{', b'\xff', b'7', b'[' * 100_000])
def test_message_that_cannot_be_read_is_refused(path, body):
    assert ask(path, body)[0] == 400


@pytest.mark.parametrize(
    'path',
    ['/', '', '/instances/', '/instances', '/instances/a/b/c', '/config'],
)
def test_odd_path_is_not_found_or_not_implemented(path):
    assert ask(path)[0] in {404, 501}
