"""Which team a job belongs to, and who may read or cancel it."""

from __future__ import annotations

from . import job, outcome, state


def find_owner(tables: state.State, specification: job.Specification) -> str:
    """Return the team that owns a job, or '' for a job without an owner.

    A job without a team carries the name of its pool instead. Where a team has
    that name too, the queue of the job tells the two apart. The specification
    has the settings of its queue.
    """
    team = specification.team
    if team != specification.pool:
        return team
    queue = tables.queues.get(specification.queue)
    is_public = queue is not None and queue.is_public
    return '' if is_public or team not in tables.teams else team


def may_access(owner: str, team: str | None) -> bool:
    """Return whether a caller of a team may read and cancel an owner's jobs.

    team is '' for a caller without a team, None for one that is not checked.
    """
    return team is None or owner in {'', team}


def find_refusal(
    tables: state.State, record: job.Job, team: str | None
) -> outcome.NotRun | None:
    """Return a refusal if a caller of a team may not access a job, else None.

    team is as in may_access.
    """
    if may_access(find_owner(tables, record.specification), team):
        return None
    return outcome.NotRun(
        outcome.RefusalReason.FOREIGN_JOB,
        f'job {record.job} belongs to another team',
    )
