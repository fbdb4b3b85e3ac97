"""The main loop of a replica: consensus, disk and state machine.

One round processes all queued inputs, writes and syncs to disk once, sends
messages, and applies committed entries within a time budget; the remaining
entries are applied in later rounds. Inputs that arrive during the sync are
processed in the next round.
"""

from __future__ import annotations

import dataclasses
import itertools
import secrets
from collections.abc import Callable

import anyio
import msgspec

from ..consensus import message, node, raft
from ..core import effect, event, outcome, snapshot, state
from ..storage import disk as storage
from ..telemetry import clock, journal, retry
from ..transport import decoding, wire
from . import proposal, snapshot_transfer, state_machine

TICK_INTERVAL_S = 0.03
# Below the heartbeat interval, so that a leader with a long backlog of
# committed entries keeps its leadership.
APPLY_BUDGET_MS = 40
# The cost of a snapshot grows with the number of tasks in it, so the number of
# log entries between two snapshots grows with it too.
TASKS_PER_SNAPSHOT_ENTRY = 4
_BOOT_BITS = 62
_RETAINED_ENTRIES = 1000
# While a snapshot is under way to another replica.
_MAX_RETAINED_ENTRIES = 20_000

_encoder = msgspec.msgpack.Encoder()


@dataclasses.dataclass(frozen=True, slots=True)
class Callbacks:
    """Functions that the engine calls to send messages and report progress.

    on_applied receives the effects of each applied event, on a leader only;
    on_changed is called when the role or the membership may have changed.
    """

    send: Callable[[message.ReplicaId, wire.PeerMessage], None]
    on_applied: Callable[[list[effect.Effect]], None]
    on_changed: Callable[[], None]


def _ignore(*_: object) -> None:
    """Do nothing; used until the callbacks are set."""


NO_CALLBACKS = Callbacks(_ignore, _ignore, _ignore)


