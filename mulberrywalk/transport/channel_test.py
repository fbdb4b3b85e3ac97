"""Tests streams and calls with messages that cannot be encoded or decoded.

Such a message must fail only its own stream or call, so each one raises
ConnectionError.
"""

import anyio
import msgspec
import pytest

from ..telemetry import cost
from . import channel, wire


class FakeRawStream:
    """A gRPC stream that returns one message and records those written."""

    def __init__(self, encoded=b''):
        self.encoded = encoded
        self.written = []

    async def read(self):
        return self.encoded

    async def write(self, encoded):
        self.written.append(encoded)


def entry_batch(clock):
    return wire.FromEntryBatch('e', 'd', clock, ())


DEEPLY_NESTED = b'\x91' * 100_000
UNDECODABLE = (
    b'',
    b'\xc1',
    b'{}',
    DEEPLY_NESTED,
    msgspec.msgpack.encode({'process': 1}),
    msgspec.msgpack.encode({'process': 'p', 'x': [[1]]}),
    b''.join((b'\x81\xa1x', DEEPLY_NESTED)),
)


@pytest.mark.parametrize('encoded', UNDECODABLE)
def test_undecodable_batch_raises_connection_error(encoded):
    stream = channel.Stream(
        FakeRawStream(encoded), wire.FromEntryBatch, cost.Meter()
    )
    with pytest.raises(ConnectionError):
        anyio.run(stream.receive)


def test_stream_sends_again_after_an_unencodable_batch():
    raw_stream = FakeRawStream()
    stream = channel.Stream(raw_stream, wire.ToEntryBatch, cost.Meter())
    with pytest.raises(ConnectionError):
        anyio.run(stream.send, entry_batch(10**40))
    anyio.run(stream.send, entry_batch(1))
    assert len(raw_stream.written) == 1


@pytest.mark.parametrize('encoded', UNDECODABLE)
def test_undecodable_reply_raises_connection_error(encoded, monkeypatch):
    async def fake_call(address, method, body):
        return encoded

    monkeypatch.setattr(channel, 'call', fake_call)
    with pytest.raises(ConnectionError):
        anyio.run(channel.call_decoded, 'a:1', 'Join', b'', wire.JoinReply)
