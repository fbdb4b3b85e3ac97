"""Which overloaded entries may report that they are not ready.

Callers then use the other entries of the data centre, so that only a part of
them may be left out, and only while most are not overloaded themselves.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

from ..transport import relief

# Entries of a data centre that are not overloaded, for each one left out: these
# take over at most a third more requests each.
_SPARE_ENTRIES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A working entry, what it asks for, and whether it may be unready."""

    process: str
    data_centre: str
    relief: relief.Relief
    is_granted: bool = False


def choose(entries: Iterable[Entry]) -> frozenset[str]:
    """Return the entries that may be unready; they keep it while they ask."""
    by_data_centre = collections.defaultdict(list)
    for entry in entries:
        by_data_centre[entry.data_centre].append(entry)
    return frozenset().union(*map(_choose_in_one, by_data_centre.values()))


def _choose_in_one(entries: list[Entry]) -> frozenset[str]:
    """Return the entries of one data centre that may be unready."""
    spare = sum(entry.relief is relief.Relief.NONE for entry in entries)
    wanting = sorted(
        (entry for entry in entries if entry.relief is relief.Relief.WANTED),
        key=lambda entry: (not entry.is_granted, entry.process),
    )
    limit = spare // _SPARE_ENTRIES
    return frozenset(entry.process for entry in wanting[:limit])
