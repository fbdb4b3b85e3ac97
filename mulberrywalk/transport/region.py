"""Regions: groups of data centres with a slow or costly link between them."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import NewType

RegionName = NewType('RegionName', str)

# The region of data centres that are in no configured region.
_DEFAULT = RegionName('')


class Distance(enum.IntEnum):
    """How far apart two data centres are, nearest first."""

    SAME_DATA_CENTRE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Regions:
    """The region of each data centre; empty with a single region."""

    by_data_centre: Mapping[str, RegionName] = dataclasses.field(
        default_factory=lambda: MappingProxyType({})
    )

    def is_set(self) -> bool:
        """Return whether there is more than one region."""
        return bool(self.by_data_centre)

    def region_of(self, data_centre: str) -> RegionName:
        """Return the region of a data centre."""
        return self.by_data_centre.get(data_centre, _DEFAULT)

    def distance(self, one: str, other: str) -> Distance:
        """Return how far apart two data centres are."""
        if one == other:
            return Distance.SAME_DATA_CENTRE
        is_same = self.region_of(one) == self.region_of(other)
        return Distance.SAME_REGION if is_same else Distance.OTHER_REGION


ONE_REGION = Regions()


def create(by_data_centre: Mapping[str, str]) -> Regions:
    """Return the regions of data centres, or ONE_REGION for fewer than two."""
    if len(set(by_data_centre.values())) < 2:
        return ONE_REGION
    return Regions(
        MappingProxyType(
            {
                data_centre: RegionName(name)
                for data_centre, name in by_data_centre.items()
            }
        )
    )
