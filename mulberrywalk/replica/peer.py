"""Streams that carry consensus messages to the other replicas."""

from __future__ import annotations

from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from ..consensus import message, node
from ..telemetry import journal
from ..transport import channel, wire
from . import engine, status

_REDIAL_S = 0.1
# Appends beyond this are dropped and sent again by the consensus.
_OUTBOX_LIMIT = 1000


class Peers:
    """One outgoing stream to each other replica; incoming ones are served."""

    def __init__(
        self,
        running: engine.Engine,
        lines: journal.Journal,
        statuses: status.Statuses,
        group: TaskGroup,
    ) -> None:
        """Prepare; streams are dialled as messages are first sent.

        statuses takes what the other replicas tell.
        """
        self._engine = running
        self._journal = lines
        self._statuses = statuses
        self._group = group
        self._outboxes: dict[str, channel.Outbox[message.Message]] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._introduced: dict[message.ReplicaId, message.Member] = {}

    def learn_members(self, members: tuple[message.Member, ...]) -> None:
        """Take note of replicas that the own log does not name yet.

        One with an empty log has to answer its leader to get a log at all.
        """
        self._introduced = {one.identity: one for one in members}

    def send(self, receiver: message.ReplicaId, body: message.Message) -> None:
        """Queue a message; it is dropped when the receiver is unknown."""
        member = self._engine.node.membership.find(receiver)
        if member is None and not self._engine.node.membership.members:
            member = self._introduced.get(receiver)
        if member is None:
            return
        key = f'{receiver}@{member.address}'
        if key not in self._outboxes:
            self._outboxes[key] = channel.Outbox(_OUTBOX_LIMIT)
            self._group.start_soon(self._serve_outbox, key, member)
        self._outboxes[key].put(body)

    def close_removed(self) -> None:
        """Close the streams to replicas that are members no more."""
        kept = {
            f'{one.identity}@{one.address}'
            for one in self._engine.node.membership.members
        }
        removed = set(self._outboxes) - kept
        for key in removed:
            self._outboxes.pop(key)
            scope = self._scopes.pop(key, None)
            if scope is not None:
                scope.cancel()

    async def accept(self, context: Any) -> None:
        """Serve the stream of another replica until it falls silent."""
        stream: channel.Stream[wire.PeerBatch, wire.PeerBatch]
        stream = channel.Stream(context, wire.PeerBatch, self._statuses.meter)
        try:
            while True:
                batch = await stream.receive()
                self._journal.clock.observe(batch.clock)
                for body in batch.messages:
                    self._engine.enqueue(node.Received(batch.sender, body))
                await stream.send(self._reply())
        except ConnectionError:
            return

    async def _serve_outbox(self, key: str, member: message.Member) -> None:
        with anyio.CancelScope() as scope:
            self._scopes[key] = scope
            while True:
                try:
                    await self._feed(self._outboxes[key], member)
                except ConnectionError:
                    self._statuses.update(member.identity, None)
                    await anyio.sleep(_REDIAL_S)

    async def _feed(
        self, outbox: channel.Outbox[message.Message], member: message.Member
    ) -> None:
        async with channel.dial(member.address) as dialled:
            stream = channel.open_stream(
                dialled, channel.PEER, wire.PeerBatch, self._statuses.meter
            )
            while True:
                taken = await outbox.take(channel.HEARTBEAT_INTERVAL_S)
                await stream.send(self._batch(taken))
                reply = await stream.receive()
                self._journal.clock.observe(reply.clock)
                self._statuses.update(member.identity, reply.status)

    def _reply(self) -> wire.PeerBatch:
        return msgspec.structs.replace(
            self._batch(()), status=self._statuses.own()
        )

    def _batch(self, messages: tuple[message.Message, ...]) -> wire.PeerBatch:
        return wire.PeerBatch(
            self._engine.node.identity, self._journal.clock.read(), messages
        )
