"""Hard limits on what a team holds over all targets.

What counts is declared: attempts from their placement until their end is
known, and room that is withheld for a lasting task. A task that would exceed
its team's limit waits, and other work of the team that fits goes on. A limit
that is lowered below what the team holds stops nothing.
"""

from __future__ import annotations

from . import declared, job, outcome, resource, state, waiting

# Stands for no limit; far above what all targets together can hold.
_UNLIMITED = job.MAX_INT64


def reindex(tables: state.State) -> None:
    """Rebuild the indexes of the teams of the current routing."""
    tables.teams = {
        team.name: team for team in tables.configuration.routing.teams
    }
    tables.team_limits = {
        team.name: _fill_unlimited(team.limit)
        for team in tables.teams.values()
        if team.limit != resource.NOTHING
    }


def find_room(tables: state.State, team: str) -> resource.Resources | None:
    """Return what a team may still hold, None for a team without limit.

    An amount is negative while the team holds more than its limit.
    """
    limit = tables.team_limits.get(team)
    if limit is None:
        return None
    held = tables.team_held.get(team, resource.NOTHING)
    return resource.subtract(limit, held)


def allows(tables: state.State, task: job.Task) -> bool:
    """Return whether a team may hold a task, or the gang it represents."""
    if not tables.team_limits:
        return True
    specification = tables.specification(task)
    room = find_room(tables, specification.team)
    return room is None or resource.fits(amount_at_once(tables, task), room)


def amount_at_once(tables: state.State, task: job.Task) -> resource.Resources:
    """Return the amount of a task, or of the gang that it represents."""
    specification = tables.specification(task)
    if specification.kind is job.Kind.GANG and not task.attempts:
        return _sum_tasks(specification)
    return declared.amounts(tables.task_specification(task))


def count_allowed(tables: state.State, step: job.Step, wanted: int) -> int:
    """Return how many more tasks of a step its team may hold.

    A gang is allowed as a whole or not at all.
    """
    if not tables.team_limits:
        return wanted
    room = find_room(tables, tables.jobs[step.job].specification.team)
    if room is None:
        return wanted
    needs = tables.step_specification(step)
    amount = declared.amounts(needs)
    if not resource.fits(amount, room):
        return 0
    count = min(wanted, resource.count_fitting(amount, room, wanted))
    return 0 if needs.is_gang and count < wanted else count


def is_closed(tables: state.State, key: waiting.QueueKey) -> bool:
    """Return whether a team's limit leaves room for nothing in its queue."""
    room = find_room(tables, key.team)
    if room is None:
        return False
    smallest = tables.waiting.smallest.get(key, resource.NOTHING)
    return not resource.fits(smallest, room)


def may_return(tables: state.State, task: job.Task) -> bool:
    """Return whether a task may be placed again once its attempt has ended."""
    if task.attempt is None:
        return allows(tables, task)
    room = find_room(tables, tables.specification(task).team)
    return room is None or resource.fits(resource.NOTHING, room)


def withhold(tables: state.State, task: job.Task) -> resource.Resources:
    """Count room that is withheld for a task as held; return the amount.

    The attempt of a task that is still on a silent target counts already.
    """
    if task.attempt is not None:
        return resource.NOTHING
    amount = declared.amounts(tables.task_specification(task))
    state.adjust_held(tables, tables.specification(task).team, amount)
    return amount


def find_refusal(
    tables: state.State, specification: job.Specification
) -> outcome.NotRun | None:
    """Return a refusal of a job that can never fit its team's limit, or None.

    A task and a gang must fit, while the job as a whole need not.
    """
    limit = tables.team_limits.get(specification.team)
    if limit is None:
        return None
    excesses = (
        f'{place}: {_format_excess(amount, limit)} of team {specification.team}'
        for place, amount in _list_units(specification).items()
        if not resource.fits(amount, limit)
    )
    detail = next(excesses, '')
    if not detail:
        return None
    return outcome.NotRun(outcome.RefusalReason.INVALID_JOB, detail)


def _format_excess(
    amount: resource.Resources, limit: resource.Resources
) -> str:
    name = resource.list_insufficient(amount, limit)[0]
    wanted = getattr(amount, name)
    return f'{wanted} {name} exceed the limit {getattr(limit, name)}'


def _list_units(
    specification: job.Specification,
) -> dict[str, resource.Resources]:
    """Return the amounts that have to fit at once, by their place in a job."""
    if specification.kind is job.Kind.GANG:
        return {'tasks': _sum_tasks(specification)}
    if specification.kind is job.Kind.WORKFLOW:
        return {
            f'steps[{number}]': resource.multiply(
                declared.amounts(step), step.count if step.is_gang else 1
            )
            for number, step in enumerate(specification.steps)
        }
    return {
        f'tasks[{number}]': declared.amounts(needs)
        for number, needs in enumerate(specification.tasks)
    }


def _sum_tasks(specification: job.Specification) -> resource.Resources:
    total = resource.NOTHING
    for needs in specification.tasks:
        total = resource.add(total, declared.amounts(needs))
    return total


def _fill_unlimited(limit: resource.Resources) -> resource.Resources:
    return resource.Resources(
        limit.millicores or _UNLIMITED,
        limit.memory_bytes or _UNLIMITED,
        limit.accelerators or _UNLIMITED,
        limit.slots or _UNLIMITED,
    )
