"""The end of a lease by a target's own clock, which may be slow."""

from . import target_client


def lease(sampled_at, granted_from):
    granted = target_client.Lease(duration_ms=8000)
    granted.sample_clock(clock_ms=5000, received_at=sampled_at)
    granted.granted_from = granted_from
    return granted


def test_lease_keeps_two_percent_for_a_slow_clock():
    assert lease(sampled_at=1000, granted_from=900).expires_at() == 5000 + 7742


def test_lease_that_has_run_out_grants_nothing():
    granted = lease(sampled_at=9000, granted_from=900)
    assert granted.expires_at() == 5000
    assert granted.remaining_ms(9000) == 0


def test_lease_is_unknown_without_a_reading_or_a_grant():
    assert target_client.Lease(duration_ms=8000).expires_at() is None
    assert lease(sampled_at=1000, granted_from=None).expires_at() is None
