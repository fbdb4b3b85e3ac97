"""Callers of the platform: queues by their longest prefix, and answers."""

import json

import anyio
import pytest

from ..core import configuration, job
from ..entry import http_api, upstream
from ..telemetry import cost, journal, metric
from ..transport import codec
from . import caller_api

NAME = '0123456789abcdef'
BODY = json.dumps({'phases': [{'count': 1, 'cpu': 1}]}).encode()


class FakeLeader(upstream.Upstream):
    """Answers every call with the same reply."""

    def __init__(self, reply, *, is_ready=True):
        lines = journal.Journal(journal.Origin('e', 'd'))
        super().__init__(('a:1',), lines, cost.Meter())
        self.reply = reply
        self.is_ready = is_ready
        self.asked = []
        queues = tuple(
            configuration.Queue(
                name, 'h', prefix, 'p', job.Urgency.HIGH, 3000, 1, 100, 1
            )
            for name, prefix in (('outer', '/a/'), ('inner', '/a/b/'))
        )
        self.configuration = configuration.Configuration(
            1, configuration.Document(), configuration.Routing(1, queues)
        )

    def is_current(self):
        return self.is_ready

    async def call(self, request, seconds):
        self.asked.append(request)
        return self.reply

    async def propose(self, request, seconds):
        return await self.call(request, seconds)


class Parts:
    """What the interface is composed with."""

    def __init__(self, leader):
        self.leader = leader
        self.event_log = journal.Journal(journal.Origin('e', 'd'))
        self.metrics = metric.Exposition(metric.NoMetrics())
        self.api = self
        self.serving_state = http_api.ServingState()


def ask(leader, method, path, body=b'', *, is_draining=False, headers=()):
    """Return the status and the headers of an answer."""
    parts = Parts(leader)
    parts.serving_state.is_draining = is_draining
    sent = []

    async def receive():
        return {'type': 'http.request', 'body': body, 'more_body': False}

    async def send(message):
        sent.append(message)

    host = (b'host', b'H:80')
    scope = {'method': method, 'path': path, 'headers': [host, *headers]}
    anyio.run(caller_api.CallerApi(parts).serve, scope, receive, send)
    headers = {
        name.decode(): text.decode() for name, text in sent[0]['headers']
    }
    return sent[0]['status'], headers


@pytest.mark.parametrize(
    ('path', 'queue'), [('/a/', 'outer'), ('/a/b/', 'inner')]
)
def test_longest_prefix_selects_the_queue(path, queue):
    leader = FakeLeader({codec.TAG: 'pending', 'count': 3})
    assert ask(leader, 'GET', path)[0] == 200
    assert leader.asked[0].queue == queue


def test_path_without_a_queue_is_not_found():
    leader = FakeLeader(None)
    assert ask(leader, 'POST', f'/z/{NAME}', BODY)[0] == 404
    assert not leader.asked


@pytest.mark.parametrize(
    ('reply', 'status'),
    [
        ({codec.TAG: 'accepted', 'job': NAME}, 200),
        ({codec.TAG: 'not_run', 'reason': 'queue_full', 'detail': ''}, 429),
        ({codec.TAG: 'not_run', 'reason': 'unknown_queue'}, 404),
        ({codec.TAG: 'not_run', 'reason': 'invalid_job'}, 400),
        ({codec.TAG: 'unavailable', 'reason': 'overloaded'}, 503),
        (None, 504),
    ],
)
def test_submission_is_answered_by_its_outcome(reply, status):
    told, headers = ask(FakeLeader(reply), 'POST', f'/a/{NAME}', BODY)
    assert told == status
    assert ('retry-after' in headers) == (status in {429, 503})


def test_entry_without_proof_hands_nothing_on():
    leader = FakeLeader(None, is_ready=False)
    status, headers = ask(leader, 'POST', f'/a/{NAME}', BODY)
    assert status == 503
    assert 'retry-after' in headers
    assert not leader.asked


def test_request_waits_while_a_leader_is_being_found():
    leader = FakeLeader({codec.TAG: 'accepted', 'job': NAME})
    readings = iter((False, False, False))
    leader.is_current = lambda: next(readings, True)
    status, _ = ask(leader, 'POST', f'/a/{NAME}', BODY)
    assert status == 200
    assert len(leader.asked) == 1


def test_stopping_entry_is_not_ready_and_closes_connections():
    leader = FakeLeader({codec.TAG: 'pending', 'count': 0})
    assert ask(leader, 'GET', '/readyz', is_draining=True)[0] == 503
    status, headers = ask(leader, 'GET', '/a/', is_draining=True)
    assert (status, headers['connection']) == (200, 'close')


@pytest.mark.parametrize('body', [b'{', b'[]', b'{"phases": []}'])
def test_unreadable_job_is_not_handed_on(body):
    leader = FakeLeader({codec.TAG: 'not_run', 'reason': 'invalid_job'})
    assert ask(leader, 'POST', f'/a/{NAME}', body)[0] == 400


def test_unknown_job_is_gone():
    leader = FakeLeader({codec.TAG: 'not_run', 'reason': 'not_found'})
    assert ask(leader, 'GET', f'/a/{NAME}')[0] == 410


@pytest.mark.parametrize(
    'told',
    [
        *(b'', b'x', b'nan', b'inf', b'-inf', b'1e999', b'-1', b'0', b'1e300'),
        *(b'\xff', b'9' * 5000, b'1_0', b' 5 ', b'0x10'),
    ],
)
def test_odd_deadline_of_a_caller_bounds_the_wait_all_the_same(told):
    leader = FakeLeader({codec.TAG: 'accepted', 'job': NAME})
    waits = []

    async def propose(request, seconds):
        waits.append(seconds)
        return leader.reply

    leader.propose = propose
    deadline = (b'mulberrywalk-deadline-ms', told)
    status, _ = ask(leader, 'POST', f'/a/{NAME}', BODY, headers=[deadline])
    assert status == 200
    assert 0 < waits[0] <= 3


@pytest.mark.parametrize(
    'name',
    ['x', f'{NAME}0', f'{NAME}/', f'{NAME}\n', '\u0660' * 16, '\xe9', ' '],
)
@pytest.mark.parametrize('method', ['GET', 'POST', 'DELETE', 'PUT'])
def test_odd_id_of_a_job_is_refused(method, name):
    leader = FakeLeader({codec.TAG: 'accepted', 'job': NAME})
    assert ask(leader, method, f'/a/{name}', BODY)[0] == 400
    assert not leader.asked


@pytest.mark.parametrize(
    'body',
    [
        b'\xff',
        b'[' * 100_000,
        b'{"phases": [{"count": 1, "after": [1e400]}]}',
        b'{"phases": [{"count": 1, "cpu": 1e400}]}',
        b'{"phases": [{"count": 1}], "repeatCount": 2, "firstMs": 1e300}',
    ],
)
def test_job_that_cannot_be_read_or_kept_is_not_handed_on(body):
    leader = FakeLeader({codec.TAG: 'accepted', 'job': NAME})
    assert ask(leader, 'POST', f'/a/{NAME}', body)[0] == 400
    assert not leader.asked
