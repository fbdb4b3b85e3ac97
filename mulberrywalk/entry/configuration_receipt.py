"""Receives configurations from the leader in parts."""

from __future__ import annotations

from typing import NamedTuple

from ..core import configuration
from ..transport import configuration_part, part


class Receipt(NamedTuple):
    """What to answer, and the configuration once it is whole."""

    progress: configuration_part.ConfigurationProgress
    received: configuration.Configuration | None = None


class Receipts:
    """Assembles one configuration at a time, the one that is sent last."""

    def __init__(self) -> None:
        """Start with none."""
        self._version = 0
        self._incoming: part.Incoming | None = None

    def describe(self) -> str:
        """Return how much of a configuration is there, '' if none is sent."""
        incoming = self._incoming
        if incoming is None:
            return ''
        count = len(incoming.payload)
        size = incoming.digest.size
        return f'receiving version {self._version}, {count} of {size} bytes'

    def receive(
        self,
        sent: configuration_part.ConfigurationPart,
        known_version: int,
        now: int,
    ) -> Receipt:
        """Take in a part; known_version is what this entry has.

        A version that is known is not received again. Raises ConnectionError
        if the whole cannot be read; the stream then ends.
        """
        if sent.version == known_version:
            self._incoming = None
            return Receipt(_progress(sent, sent.size))
        digest = part.Digest(sent.size, sent.checksum)
        incoming = self._incoming
        is_other = incoming is None or incoming.digest != digest
        if incoming is None or is_other or sent.version != self._version:
            incoming = part.Incoming(digest, now)
            self._incoming = incoming
            self._version = sent.version
        count = incoming.add(sent.offset, sent.payload, now)
        if not incoming.is_whole():
            return Receipt(_progress(sent, count))
        self._incoming = None
        payload = incoming.take()
        if payload is None:
            raise ConnectionError('a configuration arrived damaged')
        return Receipt(
            _progress(sent, sent.size), configuration_part.decode(payload)
        )


def _progress(
    sent: configuration_part.ConfigurationPart, received: int
) -> configuration_part.ConfigurationProgress:
    return configuration_part.ConfigurationProgress(
        sent.version, sent.checksum, received
    )
