"""The membership at an index follows from the entries that the log holds."""

import collections

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from . import log, message


def membership(number):
    member = message.Member(message.ReplicaId(f'r{number}'), 'a:1', 'dc', True)
    return message.Membership((member,))


def entry(index, *, is_change):
    if not is_change:
        return message.LogEntry(index, 1, message.EntryKind.COMMAND, b'')
    payload = msgspec.msgpack.encode(membership(index))
    return message.LogEntry(index, 1, message.EntryKind.MEMBERSHIP, payload)


def find_by_scan(replica_log, index):
    """Return the membership at an index from all entries up to it."""
    changes = [
        one
        for one in replica_log.entries
        if one.index <= index and one.kind is message.EntryKind.MEMBERSHIP
    ]
    if not changes:
        return replica_log.snapshot_membership
    return msgspec.msgpack.decode(changes[-1].payload, type=message.Membership)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(('append', 'change', 'truncate', 'compact')),
        st.integers(0, 30),
    ),
    max_size=60,
)


@given(STEPS)
def test_membership_follows_appends_truncations_and_compactions(steps):
    replica_log = log.Log(0, 0, membership(0))
    for action, number in steps:
        first, last = replica_log.snapshot_index, replica_log.last_index()
        chosen = min(first + number, last)
        if action == 'truncate':
            replica_log.truncate(chosen + 1)
        elif action == 'compact':
            replica_log.compact(chosen, find_by_scan(replica_log, chosen))
        else:
            replica_log.append(entry(last + 1, is_change=action == 'change'))
        held = range(replica_log.snapshot_index, replica_log.last_index() + 1)
        assert [replica_log.membership_at(index) for index in held] == [
            find_by_scan(replica_log, index) for index in held
        ]


class CountingList(collections.UserList):
    """Counts the entries that are read."""

    def __init__(self, initial=()):
        super().__init__(initial)
        self.reads = 0

    def __getitem__(self, position):
        """Return an entry or a slice."""
        found = super().__getitem__(position)
        self.reads += len(found) if isinstance(position, slice) else 1
        return found


@pytest.mark.parametrize('length', [10, 3000])
def test_membership_of_a_long_log_is_found_without_reading_it(length):
    replica_log = log.Log(0, 0, membership(0), CountingList())
    for index in range(1, length):
        replica_log.append(entry(index, is_change=False))
    assert replica_log.membership_at(length - 1) == membership(0)
    assert replica_log.entries.reads < 10
