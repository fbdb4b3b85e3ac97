"""Calls of an entry to addresses where nobody answers, or nobody could."""

import contextlib
import gzip
import threading
from http import server as http_server

import anyio
import pytest

from ..core import identity
from ..entry import target_client
from ..telemetry import journal
from . import worker_client

ODD_ADDRESSES = (
    '',
    '127.0.0.1',
    '127.0.0.1:x',
    '127.0.0.1:-1',
    '127.0.0.1:65536',
    '127.0.0.1:99999999',
    '[::1',
    'a b:80',
    '\xe9\x00:80',
    'xn--\u2488:80',
    'x' * 100_000,
)


def look(destination):
    caller = worker_client.WorkerClient(
        worker_client.ClientPool(), journal.Journal(journal.Origin('e', 'd'))
    )
    glance = target_client.PollRequest(1, None, 0, 0)
    return anyio.run(caller.poll, destination, glance)


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_address_that_cannot_be_called_gives_no_answer(address):
    target = target_client.Destination(identity.TargetId('i-1'), address)
    assert look(target) is target_client.CallResult.NO_REPLY


@pytest.mark.parametrize('name', ['\xe9', 'a\nb', '\x00', '\u2488'])
def test_id_that_no_header_can_carry_gives_no_answer(name):
    target = target_client.Destination(identity.TargetId(name), '127.0.0.1:9')
    assert look(target) is target_client.CallResult.NO_REPLY


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_adviser_that_cannot_be_called_gives_no_advice(address):
    lines = journal.Journal(journal.Origin('e', 'd'))
    asking = worker_client.HttpAdviserClient(
        worker_client.ClientPool(), address, lines
    )
    told = anyio.run(asking.advise, identity.StepId('j.0.0'), ())
    assert told is None


LISTING = b'{"clockMs": 1, "born": 5, "running": [], "finished": []}'
PADDING = bytes(20_000_000).replace(b'\0', b' ')


class _Answering(http_server.BaseHTTPRequestHandler):
    """Answers each call with the body of the server."""

    def do_POST(self):
        self.rfile.read(int(self.headers['content-length']))
        self.send_response(200)
        for name, text in self.server.told.items():
            self.send_header(name, text)
        self.end_headers()
        with contextlib.suppress(OSError):
            self.wfile.write(self.server.body)

    def log_message(self, *_):
        """Write nothing."""


@pytest.fixture
def server():
    serving = http_server.ThreadingHTTPServer(('127.0.0.1', 0), _Answering)
    serving.daemon_threads = True
    serving.told = {}
    threading.Thread(target=serving.serve_forever, daemon=True).start()
    yield serving
    serving.shutdown()


def look_at(server):
    address = f'127.0.0.1:{server.server_port}'
    return look(target_client.Destination(identity.TargetId('i-1'), address))


def test_listing_is_read(server):
    server.body = LISTING
    assert look_at(server) == target_client.PollResult(1, 5, (), ())


def test_answer_without_end_is_not_kept_in_memory(server):
    server.body = LISTING + PADDING
    assert look_at(server) is target_client.CallResult.NO_REPLY


def test_packed_answer_is_not_unpacked(server):
    server.told = {'content-encoding': 'gzip'}
    server.body = gzip.compress(LISTING + PADDING)
    assert look_at(server) is target_client.CallResult.NO_REPLY


@pytest.mark.parametrize(
    'told',
    [
        {'content-length': '99999999999999999999'},
        {'content-length': '-1'},
        {'transfer-encoding': 'chunked'},
        {'set-cookie': 'a=\xff; expires=x'},
        {'location': 'http://[::1', 'content-type': ';charset=\xff'},
    ],
)
def test_odd_headers_of_an_answer_end_nothing(server, told):
    server.told = told
    server.body = b'zz\r\n'
    assert isinstance(look_at(server), target_client.CallResult)
