"""Whether a job in excess of its team's rate delays no other work."""

from __future__ import annotations

import itertools

from . import (
    backlog,
    configuration,
    declared,
    effect,
    job,
    resource,
    share,
    state,
    team_limit,
)

# Targets looked at for one job, so that the cost of a flood is bounded on a
# large fleet. Room found on fewer targets is enough to admit a job.
_MAX_TARGETS = 256


def find_shortage(
    tables: state.State,
    specification: job.Specification,
    team: configuration.Team,
) -> str:
    """Return what a job would have to wait for, or '' if it can start.

    It can if its first step fits besides all work that waits, within what its
    team may hold, and leaves the headroom of the cell free.
    """
    needs = _first_step(specification)
    demand = needs.demand()
    own = backlog.waiting_of_team(tables, specification.pool, team.name)
    count = _count_wanted(specification)
    wanted = resource.add(
        resource.multiply(declared.amounts(needs), count),
        resource.Resources(millicores=own.millicores),
    )
    return (
        _find_limit_excess(wanted, team_limit.find_room(tables, team.name))
        or _find_lack_of_room(tables, specification, demand, count)
        or _find_lack_of_headroom(tables, specification, demand, count)
    )


def _find_lack_of_headroom(
    tables: state.State,
    specification: job.Specification,
    demand: resource.Resources,
    count: int,
) -> str:
    """Return whether the job and waiting work would leave too little free."""
    queued = backlog.waiting_in_pool(tables, specification.pool).millicores
    added = resource.add(
        resource.multiply(demand, count), resource.Resources(queued)
    )
    used = share.of_all(tables) + resource.dominant_share(
        added, tables.fleet.total
    )
    headroom = tables.configuration.document.headroom
    if used <= resource.PARTS_PER_MILLION - headroom:
        return ''
    return effect.format_detail({'used_ppm': used, 'headroom_ppm': headroom})


def _find_lack_of_room(
    tables: state.State,
    specification: job.Specification,
    demand: resource.Resources,
    count: int,
) -> str:
    queued = backlog.waiting_in_pool(tables, specification.pool).millicores
    wanted = count
    if demand.millicores:
        # A remainder counts as one more task.
        wanted += (queued + demand.millicores - 1) // demand.millicores
    room = 0
    label = getattr(_first_step(specification), 'label', '')
    matching = (
        load
        for load in tables.fleet.most_free(demand)
        if load.matches(specification.pool, label)
    )
    for load in itertools.islice(matching, _MAX_TARGETS):
        room += resource.count_fitting(demand, load.free, wanted)
        if room >= wanted:
            return ''
    return effect.format_detail(
        {'room_tasks': room, 'wanted_tasks': count, 'queued_mcores': queued}
    )


def _find_limit_excess(
    wanted: resource.Resources, room: resource.Resources | None
) -> str:
    """Return what exceeds the room below the limit of a team, or ''."""
    if room is None or resource.fits(wanted, room):
        return ''
    name = resource.list_insufficient(wanted, room)[0]
    return effect.format_detail(
        {f'wanted_{name}': getattr(wanted, name), 'room': getattr(room, name)}
    )


def _first_step(
    specification: job.Specification,
) -> job.StepSpecification | job.TaskSpecification:
    if specification.kind is job.Kind.WORKFLOW:
        return specification.steps[0]
    return specification.tasks[0]


def _count_wanted(specification: job.Specification) -> int:
    if specification.kind is job.Kind.WORKFLOW:
        return specification.steps[0].count
    return len(specification.tasks)
