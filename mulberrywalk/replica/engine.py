"""The loop of a replica: consensus, disk and the reducer in order.

One round takes all inputs that have arrived, writes and syncs once, sends,
and applies what became committed, for a limited time: what is left then
follows in the next rounds. Inputs that arrive while the disk syncs make the
next round.
"""

from __future__ import annotations

import dataclasses
import itertools
import secrets
from collections.abc import Callable

import anyio
import msgspec
from anyio.to_thread import run_sync

from ..consensus import message, node, raft
from ..core import effect, event, outcome, snapshot, state
from ..storage import disk as storage
from ..telemetry import clock, journal
from ..transport import reading
from . import proposal, state_machine

TICK_INTERVAL_S = 0.03
# Less than a heartbeat, so that a leader with much to apply stays one.
APPLY_BUDGET_MS = 40
# A snapshot costs by the tasks that it holds: the more, the rarer.
TASKS_PER_ENTRY = 4
_BOOT_BITS = 62
_TRAILING_ENTRIES = 1000

_encoder = msgspec.msgpack.Encoder()


@dataclasses.dataclass(frozen=True, slots=True)
class Callbacks:
    """What the engine calls: to send, and about what it has applied.

    applied receives the effects of each event on a leader; changed is called
    when the role or the membership may have changed.
    """

    send: Callable[[message.ReplicaId, message.Message], None]
    on_applied: Callable[[list[effect.Effect]], None]
    on_changed: Callable[[], None]


def _ignore(*_: object) -> None:
    """Do nothing, before the engine is composed."""


NO_CALLBACKS = Callbacks(_ignore, _ignore, _ignore)


