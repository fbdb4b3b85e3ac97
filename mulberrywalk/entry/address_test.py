"""An entry turns to the replicas that answer."""

from . import address


def test_replicas_are_dialled_in_turn():
    known = address.ReplicaAddresses(('a:1', 'b:1'))
    assert [known.next(0) for _ in range(3)] == ['a:1', 'b:1', 'a:1']


def test_a_replica_that_failed_is_left_out_for_a_while():
    known = address.ReplicaAddresses(('a:1', 'b:1', 'c:1'))
    known.mark_failed('a:1', 100)
    assert [known.next(200) for _ in range(4)] == ['b:1', 'c:1', 'b:1', 'c:1']
    later = 100 + address.FAILURE_BACKOFF_MS
    assert known.next(later) == 'a:1'


def test_replicas_that_all_failed_are_dialled_all_the_same():
    known = address.ReplicaAddresses(('a:1', 'b:1'))
    known.mark_failed('a:1', 100)
    known.mark_failed('b:1', 100)
    assert {known.next(200), known.next(200)} == {'a:1', 'b:1'}


def test_new_members_replace_and_new_seeds_come_first():
    known = address.ReplicaAddresses(('a:1',))
    known.replace(('b:1', 'c:1'))
    known.replace(())
    known.add(('c:1', 'd:1'))
    assert known.all() == ['d:1', 'b:1', 'c:1']
