"""Messages that carry a configuration from the leader to an entry in parts."""

from __future__ import annotations

import zlib
from typing import Annotated

import msgspec

from ..core import configuration
from . import channel, decoding

Size = Annotated[int, msgspec.Meta(ge=0, le=channel.MAX_MESSAGE_BYTES)]

# Routes resemble each other, so that the fastest level takes off most.
_COMPRESSION_LEVEL = 1
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(configuration.Configuration)


class ConfigurationPart(msgspec.Struct, frozen=True, tag=True):
    """The bytes of an encoded configuration from an offset on.

    size is that of the whole in bytes, checksum its CRC-32C.
    """

    version: int
    size: Size
    checksum: int
    offset: Size
    payload: bytes


class ConfigurationProgress(msgspec.Struct, frozen=True, tag=True):
    """How many bytes of a configuration an entry has received."""

    version: int
    checksum: int
    received: Size


def encode(current: configuration.Configuration) -> bytes:
    """Return a configuration as it is sent."""
    return zlib.compress(_encoder.encode(current), _COMPRESSION_LEVEL)


def decode(payload: bytes) -> configuration.Configuration:
    """Return the configuration that was sent.

    Raises ConnectionError if it cannot be read or is too large.
    """
    reader = zlib.decompressobj()
    try:
        encoded = reader.decompress(payload, channel.MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise ConnectionError(f'unreadable configuration: {error}') from error
    if reader.unconsumed_tail:
        raise ConnectionError('the configuration is too large')
    with decoding.translate_errors(ConnectionError):
        return _decoder.decode(encoded)
