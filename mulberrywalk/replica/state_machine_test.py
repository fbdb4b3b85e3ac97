"""Committed entries are applied once, in order, on top of a snapshot."""

import msgspec

from ..consensus import message
from ..core import event, outcome, snapshot, state
from . import state_machine


def entry(index, *times):
    payload = msgspec.msgpack.encode(list(map(event.TimePassed, times)))
    return message.LogEntry(index, 1, message.EntryKind.COMMAND, payload)


def test_entries_are_applied_one_by_one():
    replicated = state_machine.StateMachine(
        None, [entry(1, 10), entry(2, 20, 30)]
    )
    replicated.apply_next()
    assert (replicated.applied_index, replicated.tables.time) == (1, 10)
    assert replicated.has_pending()
    last = replicated.apply_next()
    assert last.outcomes() == [outcome.Recorded(), outcome.Recorded()]
    assert (replicated.applied_index, replicated.tables.time) == (2, 30)
    assert not replicated.has_pending()


def test_entries_included_in_a_snapshot_are_skipped():
    replicated = state_machine.StateMachine(None, [entry(1, 10), entry(2, 20)])
    payload = snapshot.encode(state.State(time=99))
    received = message.Snapshot(2, 1, message.Membership(()), payload)
    replicated.enqueue(entry(3, 100))
    replicated.install(received)
    assert replicated.tables.time == 99
    assert replicated.apply_next().entry.index == 3
    assert not replicated.has_pending()
