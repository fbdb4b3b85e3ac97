"""Arithmetic of the resources that targets offer and tasks need."""

from __future__ import annotations

import msgspec

PARTS_PER_MILLION = 1_000_000


class Resources(msgspec.Struct, frozen=True, order=True, gc=False):
    """Processor in thousandths, memory in bytes, accelerators, slots."""

    millicores: int = 0
    memory_bytes: int = 0
    accelerators: int = 0
    slots: int = 0


NOTHING = Resources()


def add(left: Resources, right: Resources) -> Resources:
    """Return the sum of two amounts."""
    return Resources(
        left.millicores + right.millicores,
        left.memory_bytes + right.memory_bytes,
        left.accelerators + right.accelerators,
        left.slots + right.slots,
    )


def count_fitting(demand: Resources, free: Resources, limit: int) -> int:
    """Return how many times a demand fits; limit if the demand is empty."""
    counts = [
        available // needed
        for available, needed in (
            (free.millicores, demand.millicores),
            (free.memory_bytes, demand.memory_bytes),
            (free.accelerators, demand.accelerators),
            (free.slots, demand.slots),
        )
        if needed
    ]
    return min(counts, default=limit)


def subtract(left: Resources, right: Resources) -> Resources:
    """Return the difference of two amounts; it may be negative."""
    return Resources(
        left.millicores - right.millicores,
        left.memory_bytes - right.memory_bytes,
        left.accelerators - right.accelerators,
        left.slots - right.slots,
    )


def multiply(amount: Resources, times: int) -> Resources:
    """Return a multiple of an amount."""
    return Resources(
        amount.millicores * times,
        amount.memory_bytes * times,
        amount.accelerators * times,
        amount.slots * times,
    )


def fits(demand: Resources, free: Resources) -> bool:
    """Return whether a demand is within what is free in every resource."""
    return (
        demand.slots <= free.slots
        and demand.millicores <= free.millicores
        and demand.memory_bytes <= free.memory_bytes
        and demand.accelerators <= free.accelerators
    )


def list_insufficient(demand: Resources, free: Resources) -> list[str]:
    """Return the names of the resources of which the demand exceeds free."""
    return [
        name
        for name in demand.__struct_fields__
        if getattr(demand, name) > getattr(free, name)
    ]


def elementwise_max(left: Resources, right: Resources) -> Resources:
    """Return the larger of two amounts for each resource."""
    return Resources(
        max(left.millicores, right.millicores),
        max(left.memory_bytes, right.memory_bytes),
        max(left.accelerators, right.accelerators),
        max(left.slots, right.slots),
    )


def elementwise_min(left: Resources, right: Resources) -> Resources:
    """Return the smaller of two amounts for each resource."""
    return Resources(
        min(left.millicores, right.millicores),
        min(left.memory_bytes, right.memory_bytes),
        min(left.accelerators, right.accelerators),
        min(left.slots, right.slots),
    )


def shares(amount: Resources, whole: Resources) -> list[int]:
    """Return amount as a share of whole per resource, in parts per million.

    Resources of which whole has none are left out.
    """
    pairs = (
        (amount.millicores, whole.millicores),
        (amount.memory_bytes, whole.memory_bytes),
        (amount.accelerators, whole.accelerators),
        (amount.slots, whole.slots),
    )
    return [part * PARTS_PER_MILLION // total for part, total in pairs if total]


def stranded(free: Resources, capacity: Resources) -> int:
    """Return how much free capacity the scarcest free resource strands.

    It is the sum over the resources of how far the free share of each exceeds
    the smallest one, in parts per million of the capacity.
    """
    free_shares = shares(free, capacity)
    return sum(free_shares) - len(free_shares) * min(free_shares)


def dominant_share(used: Resources, capacity: Resources) -> int:
    """Return the largest used share of any resource, in parts per million."""
    # Unrolled for speed: each turn of a queue computes several shares.
    return max(
        _share(used.millicores, capacity.millicores),
        _share(used.memory_bytes, capacity.memory_bytes),
        _share(used.accelerators, capacity.accelerators),
        _share(used.slots, capacity.slots),
    )


def _share(used: int, whole: int) -> int:
    return used * PARTS_PER_MILLION // whole if whole > 0 else 0
