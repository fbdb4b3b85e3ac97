"""Receives a snapshot from the leader in parts.

Parts are taken in order; what does not follow is answered with what is there,
and the leader goes on from that. A whole snapshot whose checksum is right is
handed to the consensus as one message.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from ..consensus import message
from ..telemetry import journal
from ..transport import part, snapshot_part

# A snapshot whose next part has not come for this long gives way to an older
# one, which another leader may have.
IDLE_LIMIT_MS = 3000


class Receipt(NamedTuple):
    """What to answer, and the whole snapshot once it is there."""

    progress: snapshot_part.SnapshotProgress | None
    request: message.SnapshotRequest | None = None


@dataclasses.dataclass(slots=True)
class _Incoming:
    """A snapshot of which a part is there."""

    head: snapshot_part.Head
    parts: part.Incoming


class Receipts:
    """Assembles one snapshot at a time."""

    def __init__(self, logger: journal.Journal) -> None:
        """Start with no snapshot."""
        self._journal = logger
        self._incoming: _Incoming | None = None
        # The last whole snapshot, until it is installed, and since when.
        self._complete: snapshot_part.Head | None = None
        self._completed_at = 0

    def receive(
        self, sent: snapshot_part.SnapshotPart, commit_index: int, now: int
    ) -> Receipt:
        """Take in a part; commit_index is that of this replica.

        now is in monotonic milliseconds.
        """
        head = sent.head
        if head.index <= commit_index:
            # The leader has not heard yet that its entries are here.
            return Receipt(_progress(head, head.size), _request(sent, b''))
        is_installing = now - self._completed_at <= IDLE_LIMIT_MS
        if head == self._complete and is_installing:
            return Receipt(_progress(head, head.size))
        incoming = self._find_incoming(head, now)
        if incoming is None:
            return Receipt(None)
        count = incoming.parts.add(sent.offset, sent.payload, now)
        if not incoming.parts.is_whole():
            return Receipt(_progress(head, count))
        self._incoming = None
        return self._finish(sent, incoming.parts.take(), now)

    def _find_incoming(
        self, head: snapshot_part.Head, now: int
    ) -> _Incoming | None:
        """Return the snapshot that a part belongs to, None to ignore the part.

        A newer snapshot replaces the one that is being received.
        """
        current = self._incoming
        if current is not None and current.head == head:
            return current
        if current is not None:
            is_idle = now - current.parts.at > IDLE_LIMIT_MS
            if head.index <= current.head.index and not is_idle:
                return None
        digest = part.Digest(head.size, head.checksum)
        self._incoming = _Incoming(head, part.Incoming(digest, now))
        return self._incoming

    def _finish(
        self, sent: snapshot_part.SnapshotPart, payload: bytes | None, now: int
    ) -> Receipt:
        head = sent.head
        if payload is None:
            self._journal.warn(
                'snapshot refused',
                f'index {head.index}: {head.size} bytes arrived damaged',
            )
            return Receipt(_progress(head, 0))
        self._complete = head
        self._completed_at = now
        return Receipt(_progress(head, head.size), _request(sent, payload))


def _progress(
    head: snapshot_part.Head, received: int
) -> snapshot_part.SnapshotProgress:
    return snapshot_part.SnapshotProgress(head.index, head.checksum, received)


def _request(
    sent: snapshot_part.SnapshotPart, payload: bytes
) -> message.SnapshotRequest:
    head = sent.head
    whole = message.Snapshot(head.index, head.term, head.membership, payload)
    return message.SnapshotRequest(sent.term, whole, sent.sent_at)
