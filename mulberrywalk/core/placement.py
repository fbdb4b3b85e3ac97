"""Choice of a target for a task, by the kind of its job.

Each policy returns the chosen target or None; None always means that the
demand fits on no open target. Nothing is placed where it does not fit.
"""

from __future__ import annotations

import abc
import collections
import dataclasses
import itertools
from collections.abc import Iterable
from types import MappingProxyType
from typing import TypeVar

from . import fleet, identity, job, resource

_CANDIDATES = 8

Chosen = TypeVar('Chosen')


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What is to be placed.

    avoid is the target on which the task failed last; siblings are the
    targets that hold other tasks of the job.
    """

    demand: resource.Resources
    avoid: identity.TargetId | None = None
    siblings: tuple[fleet.TargetLoad, ...] = ()


class Policy(abc.ABC):
    """Chooses among the open targets."""

    def choose(
        self, loads: fleet.Fleet, request: Request
    ) -> fleet.TargetLoad | None:
        """Return the target for a request, or None when it fits nowhere.

        The avoided target is taken only when no other candidate fits.
        """
        candidates = list(
            itertools.islice(self.candidates(loads, request), _CANDIDATES)
        )
        others = [one for one in candidates if one.target != request.avoid]
        return self.select_best(others or candidates, request)

    @abc.abstractmethod
    def candidates(
        self, loads: fleet.Fleet, request: Request
    ) -> Iterable[fleet.TargetLoad]:
        """Yield fitting targets, the better ones first."""

    @abc.abstractmethod
    def select_best(
        self, candidates: list[fleet.TargetLoad], request: Request
    ) -> fleet.TargetLoad | None:
        """Return the best of a few fitting targets."""


class BatchPolicy(Policy):
    """Packs: keeps what stays free on a target usable together.

    A target whose slots are gone while processors are free, or the other way
    round, can take nothing more: the task goes where it adds least to that.
    """

    def candidates(
        self, loads: fleet.Fleet, request: Request
    ) -> Iterable[fleet.TargetLoad]:
        """Yield the fitting targets with the least free processor."""
        return loads.least_free(request.demand)

    def select_best(
        self, candidates: list[fleet.TargetLoad], request: Request
    ) -> fleet.TargetLoad | None:
        """Return the target on which the least more is stranded."""
        return min(
            candidates,
            key=lambda load: (
                resource.stranded(
                    resource.subtract(load.free, request.demand),
                    load.capacity,
                )
                - resource.stranded(load.free, load.capacity),
                load.free.millicores,
                load.target,
            ),
            default=None,
        )


class RequestPolicy(Policy):
    """Spreads: leaves room for the next request on as many targets."""

    def candidates(
        self, loads: fleet.Fleet, request: Request
    ) -> Iterable[fleet.TargetLoad]:
        """Yield the fitting targets with the most free processor."""
        return loads.most_free(request.demand)

    def select_best(
        self, candidates: list[fleet.TargetLoad], request: Request
    ) -> fleet.TargetLoad | None:
        """Return the target whose scarcest resource stays freest."""
        return max(
            candidates,
            key=lambda load: (
                min(
                    resource.shares(
                        resource.subtract(load.free, request.demand),
                        load.capacity,
                    )
                ),
                load.target,
            ),
            default=None,
        )


class ServicePolicy(Policy):
    """Spreads the tasks of a job over data centres and racks."""

    def candidates(
        self, loads: fleet.Fleet, request: Request
    ) -> Iterable[fleet.TargetLoad]:
        """Yield targets of the data centres with the fewest siblings."""
        crowding = collections.Counter(
            load.data_centre for load in request.siblings
        )
        centres = sorted(
            loads.data_centres(),
            key=lambda centre: (crowding[centre], centre),
        )
        return itertools.chain.from_iterable(
            loads.most_free_in(centre, request.demand) for centre in centres
        )

    def select_best(
        self, candidates: list[fleet.TargetLoad], request: Request
    ) -> fleet.TargetLoad | None:
        """Return the target whose centre, rack and self hold fewest."""
        centres = _count(load.data_centre for load in request.siblings)
        racks = _count(
            (load.data_centre, load.rack) for load in request.siblings
        )
        targets = _count(load.target for load in request.siblings)
        return min(
            candidates,
            key=lambda load: (
                centres[load.data_centre],
                racks[(load.data_centre, load.rack)],
                targets[load.target],
                -load.free.millicores,
                load.target,
            ),
            default=None,
        )


class GangPolicy(BatchPolicy):
    """Packs each task of a gang; all of them are placed or none."""


def _count(counted: Iterable[Chosen]) -> collections.Counter[Chosen]:
    return collections.Counter(counted)


POLICIES: MappingProxyType[job.Kind, Policy] = MappingProxyType(
    {
        job.Kind.SERVICE: ServicePolicy(),
        job.Kind.BATCH: BatchPolicy(),
        job.Kind.GANG: GangPolicy(),
        job.Kind.REQUEST: RequestPolicy(),
    }
)