class Engine:
    """Runs one replica over its disk."""

    def __init__(
        self,
        loaded: storage.LoadedState,
        disk: storage.Disk,
        timing: node.Timing,
        lines: journal.Journal,
        *,
        snapshot_entries: int,
    ) -> None:
        """Restore state and log from what the disk holds."""
        self.node = raft.create(
            loaded.identity.identity,
            loaded.log,
            timing,
            vote=loaded.vote,
            saved_commit_index=loaded.commit_index,
            now=clock.monotonic_ms(),
            boot_id=secrets.randbits(_BOOT_BITS) + 1,
        )
        known = self.node.applied_index - loaded.log.snapshot_index
        self._state_machine = state_machine.StateMachine(
            loaded.snapshot,
            loaded.log.slice(loaded.log.snapshot_index + 1, known),
        )
        self.callbacks = NO_CALLBACKS
        self._disk = disk
        self._journal = lines
        self._snapshot_entries = snapshot_entries
        self._snapshot_index = loaded.log.snapshot_index
        self._inputs: list[node.Input] = []
        self._proposals = proposal.Proposals()
        self._wake = anyio.Event()
        self._is_dispatch_due = False
        self._clock = clock.SlewedClock()

    @property
    def tables(self) -> state.State:
        """The state as far as it was applied."""
        return self._state_machine.tables

    def time(self) -> int:
        """Return the time for events, in milliseconds since 1970."""
        return self._clock.read()

    def enqueue(self, entered: node.Input) -> None:
        """Queue an input for the next round."""
        self._inputs.append(entered)
        self._wake.set()

    def propose(
        self, occurred: event.Event, told: proposal.OutcomeCallback
    ) -> None:
        """Queue an event for the log; told is called with its outcome.

        One that the log cannot hold is refused at once.
        """
        try:
            written = state_machine.encode_event(occurred)
        except reading.UnreadableError as error:
            kind = type(occurred).__name__
            self._journal.record('event refused', f'{kind}: {error}')
            reason = outcome.RefusalReason.INVALID_EVENT
            told(outcome.NotRun(reason, str(error)))
            return
        self._proposals.add(written, told)
        self._wake.set()

    async def propose_and_wait(
        self, occurred: event.Event
    ) -> outcome.Outcome | None:
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
        return self.has_caught_up() and node.holds_lease(
            self.node, clock.monotonic_ms()
        )

    def has_caught_up(self) -> bool:
        """Return whether all entries of earlier terms are applied."""
        return self._state_machine.applied_index >= self.node.term_start_index

    def process_name(self) -> str:
        """Return the name of this process."""
        return self._journal.origin.process

    def backlog(self) -> int:
        """Return how many events wait for the log."""
        return self._proposals.count_waiting()

    async def run(self) -> None:
        """Run rounds for ever; raises StorageError when the disk fails."""
        while True:
            with anyio.move_on_after(TICK_INTERVAL_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            await self.run_round()

    async def run_round(self) -> None:
        """Take what has arrived, and carry out what follows from it."""
        inputs = self._inputs
        self._inputs = []
        effects = raft.step(self.node, node.Tick(clock.monotonic_ms()))
        for entered in inputs:
            effects.extend(raft.step(self.node, entered))
        effects.extend(self._propose_batch())
        await self._carry_out(effects)
        self._apply_committed()
        await self._take_snapshot()

    def _propose_batch(self) -> list[node.Effect]:
        if self.node.role is not node.Role.LEADER:
            self._proposals.abandon_all()
            return []
        if self.node.handover_to is not None or not self._may_propose():
            return []
        if not self.backlog() and not self._is_dispatch_due:
            return []
        self._is_dispatch_due = False
        events = self._proposals.take_batch(self.node.log.last_index() + 1)
        events.append(state_machine.encode_event(event.TimePassed(self.time())))
        if self.backlog():
            self._wake.set()
        return raft.step(self.node, node.Proposed((_encoder.encode(events),)))

    def _may_propose(self) -> bool:
        # The first events of a term are those of a leader that has begun.
        return self.has_caught_up() and not self._state_machine.has_pending()

    async def _carry_out(self, effects: list[node.Effect]) -> None:
        for sent in effects:
            if isinstance(sent, node.Send) and not sent.is_after_sync:
                self.callbacks.send(sent.receiver, sent.body)
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
            if effected.is_after_sync:
                self.callbacks.send(effected.receiver, effected.body)
        elif isinstance(effected, node.Apply):
            self._state_machine.enqueue(effected.entry)
        elif isinstance(effected, node.SendSnapshot):
            self._send_snapshot(effected)
        elif isinstance(effected, node.RoleChanged):
            role = effected.role.value
            self._journal.record('role', f'{role} in term {effected.term}')
            self._proposals.abandon_all()
            self.callbacks.on_changed()

    def _send_snapshot(self, wanted: node.SendSnapshot) -> None:
        held = self._disk.snapshot()
        if held is None:
            return
        request = message.SnapshotRequest(wanted.term, held, wanted.sent_at)
        self.callbacks.send(wanted.receiver, request)

    async def _save(
        self, saves: list[node.SaveVote | node.SaveEntries]
    ) -> None:
        if saves:
            committed = self.node.commit_index
            await run_sync(self._disk.write, saves, committed)

    async def _install(self, received: message.Snapshot) -> None:
        await run_sync(self._disk.install_snapshot, received)
        self._state_machine.install(received)
        self._snapshot_index = received.index
        self._journal.record('snapshot installed', str(received.index))
        self.callbacks.on_changed()

    def _apply_committed(self) -> None:
        until = clock.monotonic_ms() + APPLY_BUDGET_MS
        while self._state_machine.has_pending():
            self._finish_entry(self._state_machine.apply_next())
            if clock.monotonic_ms() >= until:
                self._wake.set()
                return

    def _finish_entry(self, applied: state_machine.AppliedEntry) -> None:
        """Tell the outcomes of an entry, and carry out its effects.

        Entries of earlier terms have no effects here: whoever begins to lead
        derives what is left to do from the state.
        """
        index = applied.entry.index
        self._proposals.resolve(index, applied.outcomes())
        is_leading = self.node.role is node.Role.LEADER
        begins = is_leading and index == self.node.term_start_index
        if begins:
            self._clock.advance(self.tables.time)
        if begins or applied.entry.kind is message.EntryKind.MEMBERSHIP:
            self.callbacks.on_changed()
        if is_leading and index > self.node.term_start_index:
            for effects in applied.effects:
                self.callbacks.on_applied(effects)

    async def _take_snapshot(self) -> None:
        applied = self._state_machine.applied_index
        grown = len(self.tables.tasks) // TASKS_PER_ENTRY
        least = max(self._snapshot_entries, grown)
        if applied - self._snapshot_index < least:
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
