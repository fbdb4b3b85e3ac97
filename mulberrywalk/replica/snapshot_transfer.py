"""Sends snapshots to other replicas in parts.

A transfer outlasts lost messages and broken streams: it goes on from what the
replica has.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from ..consensus import message, node
from ..telemetry import journal
from ..transport import part, snapshot_part

# A part that is not answered for this long is sent again.
RETRY_MS = 1000
# A transfer without progress for this long is given up.
IDLE_LIMIT_MS = 10_000

Send = Callable[
    [message.ReplicaId, snapshot_part.SnapshotPart],
    None,
]


@dataclasses.dataclass(slots=True)
class _Transfer:
    """The transfer of one snapshot to one replica.

    term and leader_sent_at are those of the leader's latest message about it.
    Other times are in monotonic milliseconds.
    """

    snapshot: message.Snapshot
    head: snapshot_part.Head
    outgoing: part.Outgoing
    began_at: int
    progressed_at: int
    term: int = 0
    leader_sent_at: int = 0


class Transfers:
    """The open transfers to other replicas, at most one to each."""

    def __init__(self, send: Send, logger: journal.Journal) -> None:
        """Start with no transfer; send queues a part for a replica."""
        self._send = send
        self._journal = logger
        self._open: dict[message.ReplicaId, _Transfer] = {}

    def request(
        self, wanted: node.SendSnapshot, latest: message.Snapshot, now: int
    ) -> None:
        """Begin a transfer, or repeat a part of it that was not answered.

        A transfer that makes progress is not replaced by that of a later
        snapshot, or it might never end.
        """
        self._drop_idle(now)
        transfer = self._open.get(wanted.receiver)
        if transfer is None or _is_outdated(transfer, latest, now):
            transfer = _begin(latest, now)
            self._open[wanted.receiver] = transfer
            self._log(wanted.receiver, transfer, 'begins')
        transfer.term = wanted.term
        transfer.leader_sent_at = wanted.sent_at
        if now - transfer.outgoing.sent_at >= RETRY_MS:
            transfer.outgoing.part_bytes = part.MIN_PART_BYTES
            self._send_part(wanted.receiver, transfer, now)

    def handle_progress(
        self,
        sender: message.ReplicaId,
        progress: snapshot_part.SnapshotProgress,
        now: int,
    ) -> None:
        """Send the next part to a replica that has told what it has."""
        transfer = self._open.get(sender)
        if transfer is None or not _is_of(progress, transfer.head):
            return
        if not transfer.outgoing.acknowledge(progress.received, now):
            return
        transfer.progressed_at = now
        if transfer.outgoing.is_complete():
            elapsed_ms = now - transfer.began_at
            self._log(sender, transfer, f'took {elapsed_ms} ms')
        else:
            self._send_part(sender, transfer, now)

    def oldest_index(self, now: int) -> int | None:
        """Return the lowest index of the snapshots under way, None if none.

        Their receivers need the log entries that follow.
        """
        self._drop_idle(now)
        return min(
            (transfer.snapshot.index for transfer in self._open.values()),
            default=None,
        )

    def stop(self) -> None:
        """Give up all transfers, when this replica does not lead."""
        self._open.clear()

    def _send_part(
        self, receiver: message.ReplicaId, transfer: _Transfer, now: int
    ) -> None:
        sent = snapshot_part.SnapshotPart(
            transfer.head,
            transfer.term,
            transfer.leader_sent_at,
            transfer.outgoing.received,
            transfer.outgoing.take_part(now),
        )
        self._send(receiver, sent)

    def _drop_idle(self, now: int) -> None:
        idle = [
            receiver
            for receiver, transfer in self._open.items()
            if now - transfer.progressed_at > IDLE_LIMIT_MS
        ]
        for receiver in idle:
            transfer = self._open.pop(receiver)
            if not transfer.outgoing.is_complete():
                self._log(receiver, transfer, 'is given up')

    def _log(
        self, receiver: message.ReplicaId, transfer: _Transfer, what: str
    ) -> None:
        head = transfer.head
        received = transfer.outgoing.received
        size = f'{received} of {head.size} bytes'
        self._journal.record(
            'snapshot transfer',
            f'to {receiver} {what}: index {head.index}, {size}',
        )


def _is_outdated(
    transfer: _Transfer, latest: message.Snapshot, now: int
) -> bool:
    """Return whether a replica has a snapshot and needs a later one."""
    is_later = latest.index > transfer.snapshot.index
    quiet_ms = now - transfer.progressed_at
    return transfer.outgoing.is_complete() and is_later and quiet_ms >= RETRY_MS


def _begin(latest: message.Snapshot, now: int) -> _Transfer:
    digest = part.digest_of(latest.payload)
    head = snapshot_part.Head(
        latest.index,
        latest.term,
        latest.membership,
        digest.size,
        digest.checksum,
    )
    # The first part is due at once.
    outgoing = part.Outgoing(latest.payload, sent_at=now - RETRY_MS)
    return _Transfer(latest, head, outgoing, now, now)


def _is_of(
    progress: snapshot_part.SnapshotProgress, head: snapshot_part.Head
) -> bool:
    return (progress.index, progress.checksum) == (head.index, head.checksum)
