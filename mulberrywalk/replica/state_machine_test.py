"""Committed entries are applied in order, once, and not under a snapshot."""

import msgspec

from ..consensus import message
from ..core import event, outcome, snapshot, state
from . import state_machine


def entry(index, *times):
    payload = msgspec.msgpack.encode(list(map(event.TimePassed, times)))
    return message.LogEntry(index, 1, message.EntryKind.COMMAND, payload)


def test_entries_are_applied_one_by_one():
    applying = state_machine.StateMachine(
        None, [entry(1, 10), entry(2, 20, 30)]
    )
    applying.apply_next()
    assert (applying.applied_index, applying.tables.time) == (1, 10)
    assert applying.has_pending()
    last = applying.apply_next()
    assert last.outcomes() == [outcome.Recorded(), outcome.Recorded()]
    assert (applying.applied_index, applying.tables.time) == (2, 30)
    assert not applying.has_pending()


def test_entries_under_a_snapshot_are_passed_over():
    applying = state_machine.StateMachine(None, [entry(1, 10), entry(2, 20)])
    payload = snapshot.encode(state.State(time=99))
    received = message.Snapshot(2, 1, message.Membership(()), payload)
    applying.enqueue(entry(3, 100))
    applying.install(received)
    assert applying.tables.time == 99
    assert applying.apply_next().entry.index == 3
    assert not applying.has_pending()