class Engine:
    """Runs the consensus, storage and state machine of one replica."""

    def __init__(
        self,
        loaded: storage.LoadedState,
        disk: storage.Disk,
        timing: node.Timing,
        logger: journal.Journal,
        *,
        snapshot_entries: int,
    ) -> None:
        """Restore the state and the log from the data loaded from disk."""
        self.node = raft.create(
            loaded.identity.identity,
            loaded.log,
            timing,
            vote=loaded.vote,
            saved_commit_index=loaded.commit_index,
            now=clock.monotonic_ms(),
            boot_id=secrets.randbits(_BOOT_BITS) + 1,
        )
        count = self.node.applied_index - loaded.log.snapshot_index
        self._state_machine = state_machine.StateMachine(
            loaded.snapshot,
            loaded.log.slice(loaded.log.snapshot_index + 1, count),
        )
        self.callbacks = NO_CALLBACKS

        def send_part(
            receiver: message.ReplicaId, part: wire.PeerMessage
        ) -> None:
            # The callbacks are set later.
            self.callbacks.send(receiver, part)

        self.transfers = snapshot_transfer.Transfers(send_part, logger)
        self._disk = disk
        self._journal = logger
        self._snapshot_entries = snapshot_entries
        self._snapshot_index = loaded.log.snapshot_index
        self._inputs: list[node.Input] = []
        self._proposals = proposal.Proposals()
        self._wake = anyio.Event()
        self._is_dispatch_due = False
        self._clock = clock.SlewedClock()

    @property
    def tables(self) -> state.State:
        """The state after the last applied entry."""
        return self._state_machine.tables

    def time(self) -> int:
        """Return the timestamp for new events, in milliseconds since 1970."""
        return self._clock.read()

    def enqueue(self, new_input: node.Input) -> None:
        """Queue an input for the next round."""
        self._inputs.append(new_input)
        self._wake.set()

    def propose(
        self, new_event: event.Event, callback: proposal.OutcomeCallback
    ) -> None:
        """Queue an event for the log; callback is called with its outcome.

        An event that the log cannot hold is refused immediately.
        """
        try:
            encoded = state_machine.encode_event(new_event)
        except decoding.MalformedMessageError as error:
            kind = type(new_event).__name__
            self._journal.record('event refused', f'{kind}: {error}')
            reason = outcome.RefusalReason.INVALID_EVENT
            callback(outcome.NotRun(reason, str(error)))
            return
        self._proposals.add(encoded, callback)
        self._wake.set()

    async def propose_and_wait(
        self, new_event: event.Event
    ) -> outcome.Outcome | None:
        """Propose an event and return its outcome once it is committed.

        Returns None when this replica cannot tell whether it was committed.
        """
        done = anyio.Event()
        decided: list[outcome.Outcome | None] = []

        def store(event_outcome: outcome.Outcome | None) -> None:
            decided.append(event_outcome)
            done.set()

        self.propose(new_event, store)
        await done.wait()
        return decided[0]

    def request_dispatch(self) -> None:
        """Place waiting tasks in the next round."""
        self._is_dispatch_due = True
        self._wake.set()

    def is_serving(self) -> bool:
        """Return whether this replica may answer requests for the cell.

        True on a leader that holds its lease and has applied all entries of
        earlier terms.
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
        """Return the number of events waiting to be proposed."""
        return self._proposals.count_waiting()

    async def run(self) -> None:
        """Run rounds forever; a round waits while the disk refuses it."""
        while True:
            with anyio.move_on_after(TICK_INTERVAL_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            await self.run_round()

    async def run_round(self) -> None:
        """Process the queued inputs and carry out the resulting effects."""
        inputs = self._inputs
        self._inputs = []
        effects = raft.step(self.node, node.Tick(clock.monotonic_ms()))
        for new_input in inputs:
            effects.extend(raft.step(self.node, new_input))
        effects.extend(self._propose_waiting())
        await self._carry_out(effects)
        self._apply_committed()
        await self._take_snapshot()

    def _propose_waiting(self) -> list[node.Effect]:
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
        # The leader starts its term once all entries of earlier terms are
        # applied, and the events of that start must be the first of the term.
        return self.has_caught_up() and not self._state_machine.has_pending()

    async def _carry_out(self, effects: list[node.Effect]) -> None:
        for candidate in effects:
            if isinstance(candidate, node.Send) and not candidate.is_after_sync:
                self.callbacks.send(candidate.receiver, candidate.body)
        applied: list[node.Effect] = []
        if await self._save_all(effects):
            last = self.node.log.last_index()
            term = self.node.log.last_term()
            applied = raft.step(self.node, node.Synced(last, term))
        for node_effect in itertools.chain(effects, applied):
            self._execute(node_effect)

    async def _save_all(self, effects: list[node.Effect]) -> bool:
        """Write and sync the saves in order.

        Returns whether there were any after the last installed snapshot. The
        commit index is that of the snapshot, so it is not written before the
        snapshot is: the log on disk may end in entries that are not committed.
        """
        saves: list[node.SaveVote | node.SaveEntries] = []
        for node_effect in effects:
            if isinstance(node_effect, node.InstallSnapshot):
                await self._save(saves, 0)
                saves = []
                await self._install(node_effect.snapshot)
            elif isinstance(node_effect, node.SaveVote | node.SaveEntries):
                saves.append(node_effect)
        await self._save(saves, self.node.commit_index)
        return bool(saves)

    def _execute(self, node_effect: node.Effect) -> None:
        if isinstance(node_effect, node.Send):
            if node_effect.is_after_sync:
                self.callbacks.send(node_effect.receiver, node_effect.body)
        elif isinstance(node_effect, node.Apply):
            self._state_machine.enqueue(node_effect.entry)
        elif isinstance(node_effect, node.SendSnapshot):
            self._send_snapshot(node_effect)
        elif isinstance(node_effect, node.RoleChanged):
            role = node_effect.role.value
            self._journal.record('role', f'{role} in term {node_effect.term}')
            self._proposals.abandon_all()
            self.transfers.stop()
            self.callbacks.on_changed()

    def _send_snapshot(self, wanted: node.SendSnapshot) -> None:
        stored = self._disk.snapshot()
        if stored is None:
            return
        self.transfers.request(wanted, stored, clock.monotonic_ms())

    async def _save(
        self, saves: list[node.SaveVote | node.SaveEntries], committed: int
    ) -> None:
        if saves:
            # Until it succeeds this replica sends nothing that depends on it,
            # and a leader loses its lease.
            await retry.in_thread(
                self._journal, 'disk', self._disk.write, saves, committed
            )

    async def _install(self, received: message.Snapshot) -> None:
        await retry.in_thread(
            self._journal, 'disk', self._disk.install_snapshot, received
        )
        self._state_machine.install(received)
        self._snapshot_index = received.index
        self._journal.record('snapshot installed', str(received.index))
        self.callbacks.on_changed()

    def _apply_committed(self) -> None:
        deadline = clock.monotonic_ms() + APPLY_BUDGET_MS
        while self._state_machine.has_pending():
            self._process_applied(self._state_machine.apply_next())
            if clock.monotonic_ms() >= deadline:
                self._wake.set()
                return

    def _process_applied(self, applied: state_machine.AppliedEntry) -> None:
        """Report the outcomes of an applied entry and pass on its effects.

        Effects of entries of earlier terms are not passed on: a new leader
        derives the outstanding work from the state.
        """
        index = applied.entry.index
        self._proposals.resolve(index, applied.outcomes())
        is_leading = self.node.role is node.Role.LEADER
        starts_term = is_leading and index == self.node.term_start_index
        if starts_term:
            self._clock.advance(self.tables.time)
        if starts_term or applied.entry.kind is message.EntryKind.MEMBERSHIP:
            self.callbacks.on_changed()
        if is_leading and index > self.node.term_start_index:
            for effects in applied.effects:
                self.callbacks.on_applied(effects)

    async def _take_snapshot(self) -> None:
        applied = self._state_machine.applied_index
        task_threshold = len(self.tables.tasks) // TASKS_PER_SNAPSHOT_ENTRY
        threshold = max(self._snapshot_entries, task_threshold)
        if applied - self._snapshot_index < threshold:
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
        await retry.in_thread(
            self._journal, 'disk', self._disk.save_snapshot, taken
        )
        next_index = self.node.log.last_index() + 1
        await retry.in_thread(
            self._journal, 'disk', self._disk.rotate, next_index
        )
        oldest_needed = self.transfers.oldest_index(clock.monotonic_ms())
        compacted_index = find_compacted_index(applied, oldest_needed)
        raft.step(self.node, node.Compacted(compacted_index))


def find_compacted_index(applied: int, oldest_needed: int | None) -> int:
    """Return up to where the log may be deleted.

    A replica that receives the snapshot of index oldest_needed needs the
    entries that follow it.
    """
    compacted = max(applied - _RETAINED_ENTRIES, 0)
    if oldest_needed is None:
        return compacted
    return max(min(compacted, oldest_needed), applied - _MAX_RETAINED_ENTRIES)
