"""Index of the targets by what is free on them.

Derived from the records of the state and never stored. All orders are
functions of amounts and names, so that replicas that restored a snapshot
choose as those that applied every event.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterator

from sortedcontainers import SortedList

from . import identity, resource

_BLOCKED_LIMIT = 256
_NO_POOL = identity.Pool('')


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """One target as placement sees it.

    is_open tells that the target takes new work; is_probed that it may run
    one attempt only, as a trial after the quarantine that ended at
    probed_from; trials are the live ones. reserved_for names the gang that
    waits for this target to become free.
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
        """Return whether the target takes work that is not a gang's own."""
        is_probing = self.is_on_probation and bool(self.trials)
        return self.is_open and self.reserved_for is None and not is_probing

    def matches(self, pool: str, label: str) -> bool:
        """Return whether work of a pool and with a label may run here."""
        is_of_pool = not pool or self.pool == pool
        return is_of_pool and (not label or label in self.labels)


class Fleet:
    """All targets, ordered by free processor, with totals."""

    def __init__(self) -> None:
        """Start without targets."""
        self.loads: dict[identity.TargetId, TargetLoad] = {}
        self.total = resource.NOTHING
        self.capacities: collections.Counter[resource.Resources] = (
            collections.Counter()
        )
        self._ordered: SortedList = SortedList()
        self._centres: dict[identity.DataCentre, SortedList] = {}
        self._blocked: set[resource.Resources] = set()

    def add(self, load: TargetLoad) -> None:
        """Add a target; its capacity counts from now on."""
        self.loads[load.target] = load
        self.total = resource.add(self.total, load.capacity)
        self.capacities[load.capacity] += 1
        self._index(load)

    def remove(self, target: identity.TargetId) -> None:
        """Forget a target and its capacity."""
        load = self.loads.pop(target)
        self._drop(load)
        self.total = resource.subtract(self.total, load.capacity)
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
        """Change what is free on a target or whether it takes work."""
        self._drop(load)
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
        """Set a target aside for a gang, or give it back."""
        self._drop(load)
        load.reserved_for = job
        self._index(load)

    def least_free(self, demand: resource.Resources) -> Iterator[TargetLoad]:
        """Yield the open targets a demand fits on, least free first."""
        lowest = (demand.millicores, '')
        for _, target in self._ordered.irange(minimum=lowest):
            load = self.loads[target]
            if resource.fits(demand, load.free):
                yield load

    def most_free(self, demand: resource.Resources) -> Iterator[TargetLoad]:
        """Yield the open targets a demand fits on, most free first."""
        yield from self._descend(self._ordered, demand)

    def most_free_in(
        self, data_centre: identity.DataCentre, demand: resource.Resources
    ) -> Iterator[TargetLoad]:
        """Yield the fitting targets of a data centre, most free first."""
        ordered = self._centres.get(data_centre)
        if ordered:
            yield from self._descend(ordered, demand)

    def data_centres(self) -> list[identity.DataCentre]:
        """Return the data centres that have had an open target."""
        return sorted(self._centres)

    def is_unplaceable(self, demand: resource.Resources) -> bool:
        """Return whether the demand is known to fit on no open target."""
        return demand in self._blocked

    def mark_unplaceable(self, demand: resource.Resources) -> None:
        """Remember that a demand fits nowhere until a target frees some."""
        if len(self._blocked) >= _BLOCKED_LIMIT:
            self._blocked.clear()
        self._blocked.add(demand)

    def could_fit(self, demand: resource.Resources) -> bool:
        """Return whether a demand fits on some target that is empty.

        True while there are no targets at all, for they may yet come.
        """
        if not self.capacities:
            return True
        return any(
            resource.fits(demand, capacity) for capacity in self.capacities
        )

    def _descend(
        self, ordered: SortedList, demand: resource.Resources
    ) -> Iterator[TargetLoad]:
        lowest = (demand.millicores, '')
        for _, target in ordered.irange(minimum=lowest, reverse=True):
            load = self.loads[target]
            if resource.fits(demand, load.free):
                yield load

    def _index(self, load: TargetLoad) -> None:
        if not load.is_open or load.reserved_for is not None:
            return
        if load.free.slots <= 0 or (load.is_on_probation and load.trials):
            return
        key = (load.free.millicores, load.target)
        self._ordered.add(key)
        centre = self._centres.setdefault(load.data_centre, SortedList())
        centre.add(key)
        load.is_indexed = True
        if self._blocked:
            self._blocked = {
                demand
                for demand in self._blocked
                if not resource.fits(demand, load.free)
            }

    def _drop(self, load: TargetLoad) -> None:
        if not load.is_indexed:
            return
        key = (load.free.millicores, load.target)
        self._ordered.remove(key)
        self._centres[load.data_centre].remove(key)
        load.is_indexed = False
