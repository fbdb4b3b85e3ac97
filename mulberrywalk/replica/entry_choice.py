"""The choice of an entry for a target, by distance and number of targets."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping

from ..transport import region
from . import link

# An entry is overloaded above 1.5 times the even share plus this many targets.
_SHARE_TOLERANCE = 2
# A target returns only to an entry that has been linked for this long, so that
# an entry whose link breaks repeatedly gathers no targets.
_SETTLING_MS = 5000


class EntryChoice:
    """Ranks the linked entries for a target.

    Times are milliseconds of this process's monotonic clock.
    """

    def __init__(self, links: link.Links, regions: region.Regions) -> None:
        """Start without targets or entries to avoid."""
        self.regions = regions
        # Entries with a high processor load.
        self.loaded: frozenset[str] = frozenset()
        self._links = links
        # Entries that failed to reach a target, and until when to avoid them.
        self._avoided_until: dict[str, int] = {}
        self._linked_since: dict[str, int] = {}
        # The number of assigned targets by the region of their entry, or by
        # their own while their entry is not linked.
        self._targets: collections.Counter[region.RegionName] = (
            collections.Counter()
        )

    def available(self) -> list[link.Link]:
        """Return the linked entries that are not stopping."""
        return [
            entry
            for entry in self._links.open.values()
            if not entry.is_stopping
        ]

    def avoid(self, entry: str, until: int) -> None:
        """Avoid an entry that did not reach a target."""
        self._avoided_until[entry] = until

    def update(
        self, counts: Mapping[str, int], unlinked: Iterable[str], now: int
    ) -> None:
        """Set where all assigned targets are polled; called each round.

        unlinked lists the data centres of the targets whose entry has no link.
        """
        self._targets = collections.Counter(
            map(self.regions.region_of, unlinked)
        )
        for entry in self._links.open.values():
            home = self.regions.region_of(entry.data_centre)
            self._targets[home] += counts.get(entry.process, 0)
        self._linked_since = {
            linked: self._linked_since.get(linked, now)
            for linked in self._links.open
        }

    def count_move(self, before: str | None, after: str) -> None:
        """Count a target whose polls moved to another data centre.

        before is None for a target that is newly assigned.
        """
        if before is not None:
            self._targets[self.regions.region_of(before)] -= 1
        self._targets[self.regions.region_of(after)] += 1

    def overload_thresholds(self) -> dict[region.RegionName, int]:
        """Return above how many targets an entry of a region is overloaded.

        Targets of a region without entries count in all regions, as any may
        have to poll them.
        """
        entries = collections.Counter(
            self.regions.region_of(entry.data_centre)
            for entry in self.available()
        )
        homeless = sum(
            count
            for name, count in self._targets.items()
            if name not in entries
        )
        return {
            name: _threshold(self._targets[name] + homeless, entry_count)
            for name, entry_count in entries.items()
        }

    def find_overloaded(self, counts: Mapping[str, int]) -> frozenset[str]:
        """Return the entries with too many targets."""
        thresholds = self.overload_thresholds()
        return frozenset(
            entry.process
            for entry in self.available()
            if counts.get(entry.process, 0)
            > thresholds[self.regions.region_of(entry.data_centre)]
        )

    def choose(
        self,
        data_centre: str,
        present_entry: str,
        counts: Mapping[str, int],
        now: int,
    ) -> link.Link | None:
        """Return the best entry for a target, or None when there is none.

        Prefers an entry of the target's data centre, then one without a high
        processor load, then the one with the fewest targets. Entries at the
        overload threshold rank behind all of these, then entries that recently
        failed to reach a target. All entries of other regions rank behind
        these, and last the entry that the target has now.
        """
        thresholds = self.overload_thresholds()

        def rank(entry: link.Link) -> tuple[tuple[int, ...], ...]:
            distance = self.distance(data_centre, entry)
            home = self.regions.region_of(entry.data_centre)
            count = counts.get(entry.process, 0)
            usable = (
                entry.process == present_entry,
                distance is region.Distance.OTHER_REGION,
                self._is_avoided(entry, now),
            )
            is_crowded = count >= thresholds[home]
            is_remote = distance is not region.Distance.SAME_DATA_CENTRE
            is_loaded = entry.process in self.loaded
            return usable, (is_crowded, is_remote, is_loaded, count)

        return min(
            self.available(),
            key=lambda entry: (rank(entry), entry.process),
            default=None,
        )

    def choose_nearer(
        self,
        data_centre: str,
        present: link.Link,
        counts: Mapping[str, int],
        now: int,
    ) -> link.Link | None:
        """Return a working entry that is nearer to a target than its present.

        Returns None while the nearest ones are avoided, overloaded, loaded or
        newly linked.
        """
        chosen = self.choose(data_centre, present.process, counts, now)
        if chosen is None:
            return None
        distance = self.distance(data_centre, chosen)
        if distance >= self.distance(data_centre, present):
            return None
        thresholds = self.overload_thresholds()
        home = self.regions.region_of(chosen.data_centre)
        linked_since = self._linked_since.get(chosen.process, now)
        is_working = (
            now - linked_since >= _SETTLING_MS
            and not self._is_avoided(chosen, now)
            and chosen.process not in self.loaded
            and counts.get(chosen.process, 0) < thresholds[home]
        )
        return chosen if is_working else None

    def distance(self, data_centre: str, entry: link.Link) -> region.Distance:
        """Return how far an entry is from a data centre."""
        return self.regions.distance(entry.data_centre, data_centre)

    def _is_avoided(self, entry: link.Link, now: int) -> bool:
        return self._avoided_until.get(entry.process, 0) > now


def _threshold(targets: int, entries: int) -> int:
    share = -(-targets // entries)
    return share + share // 2 + _SHARE_TOLERANCE
