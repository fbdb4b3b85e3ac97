"""Targets that dial in and do not keep to the protocol."""

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
DEEP = '[' * 100_000 + ']' * 100_000


class FakeLeader(upstream.Upstream):
    """Grants each session and keeps what is sent."""

    def __init__(self):
        lines = journal.Journal(journal.Origin('e', 'd'))
        super().__init__(('a:1',), lines, cost.Meter())
        self.sent = []

    async def call(self, request, seconds):
        return {'outcome': 'session_granted', 'session': 's1'}

    def send(self, message):
        self.sent.append(message)


def client_of(leader):
    lines = journal.Journal(journal.Origin('e', 'd'))
    sessions = session.Sessions(leader)
    targets = connection.Connections(leader, sessions, lines)
    interface = http_api.HttpApi(leader, targets, lines, metric.NoMetrics())
    return testclient.TestClient(interface.application())


def read_refusal(socket):
    """Return the status of the close that follows the reason."""
    told = json.loads(socket.receive_text())
    assert told['type'] == 'error'
    with pytest.raises(websockets.WebSocketDisconnect) as closed:
        socket.receive_text()
    return closed.value.code


@pytest.mark.parametrize(
    'text',
    [
        '{',
        '7',
        f'{{"type": "renew", "sequence": 1, "x": {DEEP}}}',
        json.dumps({**HELLO, 'version': 10**40}),
        json.dumps({**HELLO, 'capacity': {'millicores': 10**40}}),
        json.dumps({**HELLO, 'clock': 2**63}),
    ],
)
def test_first_message_that_cannot_be_read_breaks_the_protocol(text):
    with client_of(FakeLeader()).websocket_connect('/v1/target') as socket:
        socket.send_text(text)
        assert read_refusal(socket) == 1008


def test_message_of_bytes_breaks_the_protocol():
    with client_of(FakeLeader()).websocket_connect('/v1/target') as socket:
        socket.send_bytes(b'\xff')
        assert read_refusal(socket) == 1008


def test_deeply_nested_report_breaks_the_protocol_of_one_target():
    leader = FakeLeader()
    client = client_of(leader)
    with client.websocket_connect('/v1/target') as odd:
        odd.send_json(dict(HELLO))
        assert odd.receive_json()['type'] == 'welcome'
        odd.send_text(f'{{"type": "report", "started": {DEEP}}}')
        assert read_refusal(odd) == 1008
    with client.websocket_connect('/v1/target') as good:
        good.send_json({**HELLO, 'target': 't2'})
        assert good.receive_json()['type'] == 'welcome'
