"""Index of the targets by their free capacity.

Derived from the records of the state and never stored. Every order depends
only on amounts and names, so that a replica that restored a snapshot makes
the same choices as one that applied every event.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterator

from sortedcontainers import SortedList, SortedSet

from . import identity, resource

_MAX_UNPLACEABLE = 256
_NO_POOL = identity.Pool('')


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """A target with the attributes that placement depends on.

    is_open: whether the target accepts new work. is_on_probation: whether it
    may run one attempt only, as a trial after the quarantine that ended at
    probation_started_at. trials: the live trial attempts. reserved_for: the
    gang that waits for this target to become free. is_indexed: whether the
    target is in the orders of the fleet.
    """

    target: identity.TargetId
    data_centre: identity.DataCentre
    rack: identity.Rack
    capacity: resource.Resources
    free: resource.Resources
    attempts: set[identity.AttemptId] = dataclasses.field(default_factory=set)
    is_open: bool = False
    is_on_probation: bool = False
    reserved_for: identity.JobId | None = None
    is_indexed: bool = False
    pool: identity.Pool = _NO_POOL
    labels: frozenset[str] = frozenset()
    probation_started_at: int = 0
    trials: set[identity.AttemptId] = dataclasses.field(default_factory=set)

    def is_available(self) -> bool:
        """Return whether the target accepts work without a reservation."""
        is_trial_running = self.is_on_probation and bool(self.trials)
        return (
            self.is_open and self.reserved_for is None and not is_trial_running
        )

    def matches(self, pool: str, label: str) -> bool:
        """Return whether work that requires a pool and a label may run here.

        An empty pool or label is not required.
        """
        is_in_pool = not pool or self.pool == pool
        return is_in_pool and (not label or label in self.labels)


class Fleet:
    """All targets, ordered by free processor capacity, with totals."""

    def __init__(self) -> None:
        """Create a fleet without targets."""
        self.loads: dict[identity.TargetId, TargetLoad] = {}
        self.total = resource.NOTHING
        self.capacities: collections.Counter[resource.Resources] = (
            collections.Counter()
        )
        self._ordered: SortedList = SortedList()
        self._by_data_centre: dict[identity.DataCentre, SortedList] = {}
        self._unplaceable: set[resource.Resources] = set()
        self._by_rack: dict[str, SortedSet] = {}
        # When each target last changed other than to have less free, as a
        # count of such changes, the latest last.
        self._changed: dict[identity.TargetId, int] = {}
        self.changes = 0

    def add(self, load: TargetLoad) -> None:
        """Add a target and its capacity."""
        self.loads[load.target] = load
        self.total = resource.add(self.total, load.capacity)
        self.capacities[load.capacity] += 1
        self._by_rack.setdefault(load.rack, SortedSet()).add(load.target)
        self._index(load)
        self._note_change(load)

    def remove(self, target: identity.TargetId) -> None:
        """Remove a target and its capacity."""
        load = self.loads.pop(target)
        self._changed.pop(target, None)
        self._unindex(load)
        self.total = resource.subtract(self.total, load.capacity)
        self._by_rack[load.rack].remove(load.target)
        if not self._by_rack[load.rack]:
            self._by_rack.pop(load.rack)
        self.capacities[load.capacity] -= 1
        if not self.capacities[load.capacity]:
            self.capacities.pop(load.capacity)

    def update(
        self,
        load: TargetLoad,
        *,
        free: resource.Resources | None = None,
        is_open: bool | None = None,
        is_on_probation: bool | None = None,
        probation_started_at: int | None = None,
        trials: set[identity.AttemptId] | None = None,
    ) -> None:
        """Update the free capacity of a target or whether it accepts work.

        Arguments that are None leave the value as it is.
        """
        self._unindex(load)
        if free is None or not resource.fits(free, load.free):
            self._note_change(load)
        if free is not None:
            load.free = free
        if is_open is not None:
            load.is_open = is_open
        if is_on_probation is not None:
            load.is_on_probation = is_on_probation
        if probation_started_at is not None:
            load.probation_started_at = probation_started_at
        if trials is not None:
            load.trials = trials
        self._index(load)

    def reserve(self, load: TargetLoad, job: identity.JobId | None) -> None:
        """Reserve a target for a gang; None cancels the reservation."""
        self._unindex(load)
        load.reserved_for = job
        self._index(load)
        self._note_change(load)

    def least_free(self, demand: resource.Resources) -> Iterator[TargetLoad]:
        """Yield the open targets that a demand fits on, least free first."""
        lowest = (demand.millicores, '')
        for _, target in self._ordered.irange(minimum=lowest):
            load = self.loads[target]
            if resource.fits(demand, load.free):
                yield load

    def most_free(self, demand: resource.Resources) -> Iterator[TargetLoad]:
        """Yield the open targets that a demand fits on, most free first."""
        yield from self._iter_descending(self._ordered, demand)

    def most_free_in(
        self, data_centre: identity.DataCentre, demand: resource.Resources
    ) -> Iterator[TargetLoad]:
        """Yield the fitting targets of a data centre, most free first."""
        ordered = self._by_data_centre.get(data_centre)
        if ordered:
            yield from self._iter_descending(ordered, demand)

    def in_rack(self, rack: str) -> list[TargetLoad]:
        """Return the targets of a rack by name, closed ones included."""
        return [self.loads[name] for name in self._by_rack.get(rack, ())]

    def data_centres(self) -> list[identity.DataCentre]:
        """Return the data centres that have had an open target."""
        return sorted(self._by_data_centre)

    def is_unplaceable(self, demand: resource.Resources) -> bool:
        """Return whether the demand is known to fit on no open target."""
        return demand in self._unplaceable

    def mark_unplaceable(self, demand: resource.Resources) -> None:
        """Record that a demand fits nowhere until a target frees capacity."""
        if len(self._unplaceable) >= _MAX_UNPLACEABLE:
            self._unplaceable.clear()
        self._unplaceable.add(demand)

    def changed_since(self, count: int) -> Iterator[TargetLoad]:
        """Yield the targets that may hold more than after so many changes.

        On every other target, what does not fit now did not fit then.
        """
        for name in reversed(self._changed):
            if self._changed[name] <= count:
                return
            yield self.loads[name]

    def could_fit(self, demand: resource.Resources) -> bool:
        """Return whether a demand fits on some target when it is empty.

        True while there are no targets at all, because they may still join.
        """
        if not self.capacities:
            return True
        return any(
            resource.fits(demand, capacity) for capacity in self.capacities
        )

    def _iter_descending(
        self, ordered: SortedList, demand: resource.Resources
    ) -> Iterator[TargetLoad]:
        lowest = (demand.millicores, '')
        for _, target in ordered.irange(minimum=lowest, reverse=True):
            load = self.loads[target]
            if resource.fits(demand, load.free):
                yield load

    def _note_change(self, load: TargetLoad) -> None:
        self.changes += 1
        self._changed.pop(load.target, None)
        self._changed[load.target] = self.changes

    def _index(self, load: TargetLoad) -> None:
        if not load.is_open or load.reserved_for is not None:
            return
        if load.free.slots <= 0 or (load.is_on_probation and load.trials):
            return
        key = (load.free.millicores, load.target)
        self._ordered.add(key)
        in_centre = self._by_data_centre.setdefault(
            load.data_centre, SortedList()
        )
        in_centre.add(key)
        load.is_indexed = True
        if self._unplaceable:
            self._unplaceable = {
                demand
                for demand in self._unplaceable
                if not resource.fits(demand, load.free)
            }

    def _unindex(self, load: TargetLoad) -> None:
        if not load.is_indexed:
            return
        key = (load.free.millicores, load.target)
        self._ordered.remove(key)
        self._by_data_centre[load.data_centre].remove(key)
        load.is_indexed = False
