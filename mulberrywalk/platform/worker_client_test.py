"""Calls to invalid addresses, invalid or too large replies, and their cost."""

import contextlib
import gzip
import sys
import threading
from http import server as http_server

import anyio
import pytest

from ..core import identity
from ..entry import target_client
from ..telemetry import journal
from . import http_client, worker_client

BORN = 5
INVALID_ADDRESSES = (
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


def poll_destination(destination):
    client = worker_client.WorkerClient(
        http_client.ConnectionPool(), journal.Journal(journal.Origin('e', 'd'))
    )
    request = target_client.PollRequest(1, None, 0, 0)
    return anyio.run(client.poll, destination, request)


@pytest.mark.parametrize('address', INVALID_ADDRESSES)
def test_poll_of_invalid_address_gets_no_reply(address):
    destination = target_client.Destination(
        identity.TargetId('i-1'), address, BORN
    )
    assert poll_destination(destination) is target_client.CallResult.NO_REPLY


@pytest.mark.parametrize('name', ['\xe9', 'a\nb', '\x00', '\u2488'])
def test_poll_with_id_invalid_in_header_gets_no_reply(name):
    destination = target_client.Destination(
        identity.TargetId(name), '127.0.0.1:9', BORN
    )
    assert poll_destination(destination) is target_client.CallResult.NO_REPLY


@pytest.mark.parametrize('address', INVALID_ADDRESSES)
def test_adviser_with_invalid_address_gives_no_advice(address):
    event_log = journal.Journal(journal.Origin('e', 'd'))
    client = worker_client.HttpAdviserClient(
        http_client.ConnectionPool(), address, event_log
    )
    advice = anyio.run(client.advise, identity.StepId('j.0.0'), ())
    assert advice is None


LISTING = b'{"clockMs": 1, "born": 5, "running": [], "finished": []}'
PADDING = bytes(20_000_000).replace(b'\0', b' ')


class _RequestHandler(http_server.BaseHTTPRequestHandler):
    """Sends the headers and the body that the server holds."""

    def do_POST(self):
        self.rfile.read(int(self.headers['content-length']))
        self.send_response(200)
        for name, text in self.server.extra_headers.items():
            self.send_header(name, text)
        self.end_headers()
        with contextlib.suppress(OSError):
            self.wfile.write(self.server.body)

    def log_message(self, *_):
        """Log nothing."""


@pytest.fixture
def server():
    running_server = http_server.ThreadingHTTPServer(
        ('127.0.0.1', 0), _RequestHandler
    )
    running_server.daemon_threads = True
    running_server.extra_headers = {}
    threading.Thread(target=running_server.serve_forever, daemon=True).start()
    yield running_server
    running_server.shutdown()


def poll_server(server):
    address = f'127.0.0.1:{server.server_port}'
    return poll_destination(
        target_client.Destination(identity.TargetId('i-1'), address, BORN)
    )


def test_listing_is_decoded(server):
    server.body = LISTING
    assert poll_server(server) == target_client.PollResult(1, 5, (), ())


def test_reply_over_size_limit_is_discarded(server):
    server.body = LISTING + PADDING
    assert poll_server(server) is target_client.CallResult.NO_REPLY


def test_compressed_reply_is_discarded(server):
    server.extra_headers = {'content-encoding': 'gzip'}
    server.body = gzip.compress(LISTING + PADDING)
    assert poll_server(server) is target_client.CallResult.NO_REPLY


@pytest.mark.parametrize(
    'extra_headers',
    [
        {'content-length': '99999999999999999999'},
        {'content-length': '-1'},
        {'transfer-encoding': 'chunked'},
        {'set-cookie': 'a=\xff; expires=x'},
        {'location': 'http://[::1', 'content-type': ';charset=\xff'},
    ],
)
def test_invalid_reply_headers_raise_no_error(server, extra_headers):
    server.extra_headers = extra_headers
    server.body = b'zz\r\n'
    assert isinstance(poll_server(server), target_client.CallResult)


class MissingModuleFinder:
    """Records the modules that no other finder has found."""

    def __init__(self):
        self.names = []

    def find_spec(self, name, path, target=None):
        self.names.append(name)


def test_call_searches_for_no_missing_module(server, monkeypatch):
    """A failed import is not cached, so it would be repeated on each call."""
    server.body = LISTING
    poll_server(server)
    finder = MissingModuleFinder()
    monkeypatch.setattr(sys, 'meta_path', [*sys.meta_path, finder])
    poll_server(server)
    assert not finder.names
