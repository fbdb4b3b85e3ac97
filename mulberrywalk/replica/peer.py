"""Streams of consensus messages between the replicas."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from ..consensus import message, node
from ..telemetry import clock, journal
from ..transport import channel, region, snapshot_part, wire
from . import engine, snapshot_receipt, status

_REDIAL_DELAY_S = 0.1
# A reply to each batch would double the number of messages; this often they
# still show in time that the other replica no longer answers.
_REPLY_INTERVAL_MS = 250
# Only the leader sends all the time; a stream without messages is closed.
_IDLE_LIMIT_MS = 1000
# Messages beyond this limit are dropped; the consensus resends them.
_OUTBOX_LIMIT = 1000

PeerStream = channel.Stream[wire.PeerBatch, wire.PeerBatch]


@dataclasses.dataclass(frozen=True, slots=True)
class _Receiver:
    """Another replica and the host:port address at which it listens."""

    identity: message.ReplicaId
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Connection:
    """The messages for another replica, and the scope that sends them."""

    outbox: channel.Outbox[wire.PeerMessage] = dataclasses.field(
        default_factory=lambda: channel.Outbox(_OUTBOX_LIMIT)
    )
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )


class Peers:
    """Sends on one stream to each other replica and serves their streams."""

    def __init__(
        self,
        replica_engine: engine.Engine,
        logger: journal.Journal,
        statuses: status.Statuses,
        group: TaskGroup,
        address: str,
        regions: region.Regions = region.ONE_REGION,
    ) -> None:
        """Prepare; a stream is opened when its first message is sent.

        statuses receives the statuses that the other replicas report. address
        is the host:port at which the other replicas reach this one. Streams to
        replicas of other regions are compressed.
        """
        self._regions = regions
        # The data centres that other replicas have stated. The founders of a
        # cell may be members without one.
        self._data_centres: dict[message.ReplicaId, str] = {}
        self._engine = replica_engine
        self._journal = logger
        self._statuses = statuses
        self._group = group
        self._address = address
        self._connections: dict[_Receiver, _Connection] = {}
        # The addresses stated by the replicas that have a stream open to this
        # one. The own log may be older than the membership of its leader or of
        # a candidate, and they need the answers of this replica.
        self._senders: dict[message.ReplicaId, str] = {}
        self._unreachable: set[message.ReplicaId] = set()
        self._receipts = snapshot_receipt.Receipts(logger)

    def send(self, receiver: message.ReplicaId, body: wire.PeerMessage) -> None:
        """Queue a message; drop it when no address of the receiver is known."""
        address = self._find_address(receiver)
        if address is None:
            self._record_unreachable(receiver, body)
            return
        self._unreachable.discard(receiver)
        key = _Receiver(receiver, address)
        if key not in self._connections:
            connection = _Connection()
            self._connections[key] = connection
            self._group.start_soon(self._keep_open, connection, key)
        self._connections[key].outbox.put(body)

    def close_removed(self) -> None:
        """Close the streams to replicas that are no longer members.

        Streams to those that have one open to this replica are kept.
        """
        self._unreachable.clear()
        members = (
            _Receiver(member.identity, member.address)
            for member in self._engine.node.membership.members
        )
        senders = itertools.starmap(_Receiver, self._senders.items())
        removed = set(self._connections).difference(members, senders)
        for key in removed:
            self._connections.pop(key).scope.cancel()

    async def accept(self, context: Any) -> None:
        """Serve the stream of another replica until it closes or times out."""
        stream: PeerStream = channel.Stream(
            context, wire.PeerBatch, self._statuses.meter
        )
        with contextlib.ExitStack() as stack:
            stack.enter_context(contextlib.suppress(ConnectionError))
            first = await stream.receive()
            stack.callback(self._senders.pop, first.sender, None)
            await self._accept_batches(stream, first)

    async def _accept_batches(
        self, stream: PeerStream, first: wire.PeerBatch
    ) -> None:
        batch = first
        while True:
            # Another stream of the same sender may have ended since the last
            # batch, and have taken the address with it.
            if batch.address:
                self._senders[batch.sender] = batch.address
            self._journal.clock.observe(batch.clock)
            for body in batch.messages:
                self._receive(batch.sender, body)
            if batch.needs_reply:
                await stream.send(self._reply())
            batch = await stream.receive()

    def _receive(
        self, sender: message.ReplicaId, body: wire.PeerMessage
    ) -> None:
        if isinstance(body, snapshot_part.SnapshotPart):
            self._receive_part(sender, body)
        elif isinstance(body, snapshot_part.SnapshotProgress):
            self._engine.transfers.handle_progress(
                sender, body, clock.monotonic_ms()
            )
        else:
            self._engine.enqueue(node.Received(sender, body))

    def _receive_part(
        self, sender: message.ReplicaId, part: snapshot_part.SnapshotPart
    ) -> None:
        commit_index = self._engine.node.commit_index
        receipt = self._receipts.receive(
            part, commit_index, clock.monotonic_ms()
        )
        if receipt.progress is not None:
            self.send(sender, receipt.progress)
        if receipt.request is not None:
            self._engine.enqueue(node.Received(sender, receipt.request))

    def _find_address(self, replica: message.ReplicaId) -> str | None:
        """Return where a replica listens: as a member, or by its own word."""
        member = self._engine.node.membership.find(replica)
        return member.address if member else self._senders.get(replica)

    def _record_unreachable(
        self, receiver: message.ReplicaId, body: wire.PeerMessage
    ) -> None:
        """Log the first message that a receiver without an address misses."""
        if receiver in self._unreachable:
            return
        self._unreachable.add(receiver)
        kind = type(body).__name__
        self._journal.record(
            'messages dropped', f'no address of {receiver} for {kind}'
        )

    async def _keep_open(
        self, connection: _Connection, receiver: _Receiver
    ) -> None:
        """Send until the scope of the connection is cancelled.

        It may be cancelled before this task runs for the first time. A stream
        is open only while there are messages to send.
        """
        with connection.scope:
            while True:
                await connection.outbox.wait()
                try:
                    await self._send_from(connection.outbox, receiver)
                except ConnectionError:
                    self._statuses.update(receiver.identity, None)
                    await anyio.sleep(_REDIAL_DELAY_S)

    async def _send_from(
        self, outbox: channel.Outbox[wire.PeerMessage], receiver: _Receiver
    ) -> None:
        is_remote = self._is_remote(receiver.identity)
        dial = channel.dial_compressed if is_remote else channel.dial
        async with dial(receiver.address) as connection:
            stream = channel.open_stream(
                connection, channel.PEER, wire.PeerBatch, self._statuses.meter
            )
            await self._send_batches(
                outbox, stream, receiver, is_remote=is_remote
            )

    async def _send_batches(
        self,
        outbox: channel.Outbox[wire.PeerMessage],
        stream: PeerStream,
        receiver: _Receiver,
        *,
        is_remote: bool,
    ) -> None:
        """Send until the outbox stays empty, or the receiver is elsewhere.

        It may state in its first reply that it is in another region.
        """
        used_at = clock.monotonic_ms()
        replied_at = used_at - _REPLY_INTERVAL_MS
        while clock.monotonic_ms() - used_at < _IDLE_LIMIT_MS:
            messages = await outbox.take(channel.HEARTBEAT_INTERVAL_S)
            now = clock.monotonic_ms()
            used_at = now if messages else used_at
            needs_reply = now - replied_at >= _REPLY_INTERVAL_MS
            await stream.send(self._batch(messages, needs_reply=needs_reply))
            if needs_reply:
                replied_at = now
                await self._receive_reply(stream, receiver)
            if self._is_remote(receiver.identity) != is_remote:
                return

    async def _receive_reply(
        self, stream: PeerStream, receiver: _Receiver
    ) -> None:
        reply = await stream.receive()
        self._journal.clock.observe(reply.clock)
        self._statuses.update(receiver.identity, reply.status)
        if reply.status is not None and reply.status.data_centre:
            stated = reply.status.data_centre
            self._data_centres[receiver.identity] = stated

    def _is_remote(self, replica: message.ReplicaId) -> bool:
        """Return whether a replica is known to be in another region."""
        stated = self._data_centres.get(replica)
        if stated is None:
            return False
        distance = self._regions.distance(
            self._journal.origin.data_centre, stated
        )
        return distance is region.Distance.OTHER_REGION

    def _reply(self) -> wire.PeerBatch:
        own = self._statuses.own()
        if self._regions.is_set():
            own = msgspec.structs.replace(
                own, data_centre=self._journal.origin.data_centre
            )
        return msgspec.structs.replace(
            self._batch((), needs_reply=False), status=own
        )

    def _batch(
        self, messages: tuple[wire.PeerMessage, ...], *, needs_reply: bool
    ) -> wire.PeerBatch:
        return wire.PeerBatch(
            self._engine.node.identity,
            self._journal.clock.read(),
            messages,
            needs_reply=needs_reply,
            address=self._address,
        )
