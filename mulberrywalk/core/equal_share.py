"""A bound on a number of things, shared equally by their owners."""

from __future__ import annotations

import collections
from typing import TypeVar

Owner = TypeVar('Owner', bound=str | None)


def admits(
    counts: collections.Counter[Owner], owner: Owner, bound: int
) -> bool:
    """Return whether an owner may have one more.

    counts holds what each owner has. Below the bound every owner is admitted.
    At the bound an owner is admitted up to its equal share among those that
    have any, and always with one, so that one owner cannot shut out another.
    The total then exceeds the bound by no more than these shares.
    """
    if counts.total() < bound:
        return True
    count = counts.get(owner, 0)
    if count == 0:
        return True
    return (count + 1) * len(counts) <= bound
