"""Policies that choose a target for a task, one for each kind of job.

Each policy returns the chosen target, or None when the demand fits on no open
target. No task is placed on a target that it does not fit on.
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

_MAX_CANDIDATES = 8

Element = TypeVar('Element')


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A task to be placed.

    avoid is the target on which the task failed last; siblings are the
    targets that hold other tasks of the job.
    """

    demand: resource.Resources
    avoid: identity.TargetId | None = None
    siblings: tuple[fleet.TargetLoad, ...] = ()


class Policy(abc.ABC):
    """Chooses a target among the open ones."""

    def choose(
        self, loads: fleet.Fleet, request: Request
    ) -> fleet.TargetLoad | None:
        """Return the target for a request, or None when it fits on none.

        The avoided target is taken only when no other candidate fits.
        """
        candidates = list(
            itertools.islice(self.candidates(loads, request), _MAX_CANDIDATES)
        )
        others = [load for load in candidates if load.target != request.avoid]
        return self.select_best(others or candidates, request)

    @abc.abstractmethod
    def candidates(
        self, loads: fleet.Fleet, request: Request
    ) -> Iterable[fleet.TargetLoad]:
        """Yield fitting targets, the preferred ones first."""

    @abc.abstractmethod
    def select_best(
        self, candidates: list[fleet.TargetLoad], request: Request
    ) -> fleet.TargetLoad | None:
        """Return the best of a few fitting targets."""


class BatchPolicy(Policy):
    """Packs tasks and keeps the free resources of each target balanced.

    A target without free slots but with free processors, or the other way
    round, can take no further task and strands what is free. The task goes
    to the target on which it adds the least stranded capacity.
    """

    def candidates(
        self, loads: fleet.Fleet, request: Request
    ) -> Iterable[fleet.TargetLoad]:
        """Yield the fitting targets, least free processor capacity first."""
        return loads.least_free(request.demand)

    def select_best(
        self, candidates: list[fleet.TargetLoad], request: Request
    ) -> fleet.TargetLoad | None:
        """Return the target on which the task strands the least capacity."""
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
    """Spreads tasks, so that most targets keep room for the next request."""

    def candidates(
        self, loads: fleet.Fleet, request: Request
    ) -> Iterable[fleet.TargetLoad]:
        """Yield the fitting targets, most free processor capacity first."""
        return loads.most_free(request.demand)

    def select_best(
        self, candidates: list[fleet.TargetLoad], request: Request
    ) -> fleet.TargetLoad | None:
        """Return the target that keeps the most of its scarcest resource.

        Compares the free shares of the capacity once the task is placed.
        """
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
        """Yield fitting targets, data centres with few siblings first."""
        sibling_counts = collections.Counter(
            load.data_centre for load in request.siblings
        )
        centres = sorted(
            loads.data_centres(),
            key=lambda centre: (sibling_counts[centre], centre),
        )
        return itertools.chain.from_iterable(
            loads.most_free_in(centre, request.demand) for centre in centres
        )

    def select_best(
        self, candidates: list[fleet.TargetLoad], request: Request
    ) -> fleet.TargetLoad | None:
        """Return the target with the fewest siblings.

        Siblings in its data centre count first, then those in its rack, then
        those on the target itself.
        """
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


def _count(elements: Iterable[Element]) -> collections.Counter[Element]:
    return collections.Counter(elements)


POLICIES: MappingProxyType[job.Kind, Policy] = MappingProxyType(
    {
        job.Kind.SERVICE: ServicePolicy(),
        job.Kind.BATCH: BatchPolicy(),
        job.Kind.GANG: GangPolicy(),
        job.Kind.REQUEST: RequestPolicy(),
    }
)
