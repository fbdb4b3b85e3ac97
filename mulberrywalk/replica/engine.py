"""The loop of a replica: consensus, disk and the reducer in order.

One round takes all inputs that have arrived, writes and syncs once, sends,
and applies what became committed. Inputs that arrive while the disk syncs
make the next round.
"""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Callable

import anyio
import msgspec
from anyio.to_thread import run_sync

from ..consensus import message, node, raft
from ..core import effect, event, outcome, reducer, snapshot, state
from ..storage import disk as storage
from ..telemetry import clock, journal

TICK_S = 0.03
BATCH_EVENTS = 256
_TRAILING_ENTRIES = 1000

_events_decoder = msgspec.msgpack.Decoder(list[event.Event])
_encoder = msgspec.msgpack.Encoder()


# Told None when this replica cannot tell whether the event was committed.
Told = Callable[[outcome.Outcome | None], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """An event on its way through the log, and who is told its outcome."""

    occurred: event.Event
    told: Told


@dataclasses.dataclass(frozen=True, slots=True)
class Callbacks:
    """What the engine calls: to send, and about what it has applied.

    applied receives the effects of each event on a leader; changed is called
    when the role or the membership may have changed.
    """

    send: Callable[[message.ReplicaId, message.Message], None]
    applied: Callable[[list[effect.Effect]], None]
    changed: Callable[[], None]


class Engine:
    """Runs one replica over its disk."""

    def __init__(
        self,
        loaded: storage.Loaded,
        disk: storage.Disk,
        timing: node.Timing,
        lines: journal.Journal,
        *,
        snapshot_entries: int,
    ) -> None:
        """Restore state and log from what the disk holds."""
        self.tables = _restore(loaded)
        self.node = raft.create(
            loaded.identity.identity,
            loaded.log,
            timing,
            vote=loaded.vote,
            now=clock.monotonic_ms(),
        )
        self.callbacks: Callbacks | None = None
        self._disk = disk
        self._journal = lines
        self._snapshot_entries = snapshot_entries
        self._snapshot_index = loaded.log.snapshot_index
        self._inputs: list[node.Input] = []
        self._proposals: list[Proposal] = []
        self._pending: dict[int, list[Proposal]] = {}
        self._wake = anyio.Event()
        self._is_dispatch_due = False
        self._clock = clock.SlewedClock()

    def time(self) -> int:
        """Return the time for events, in milliseconds since 1970."""
        return self._clock.read()

    def enter(self, entered: node.Input) -> None:
        """Queue an input for the next round."""
        self._inputs.append(entered)
        self._wake.set()

    def propose(self, occurred: event.Event, told: Told) -> None:
        """Queue an event for the log; told is called with its outcome."""
        self._proposals.append(Proposal(occurred, told))
        self._wake.set()

    async def decide(self, occurred: event.Event) -> outcome.Outcome | None:
        """Return the outcome of an event once it is committed.

        None when this replica cannot tell whether it was.
        """
        done = anyio.Event()
        answers: list[outcome.Outcome | None] = []

        def take(told: outcome.Outcome | None) -> None:
            answers.append(told)
            done.set()

        self.propose(occurred, take)
        await done.wait()
        return answers[0]

    def request_dispatch(self) -> None:
        """Let waiting work be placed in the next round."""
        self._is_dispatch_due = True
        self._wake.set()

    def is_serving(self) -> bool:
        """Return whether this replica may answer for the whole cell.

        True on a leader whose lease holds and that has applied all entries
        of earlier terms.
        """
        return (
            node.holds_lease(self.node, clock.monotonic_ms())
            and self.node.applied_index >= self.node.term_started_index
        )

    def process(self) -> str:
        """Return the name of this process."""
        return self._journal.origin.process

    def backlog(self) -> int:
        """Return how many events wait for the log."""
        return len(self._proposals)

    async def run(self) -> None:
        """Run rounds for ever; raises StorageError when the disk fails."""
        while True:
            with anyio.move_on_after(TICK_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            await self._run_round()

    async def _run_round(self) -> None:
        inputs = self._inputs
        self._inputs = []
        effects = raft.step(self.node, node.Tick(clock.monotonic_ms()))
        for entered in inputs:
            effects.extend(raft.step(self.node, entered))
        effects.extend(self._propose_batch())
        await self._carry_out(effects)
        await self._take_snapshot()

    def _propose_batch(self) -> list[node.Effect]:
        if self.node.role is not node.Role.LEADER:
            self._give_up()
            return []
        if self.node.handover_to is not None:
            return []
        if not self._proposals and not self._is_dispatch_due:
            return []
        batch = self._proposals[:BATCH_EVENTS]
        self._proposals = self._proposals[BATCH_EVENTS:]
        if self._proposals:
            self._wake.set()
        self._is_dispatch_due = False
        events = [proposal.occurred for proposal in batch]
        events.append(event.TimePassed(self.time()))
        index = self.node.log.last_index() + 1
        self._pending[index] = batch
        return raft.step(self.node, node.Proposed((_encoder.encode(events),)))

    def _give_up(self) -> None:
        # What was proposed here may yet be committed by another leader.
        pending = itertools.chain.from_iterable(self._pending.values())
        abandoned = [*pending, *self._proposals]
        self._pending.clear()
        self._proposals.clear()
        for proposal in abandoned:
            proposal.told(None)

    async def _carry_out(self, effects: list[node.Effect]) -> None:
        for sent in effects:
            if isinstance(sent, node.Send) and not sent.is_after_sync:
                self._send(sent)
        applied: list[node.Effect] = []
        if await self._save_all(effects):
            last = self.node.log.last_index()
            term = self.node.log.last_term()
            applied = raft.step(self.node, node.Synced(last, term))
        for effected in itertools.chain(effects, applied):
            self._finish(effected)

    async def _save_all(self, effects: list[node.Effect]) -> bool:
        """Write and sync in order; return whether there was anything."""
        saves: list[node.SaveVote | node.SaveEntries] = []
        for effected in effects:
            if isinstance(effected, node.InstallSnapshot):
                await self._save(saves)
                saves = []
                await self._install(effected.snapshot)
            elif isinstance(effected, node.SaveVote | node.SaveEntries):
                saves.append(effected)
        await self._save(saves)
        return bool(saves)

    def _finish(self, effected: node.Effect) -> None:
        if isinstance(effected, node.Send):
            self._send_late(effected)
        elif isinstance(effected, node.Apply):
            self._apply(effected.entry)
        elif isinstance(effected, node.SendSnapshot):
            self._send_snapshot(effected)
        elif isinstance(effected, node.RoleChanged):
            role = effected.role.value
            self._journal.record('role', f'{role} in term {effected.term}')
            self._clock.advance(self.tables.time)
            self._give_up()
            self._changed()

    def _send_late(self, sent: node.Send) -> None:
        if sent.is_after_sync:
            self._send(sent)

    def _send(self, sent: node.Send) -> None:
        if self.callbacks is not None:
            self.callbacks.send(sent.receiver, sent.body)

    def _changed(self) -> None:
        if self.callbacks is not None:
            self.callbacks.changed()

    def _send_snapshot(self, wanted: node.SendSnapshot) -> None:
        held = self._disk.snapshot()
        if held is None or self.callbacks is None:
            return
        request = message.SnapshotRequest(wanted.term, held, wanted.sent_at)
        self.callbacks.send(wanted.receiver, request)

    async def _save(
        self, saves: list[node.SaveVote | node.SaveEntries]
    ) -> None:
        if saves:
            await run_sync(self._disk.write, saves)

    async def _install(self, received: message.Snapshot) -> None:
        await run_sync(self._disk.install_snapshot, received)
        self.tables = snapshot.decode(received.payload)
        self._snapshot_index = received.index
        self._journal.record('snapshot installed', str(received.index))
        self._changed()

    def _apply(self, entry: message.LogEntry) -> None:
        if entry.kind is message.EntryKind.MEMBERSHIP:
            self._changed()
        if entry.kind is not message.EntryKind.COMMAND:
            return
        waiting = self._pending.pop(entry.index, [])
        for position, occurred in enumerate(
            _events_decoder.decode(entry.payload)
        ):
            _, effects = reducer.reduce(self.tables, occurred)
            if position < len(waiting):
                waiting[position].told(_answer(effects))
            if self.node.role is node.Role.LEADER and self.callbacks:
                self.callbacks.applied(effects)

    async def _take_snapshot(self) -> None:
        applied = self.node.applied_index
        if applied - self._snapshot_index < self._snapshot_entries:
            return
        term = self.node.log.term_at(applied)
        if term is None:
            return
        taken = message.Snapshot(
            applied,
            term,
            self.node.log.membership_at(applied),
            snapshot.encode(self.tables),
        )
        self._snapshot_index = applied
        await run_sync(self._disk.save_snapshot, taken)
        await run_sync(self._disk.rotate, self.node.log.last_index() + 1)
        kept = max(applied - _TRAILING_ENTRIES, 0)
        raft.step(self.node, node.Compacted(kept))


def _restore(loaded: storage.Loaded) -> state.State:
    if loaded.snapshot is None:
        return state.State()
    return snapshot.decode(loaded.snapshot.payload)


def _answer(effects: list[effect.Effect]) -> outcome.Outcome:
    first = effects[0]
    if not isinstance(first, effect.Answer):
        raise TypeError('the first effect of an event is its answer')
    return first.outcome
