"""Sends the configuration to the entries in parts.

An entry that is receiving a version gets the rest of it before a newer one, so
that versions in quick succession do not keep each other from arriving. Versions
between the two are left out.
"""

from __future__ import annotations

import dataclasses

import msgspec

from ..core import configuration
from ..transport import configuration_part, part
from . import engine, link


@dataclasses.dataclass(frozen=True, slots=True)
class _Encoded:
    """A version of the configuration as it is sent to all entries."""

    version: int
    payload: bytes
    digest: part.Digest


@dataclasses.dataclass(slots=True)
class _Transfer:
    """The transfer of a version over a link."""

    origin: link.Link
    encoded: _Encoded
    outgoing: part.Outgoing


class ConfigurationTransfers:
    """The transfers over the open links, at most one over each."""

    def __init__(self, replica_engine: engine.Engine) -> None:
        """Start with no transfer."""
        self._engine = replica_engine
        self._encoded: _Encoded | None = None
        self._open: dict[str, _Transfer] = {}

    def count(self) -> int:
        """Return the number of entries with a transfer, open or complete."""
        return len(self._open)

    def send(self, origin: link.Link, now: int) -> None:
        """Send the configuration in force over a link.

        now is in monotonic milliseconds.
        """
        transfer = self._find(origin)
        if transfer is None or transfer.outgoing.is_complete():
            self._begin(origin, now)

    def handle_progress(
        self,
        origin: link.Link,
        progress: configuration_part.ConfigurationProgress,
        now: int,
    ) -> None:
        """Send the next part, or a version that is newer than the sent one."""
        transfer = self._find(origin)
        if transfer is None:
            return
        encoded = transfer.encoded
        name = (encoded.version, encoded.digest.checksum)
        if (progress.version, progress.checksum) != name:
            return
        if not transfer.outgoing.acknowledge(progress.received, now):
            return
        if not transfer.outgoing.is_complete():
            _send_part(transfer, now)
        elif encoded.version != self._engine.tables.configuration.version:
            self._begin(origin, now)

    def forget(self, processes: frozenset[str]) -> None:
        """Forget the transfers over links to other entries than these."""
        for process in self._open.keys() - processes:
            self._open.pop(process)

    def _find(self, origin: link.Link) -> _Transfer | None:
        """Return the transfer over a link, not one over an earlier link."""
        transfer = self._open.get(origin.process)
        if transfer is None or transfer.origin is not origin:
            return None
        return transfer

    def _begin(self, origin: link.Link, now: int) -> None:
        encoded = self._encode()
        transfer = _Transfer(origin, encoded, part.Outgoing(encoded.payload))
        self._open[origin.process] = transfer
        _send_part(transfer, now)

    def _encode(self) -> _Encoded:
        """Return the configuration in force; it is encoded once a version."""
        current = self._engine.tables.configuration
        known = self._encoded
        if known is None or known.version != current.version:
            payload = configuration_part.encode(_without_source(current))
            known = _Encoded(current.version, payload, part.digest_of(payload))
            self._encoded = known
        return known


def _send_part(transfer: _Transfer, now: int) -> None:
    encoded = transfer.encoded
    outgoing = transfer.outgoing
    transfer.origin.send(
        configuration_part.ConfigurationPart(
            encoded.version,
            encoded.digest.size,
            encoded.digest.checksum,
            outgoing.received,
            outgoing.take_part(now),
        )
    )


def _without_source(
    current: configuration.Configuration,
) -> configuration.Configuration:
    """Return a configuration as entries use it, without the operator's text."""
    routing = msgspec.structs.replace(current.routing, source='')
    return msgspec.structs.replace(current, routing=routing)
