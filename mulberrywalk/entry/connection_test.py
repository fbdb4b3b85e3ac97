"""Tests for connected targets that violate the protocol."""

import json
from types import MappingProxyType

import pytest
from starlette import testclient, websockets

from ..telemetry import cost, journal, metric
from . import connection, http_api, session, upstream

HELLO = MappingProxyType(
    {
        'type': 'hello',
        'version': 1,
        'target': 't1',
        'data_centre': 'd',
        'rack': 'r',
        'capacity': {'millicores': 1, 'memory_bytes': 1, 'slots': 1},
        'nonce': 'n',
    }
)
DEEPLY_NESTED = '[' * 100_000 + ']' * 100_000


class FakeLeader(upstream.Upstream):
    """Grants every session and records the messages sent."""

    def __init__(self):
        event_log = journal.Journal(journal.Origin('e', 'd'))
        super().__init__(('a:1',), event_log, cost.Meter())
        self.sent = []

    async def call(self, request, seconds):
        return {'outcome': 'session_granted', 'session': 's1'}

    def send(self, message):
        self.sent.append(message)


def client_for(leader):
    event_log = journal.Journal(journal.Origin('e', 'd'))
    sessions = session.Sessions(
        leader, journal.Journal(journal.Origin('e', 'd'))
    )
    targets = connection.Connections(leader, sessions, event_log)
    api = http_api.HttpApi(leader, targets, event_log, metric.NoMetrics())
    return testclient.TestClient(api.application())


def read_close_code(socket):
    """Return the code of the close that follows the error message."""
    error = json.loads(socket.receive_text())
    assert error['type'] == 'error'
    with pytest.raises(websockets.WebSocketDisconnect) as closed:
        socket.receive_text()
    return closed.value.code


@pytest.mark.parametrize(
    'text',
    [
        '{',
        '7',
        f'{{"type": "renew", "sequence": 1, "x": {DEEPLY_NESTED}}}',
        json.dumps({**HELLO, 'version': 10**40}),
        json.dumps({**HELLO, 'capacity': {'millicores': 10**40}}),
        json.dumps({**HELLO, 'clock': 2**63}),
    ],
)
def test_unreadable_first_message_violates_the_protocol(text):
    with client_for(FakeLeader()).websocket_connect('/v1/target') as socket:
        socket.send_text(text)
        assert read_close_code(socket) == 1008


def test_binary_message_violates_the_protocol():
    with client_for(FakeLeader()).websocket_connect('/v1/target') as socket:
        socket.send_bytes(b'\xff')
        assert read_close_code(socket) == 1008


def test_deeply_nested_report_closes_only_its_own_connection():
    leader = FakeLeader()
    client = client_for(leader)
    with client.websocket_connect('/v1/target') as violating:
        violating.send_json(dict(HELLO))
        assert violating.receive_json()['type'] == 'welcome'
        violating.send_text(f'{{"type": "report", "started": {DEEPLY_NESTED}}}')
        assert read_close_code(violating) == 1008
    with client.websocket_connect('/v1/target') as conforming:
        conforming.send_json({**HELLO, 'target': 't2'})
        assert conforming.receive_json()['type'] == 'welcome'
