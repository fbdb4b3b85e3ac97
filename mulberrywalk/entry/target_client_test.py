"""Tests for lease expiry on a target's clock, which may run slow."""

from . import target_client


def lease(sampled_at, granted_from):
    granted = target_client.Lease(duration_ms=8000)
    granted.sample_clock(clock_ms=5000, received_at=sampled_at)
    granted.granted_from = granted_from
    return granted


def test_lease_expires_two_percent_early_for_a_slow_clock():
    assert lease(sampled_at=1000, granted_from=900).expires_at() == 5000 + 7742


def test_expired_lease_has_no_remaining_time():
    granted = lease(sampled_at=9000, granted_from=900)
    assert granted.expires_at() == 5000
    assert granted.remaining_ms(9000) == 0


def test_expiry_is_unknown_without_a_clock_sample_or_a_grant():
    assert target_client.Lease(duration_ms=8000).expires_at() is None
    assert lease(sampled_at=1000, granted_from=None).expires_at() is None
