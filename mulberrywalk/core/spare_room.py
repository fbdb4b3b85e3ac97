"""Which free capacity no waiting work needs."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterator

from . import fleet, identity, job, resource, share, state, team_limit

# With more waiting steps and tasks than this, no capacity is spare.
MAX_WAITING = 64
# Part of the cell, and of the processors of each target, that stays free for
# work to come, in parts per million.
MIN_FREE_SHARE = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingWork:
    """A waiting step, or a task of a job without steps; demand is of one task.

    Such work may use the targets of a pool that have a label, except barred
    ones.
    """

    demand: resource.Resources
    count: int
    pool: str
    label: str = ''
    barred: frozenset[identity.TargetId] = frozenset()

    def may_use(self, load: fleet.TargetLoad) -> bool:
        """Return whether the work may run on a target, leaving room aside."""
        is_barred = load.target in self.barred
        return load.matches(self.pool, self.label) and not is_barred


def is_within_quota(tables: state.State, task: job.Task) -> bool:
    """Return whether the team of a task may hold a copy of it as well."""
    if share.is_over_quota(tables, tables.specification(task).team):
        return False
    return team_limit.allows(tables, task)


def find_waiting(tables: state.State) -> list[WaitingWork]:
    """Return what waits, up to one more than MAX_WAITING."""
    names = itertools.islice(_iter_waiting(tables), MAX_WAITING + 1)
    return [_describe(tables, name) for name in names]


def is_spare(
    tables: state.State,
    waiting: list[WaitingWork],
    demand: resource.Resources,
) -> bool:
    """Return whether the cell has capacity that no waiting work needs.

    What waits counts as if it ran, except what is barred from some targets: it
    waits for room on the others (see is_unwanted).
    """
    if len(waiting) > MAX_WAITING:
        return False
    wanted = demand
    for work in waiting:
        if work.barred:
            continue
        all_tasks = resource.multiply(work.demand, work.count)
        wanted = resource.add(wanted, all_tasks)
    wanted_share = resource.dominant_share(wanted, tables.fleet.total)
    used_share = share.of_all(tables) + wanted_share
    return used_share <= resource.PARTS_PER_MILLION - MIN_FREE_SHARE


def is_unwanted(
    waiting: list[WaitingWork],
    load: fleet.TargetLoad,
    demand: resource.Resources,
) -> bool:
    """Return whether a target has room that no waiting work needs.

    A task of each waiting step has to fit beside the demand if it fits now.
    Nothing of what is barred from other targets may fit now.
    """
    left = resource.subtract(load.free, demand)
    kept = load.capacity.millicores * MIN_FREE_SHARE
    if left.millicores * resource.PARTS_PER_MILLION < kept:
        return False
    return not any(
        resource.fits(work.demand, load.free)
        and (work.barred or not resource.fits(work.demand, left))
        and work.may_use(load)
        for work in waiting
    )


def _iter_waiting(tables: state.State) -> Iterator[str]:
    for queue in tables.waiting.queues.values():
        for position in queue:
            yield position.task


def _describe(tables: state.State, name: str) -> WaitingWork:
    step = tables.steps.get(identity.StepId(name))
    if step is None:
        task: job.Task = tables.tasks[identity.TaskId(name)]
        pool = tables.specification(task).pool
        return WaitingWork(tables.demand(task), 1, pool)
    needs = tables.step_specification(step)
    return WaitingWork(
        needs.demand(),
        len(tables.waiting.steps[step.step]),
        tables.jobs[step.job].specification.pool,
        needs.label,
        frozenset(step.barred),
    )
