"""Tests for the order in which an entry dials the replicas."""

from . import address


def test_replicas_are_dialled_in_turn():
    addresses = address.ReplicaAddresses(('a:1', 'b:1'))
    assert [addresses.next(0) for _ in range(3)] == ['a:1', 'b:1', 'a:1']


def test_failed_replica_is_dialled_last_until_the_backoff_ends():
    addresses = address.ReplicaAddresses(('a:1', 'b:1', 'c:1'))
    addresses.mark_failed('a:1', 100)
    assert [addresses.next(200) for _ in range(4)] == [
        'b:1',
        'c:1',
        'b:1',
        'c:1',
    ]
    later = 100 + address.FAILURE_BACKOFF_MS
    assert addresses.next(later) == 'a:1'


def test_replicas_are_dialled_in_turn_when_all_have_failed():
    addresses = address.ReplicaAddresses(('a:1', 'b:1'))
    addresses.mark_failed('a:1', 100)
    addresses.mark_failed('b:1', 100)
    assert {addresses.next(200), addresses.next(200)} == {'a:1', 'b:1'}


def test_members_replace_addresses_and_added_ones_come_first():
    addresses = address.ReplicaAddresses(('a:1',))
    addresses.replace(('b:1', 'c:1'))
    addresses.replace(())
    addresses.add(('c:1', 'd:1'))
    assert addresses.all() == ['d:1', 'b:1', 'c:1']
