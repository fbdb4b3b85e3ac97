"""Arithmetic of amounts."""

from . import resource

WHOLE = resource.Resources(16_000, 32_000, 0, 8)


def test_parts_leave_out_what_is_not_offered():
    half = resource.Resources(8000, 16_000, 0, 4)
    assert resource.shares(half, WHOLE) == [500_000, 500_000, 500_000]


def test_stranded_is_nothing_when_all_is_free_alike():
    assert resource.stranded(resource.Resources(4000, 8000, 0, 2), WHOLE) == 0


def test_stranded_counts_what_waits_behind_the_scarcest():
    no_slot = resource.Resources(8000, 8000, 0, 0)
    assert resource.stranded(no_slot, WHOLE) == 750_000


def test_dominant_share_is_that_of_the_most_used():
    used = resource.Resources(1600, 16_000, 0, 1)
    assert resource.dominant_share(used, WHOLE) == 500_000
    assert resource.dominant_share(used, resource.NOTHING) == 0
