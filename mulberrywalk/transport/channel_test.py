"""Streams whose other end sends what cannot be read."""

import anyio
import msgspec
import pytest

from ..telemetry import cost
from . import channel, wire


class Raw:
    """One end of a gRPC stream: hands out one message, keeps the others."""

    def __init__(self, encoded=b''):
        self.encoded = encoded
        self.written = []

    async def read(self):
        return self.encoded

    async def write(self, encoded):
        self.written.append(encoded)


def batch(clock):
    return wire.FromEntryBatch('e', 'd', clock, ())


DEEP = b'\x91' * 100_000
ODD = (
    b'',
    b'\xc1',
    b'{}',
    DEEP,
    msgspec.msgpack.encode({'process': 1}),
    msgspec.msgpack.encode({'process': 'p', 'x': [[1]]}),
    b''.join((b'\x81\xa1x', DEEP)),
)


@pytest.mark.parametrize('encoded', ODD)
def test_batch_that_cannot_be_read_breaks_the_stream_alone(encoded):
    stream = channel.Stream(Raw(encoded), wire.FromEntryBatch, cost.Meter())
    with pytest.raises(ConnectionError):
        anyio.run(stream.receive)


def test_batch_that_cannot_be_written_breaks_the_stream_alone():
    raw = Raw()
    stream = channel.Stream(raw, wire.ToEntryBatch, cost.Meter())
    with pytest.raises(ConnectionError):
        anyio.run(stream.send, batch(10**40))
    anyio.run(stream.send, batch(1))
    assert len(raw.written) == 1


@pytest.mark.parametrize('encoded', ODD)
def test_reply_that_cannot_be_read_counts_as_none(encoded, monkeypatch):
    async def answer(address, method, body):
        return encoded

    monkeypatch.setattr(channel, 'call', answer)
    with pytest.raises(ConnectionError):
        anyio.run(channel.call_decoded, 'a:1', 'Join', b'', wire.JoinReply)
