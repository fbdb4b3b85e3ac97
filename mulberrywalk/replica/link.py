"""The leader's connections to the entries."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Callable
from typing import Any

import anyio

from ..consensus import election
from ..telemetry import cost, journal
from ..transport import channel, relief, wire
from . import engine, relief_grant

# Well below the silence after which an entry closes its stream.
_ELECTION_WAIT_S = 0.5
_POLL_INTERVAL_S = 0.02

EntryStream = channel.Stream[wire.ToEntryBatch, wire.FromEntryBatch]


@dataclasses.dataclass(slots=True)
class Link:
    """The connection to one entry.

    version is that of the configuration that the entry applies,
    limit_millicores the limit of its processor share, zero if it knows none.
    pulse_sent_at and cost_sent_at are on the entry's clock.
    """

    process: str
    data_centre: str
    outbox: channel.Outbox[wire.ToEntry] = dataclasses.field(
        default_factory=channel.Outbox
    )
    version: int = 0
    pulse_sent_at: int = 0
    cost: cost.Cost = dataclasses.field(default_factory=cost.Cost)
    cost_sent_at: int = 0
    is_stopping: bool = False
    limit_millicores: int = 0
    relief: relief.Relief = relief.Relief.NONE
    may_be_unready: bool = False

    def send(self, message: wire.ToEntry) -> None:
        """Queue a message for the entry."""
        self.outbox.put(message)


class Links:
    """The open links from entries to this replica while it leads."""

    def __init__(
        self,
        replica_engine: engine.Engine,
        logger: journal.Journal,
        meter: cost.Meter,
        on_message: Callable[[Link, wire.FromEntry], bool],
        on_open: Callable[[Link], None],
    ) -> None:
        """Pass each message to on_message and each new link to on_open.

        on_message returns False if it cannot handle the message yet.
        """
        self.open: dict[str, Link] = {}
        self._engine = replica_engine
        self._journal = logger
        self._meter = meter
        self._on_message = on_message
        self._on_open = on_open

    def send(self, process: str, message: wire.ToEntry) -> None:
        """Queue a message for an entry; drop it when there is no link."""
        link = self.open.get(process)
        if link is None:
            kind = type(message).__name__
            entry = process or 'any entry'
            self._journal.record(
                'message not sent', f'{kind}: no link to {entry}'
            )
        else:
            link.send(message)

    def broadcast(self, message: wire.ToEntry) -> None:
        """Queue a message for all linked entries."""
        for link in self.open.values():
            link.send(message)

    def grant_relief(self) -> None:
        """Update which entries may be unready."""
        granted = relief_grant.choose(
            relief_grant.Entry(
                entry.process,
                entry.data_centre,
                entry.relief,
                entry.may_be_unready,
            )
            for entry in self.open.values()
            if not entry.is_stopping
        )
        for entry in self.open.values():
            entry.may_be_unready = entry.process in granted

    async def accept(self, context: Any) -> None:
        """Serve an entry until either end closes or stops sending."""
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
        self._on_open(link)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._read, stream, link, first)
                group.start_soon(self._write, stream, link)
        except* ConnectionError:
            self._journal.warn(f'link to entry {link.process} closed')
        finally:
            if self.open.get(link.process) is link:
                self.open.pop(link.process)

    async def _read(
        self, stream: EntryStream, link: Link, first: wire.FromEntryBatch
    ) -> None:
        batch = first
        while True:
            self._journal.clock.observe(batch.clock)
            for message in batch.messages:
                await self._pass_on(link, message)
            batch = await stream.receive()

    async def _pass_on(self, link: Link, message: wire.FromEntry) -> None:
        """Pass a message on once this replica can confirm that it leads.

        A message that is not handled would be lost to an entry whose stream
        goes on. If this replica does not lead any more, _write ends the link
        with its next heartbeat, and the entry sends its state to the next
        leader. Raises ConnectionError if the entry has opened another link.
        """
        for tries in itertools.count():
            if self.open.get(link.process) is not link:
                raise ConnectionError('the entry has linked again')
            if self._on_message(link, message):
                return
            if not tries:
                kind = type(message).__name__
                detail = f'{kind} from {link.process} for confirmation'
                self._journal.record('message waits', detail)
            await anyio.sleep(_POLL_INTERVAL_S)

    async def _write(self, stream: EntryStream, link: Link) -> None:
        while True:
            messages = await link.outbox.take(channel.HEARTBEAT_INTERVAL_S)
            if not self._engine.is_serving():
                await self._redirect(stream)
                raise ConnectionError('this replica is no longer the leader')
            await stream.send(self._batch((*messages, self._heartbeat(link))))

    def _heartbeat(self, link: Link) -> wire.LeaderHeartbeat:
        return wire.LeaderHeartbeat(
            self._engine.tables.configuration.version,
            link.pulse_sent_at,
            link.may_be_unready,
        )

    async def _wait_for_leader(self) -> None:
        """Delay an entry that connects during an election, until it ends."""
        with anyio.move_on_after(_ELECTION_WAIT_S):
            while not self._engine.is_serving() and not self._find_leader():
                await anyio.sleep(_POLL_INTERVAL_S)

    def _find_leader(self) -> str:
        """Return the address of another replica that leads, or an empty string.

        A leader that was not heard from recently is left out: the entry may
        have just lost its connection to it.
        """
        raft_node = self._engine.node
        if not raft_node.leader or not election.may_leader_hold_lease(
            raft_node
        ):
            return ''
        member = raft_node.membership.find(raft_node.leader)
        is_other = member is not None and raft_node.leader != raft_node.identity
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
