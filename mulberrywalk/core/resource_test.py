"""Tests of the arithmetic of resources."""

from . import resource

CAPACITY = resource.Resources(16_000, 32_000, 0, 8)


def test_shares_leave_out_resources_without_capacity():
    half = resource.Resources(8000, 16_000, 0, 4)
    assert resource.shares(half, CAPACITY) == [500_000, 500_000, 500_000]


def test_nothing_is_stranded_if_free_shares_are_equal():
    assert (
        resource.stranded(resource.Resources(4000, 8000, 0, 2), CAPACITY) == 0
    )


def test_stranded_sums_the_excess_over_the_scarcest_resource():
    no_slot = resource.Resources(8000, 8000, 0, 0)
    assert resource.stranded(no_slot, CAPACITY) == 750_000


def test_dominant_share_is_that_of_the_most_used_resource():
    used = resource.Resources(1600, 16_000, 0, 1)
    assert resource.dominant_share(used, CAPACITY) == 500_000
    assert resource.dominant_share(used, resource.NOTHING) == 0
