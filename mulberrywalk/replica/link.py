"""The streams of the entries, as the leader holds them."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

import anyio

from ..consensus import election
from ..telemetry import cost, journal
from ..transport import channel, wire
from . import engine

# Well within the silence after which an entry gives a stream up.
_ELECTION_S = 0.5
_POLL_S = 0.02

EntryStream = channel.Stream[wire.ToEntryBatch, wire.FromEntryBatch]


@dataclasses.dataclass(slots=True)
class Link:
    """One entry's stream; version is the configuration that it applies."""

    process: str
    data_centre: str
    outbox: channel.Outbox[wire.ToEntry] = dataclasses.field(
        default_factory=channel.Outbox
    )
    version: int = 0
    pulse_sent_at: int = 0
    cost: cost.Cost = dataclasses.field(default_factory=cost.Cost)
    is_stopping: bool = False

    def send(self, message: wire.ToEntry) -> None:
        """Queue a message for the entry."""
        self.outbox.put(message)


class Links:
    """All entries that are linked to this replica while it leads."""

    def __init__(
        self,
        running: engine.Engine,
        lines: journal.Journal,
        meter: cost.Meter,
        received: Callable[[Link, wire.FromEntry], None],
        opened: Callable[[Link], None],
    ) -> None:
        """Hand each message to received, each new link to opened."""
        self.open: dict[str, Link] = {}
        self._engine = running
        self._journal = lines
        self._meter = meter
        self._received = received
        self._opened = opened

    def send(self, process: str, message: wire.ToEntry) -> None:
        """Queue a message for an entry; dropped when it is not linked."""
        link = self.open.get(process)
        if link is not None:
            link.send(message)

    def broadcast(self, message: wire.ToEntry) -> None:
        """Queue a message for all entries."""
        for link in self.open.values():
            link.send(message)

    async def accept(self, context: Any) -> None:
        """Serve an entry until either end closes or falls silent."""
        stream: EntryStream = channel.Stream(
            context, wire.FromEntryBatch, self._meter
        )
        try:
            first = await stream.receive()
        except ConnectionError:
            return
        await self._wait_for_leader()
        if not self._engine.is_serving():
            await self._redirect(stream)
            return
        link = Link(first.process, first.data_centre)
        self.open[link.process] = link
        self._opened(link)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._read, stream, link, first)
                group.start_soon(self._write, stream, link)
        except* ConnectionError:
            self._journal.warn(f'the link of {link.process} has closed')
        finally:
            if self.open.get(link.process) is link:
                self.open.pop(link.process)

    async def _read(
        self, stream: EntryStream, link: Link, first: wire.FromEntryBatch
    ) -> None:
        batch = first
        while True:
            self._journal.clock.witness(batch.clock)
            for message in batch.messages:
                self._received(link, message)
            batch = await stream.receive()

    async def _write(self, stream: EntryStream, link: Link) -> None:
        while True:
            messages = await link.outbox.take(channel.PULSE_S)
            if not self._engine.is_serving():
                await self._redirect(stream)
                raise ConnectionError('this replica leads no more')
            version = self._engine.tables.configuration.version
            await stream.send(
                self._batch(
                    (
                        *messages,
                        wire.LeaderPulse(version, link.pulse_sent_at),
                    )
                )
            )

    async def _wait_for_leader(self) -> None:
        """Hold an entry that asks during an election until it is over."""
        with anyio.move_on_after(_ELECTION_S):
            while not self._engine.is_serving() and not self._find_leader():
                await anyio.sleep(_POLL_S)

    def _find_leader(self) -> str:
        """Return the address of another replica that was heard leading.

        One that was not heard lately may be the one that an entry has just
        lost.
        """
        replica = self._engine.node
        if not replica.leader or not election.may_leader_hold_lease(replica):
            return ''
        member = replica.membership.find(replica.leader)
        is_other = member is not None and replica.leader != replica.identity
        return member.address if member and is_other else ''

    async def _redirect(self, stream: EntryStream) -> None:
        try:
            await stream.send(
                self._batch((wire.Redirect(self._find_leader()),))
            )
        except ConnectionError:
            return

    def _batch(self, messages: tuple[wire.ToEntry, ...]) -> wire.ToEntryBatch:
        return wire.ToEntryBatch(
            self._journal.origin.process,
            self._journal.clock.read(),
            messages,
        )
