"""The end of a lease by a target's own clock, which may be slow."""

from . import calling


def lease(sampled_at, granted_from):
    granted = calling.Lease(length_ms=8000)
    granted.learn(clock_ms=5000, received_at=sampled_at)
    granted.granted_from = granted_from
    return granted


def test_lease_keeps_two_percent_for_a_slow_clock():
    assert lease(sampled_at=1000, granted_from=900).until() == 5000 + 7742


def test_lease_that_has_run_out_grants_nothing():
    granted = lease(sampled_at=9000, granted_from=900)
    assert granted.until() == 5000
    assert granted.left_ms(9000) == 0


def test_lease_is_unknown_without_a_reading_or_a_grant():
    assert calling.Lease(length_ms=8000).until() is None
    assert lease(sampled_at=1000, granted_from=None).until() is None
