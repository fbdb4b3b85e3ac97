"""Connections are reused only while the next reply belongs to its request."""

import contextlib
import socket
import threading
import time

import anyio
import pytest

from . import http_client

REQUEST = http_client.HttpRequest('/hold', {}, b'{}')
TIMEOUT_S = 5


def reply_with(body, *headers):
    """Return a reply with a body and additional headers."""
    length = f'content-length: {len(body)}'
    lines = ('HTTP/1.1 200 OK', length, *headers, '', body)
    return '\r\n'.join(lines).encode()


class FakeServer:
    """Answers the requests of each connection with the next prepared reply.

    An empty reply closes the connection. Each request is answered after
    delay_s seconds.
    """

    def __init__(self, *replies):
        self.replies = list(replies)
        self.accepted = 0
        self.delay_s = 0
        self.closed = threading.Event()
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self.accepted += 1
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        with connection, contextlib.suppress(OSError):
            while connection.recv(65536):
                time.sleep(self.delay_s)
                reply = self.replies.pop(0)
                if not reply:
                    break
                connection.sendall(reply)
                if b'close' in reply:
                    break
        self.closed.set()


@pytest.fixture
def start_server():
    with contextlib.ExitStack() as stack:

        def start(*replies):
            server = FakeServer(*replies)
            stack.callback(server.close)
            return server

        yield start


def do_nothing():
    """Do nothing between two calls."""


def call_in_turn(server, *timeouts_s, between=do_nothing):
    """Make a call for each timeout; return the bodies, None without one."""
    connections = http_client.ConnectionPool()

    async def call_all():
        bodies = []
        for timeout_s in timeouts_s:
            reply = await connections.call(server.address, REQUEST, timeout_s)
            bodies.append(reply and reply.body)
            between()
        return bodies

    return anyio.run(call_all)


def test_calls_in_turn_share_a_connection(start_server):
    server = start_server(reply_with('1'), reply_with('2'), reply_with('3'))
    bodies = call_in_turn(server, TIMEOUT_S, TIMEOUT_S, TIMEOUT_S)
    assert bodies == [b'1', b'2', b'3']
    assert server.accepted == 1


def test_late_reply_is_not_taken_for_that_of_the_next_call(start_server):
    server = start_server(reply_with('1'), reply_with('2'))
    server.delay_s = 0.3
    assert call_in_turn(server, 0.1, TIMEOUT_S) == [None, b'2']
    assert server.accepted == 2


def test_surplus_bytes_are_not_taken_for_the_next_reply(start_server):
    server = start_server(
        b''.join((reply_with('1'), reply_with('x'))), reply_with('2')
    )
    assert call_in_turn(server, TIMEOUT_S, TIMEOUT_S) == [b'1', b'2']
    assert server.accepted == 2


def test_connection_that_was_closed_while_idle_is_replaced(start_server):
    server = start_server(reply_with('1', 'x: close'), reply_with('2'))

    def wait_for_close():
        server.closed.wait(TIMEOUT_S)
        time.sleep(0.05)

    bodies = call_in_turn(server, TIMEOUT_S, TIMEOUT_S, between=wait_for_close)
    assert bodies == [b'1', b'2']


@pytest.mark.parametrize(
    'reply',
    [
        b'',
        b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\nx: close\r\n\r\n1',
        b'HTTP/1.1 200\xff\r\nx: close\r\n\r\n',
    ],
)
def test_incomplete_reply_counts_as_none(start_server, reply):
    server = start_server(reply, reply_with('2'))
    assert call_in_turn(server, TIMEOUT_S, TIMEOUT_S) == [None, b'2']


def test_body_without_a_length_ends_with_the_connection(start_server):
    server = start_server(b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n123')
    assert call_in_turn(server, TIMEOUT_S) == [b'123']


def test_interim_reply_is_skipped(start_server):
    server = start_server(
        b''.join((b'HTTP/1.1 100 Continue\r\n\r\n', reply_with('1')))
    )
    assert call_in_turn(server, TIMEOUT_S) == [b'1']


def test_connections_to_addresses_out_of_use_are_closed(
    start_server, monkeypatch
):
    first, second = start_server(reply_with('1')), start_server(reply_with('2'))
    connections = http_client.ConnectionPool()
    monkeypatch.setattr(http_client, '_MAX_IDLE_S', 0)

    async def call_both():
        for server in (first, second):
            await connections.call(server.address, REQUEST, TIMEOUT_S)

    anyio.run(call_both)
    assert connections.count_idle() == 1


@pytest.mark.parametrize(('idle', 'at_once'), [(1, 3), (3, 2), (3, 3), (6, 6)])
def test_concurrent_calls_close_connections_out_of_use(
    start_server, monkeypatch, idle, at_once
):
    """Each of the calls finds the same connections and opens its own."""
    before = [
        start_server(reply_with('1'), reply_with('2')) for _ in range(idle)
    ]
    after = [start_server(reply_with('3')) for _ in range(at_once)]
    connections = http_client.ConnectionPool()
    replies = []

    async def call(server):
        reply = await connections.call(server.address, REQUEST, TIMEOUT_S)
        replies.append(reply and reply.body)

    async def call_all(servers):
        async with anyio.create_task_group() as group:
            for server in servers:
                group.start_soon(call, server)

    async def run():
        # Two connections to each address.
        await call_all([*before, *before])
        clock = time.monotonic
        monkeypatch.setattr(http_client.time, 'monotonic', lambda: clock() + 60)
        await call_all(after)

    anyio.run(run)
    assert replies[2 * idle :] == [b'3' for _ in after]
    assert connections.count_idle() == at_once
