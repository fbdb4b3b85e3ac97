"""Index of the waiting steps and tasks of each team, the oldest first.

The queues are ordered by objective, so their first step need not be the
oldest. Derived from the waiting tasks; no decision depends on it. Tasks whose
retry is delayed are left out until they are due.
"""

from __future__ import annotations

from . import identity, job, state


def note_step(tables: state.State, step: job.Step) -> None:
    """Add a step whose first task begins to wait."""
    tables.team_work.note_age(
        _team_of(tables, step.job), (step.released_at, step.step)
    )


def forget_step(tables: state.State, step: job.Step) -> None:
    """Remove a step that has no waiting task any more."""
    tables.team_work.forget_age(
        _team_of(tables, step.job), (step.released_at, step.step)
    )


def note_task(tables: state.State, task: job.Task) -> None:
    """Add a waiting task of a job without steps, if it is not there."""
    tables.team_work.note_age(
        _team_of(tables, task.job), (task.waiting_since, task.task)
    )


def forget_task(tables: state.State, task: job.Task) -> None:
    """Remove a task of a job without steps."""
    tables.team_work.forget_age(
        _team_of(tables, task.job), (task.waiting_since, task.task)
    )


def oldest_wait_ms(tables: state.State, team: str) -> int:
    """Return how long the oldest waiting work of a team has waited."""
    ages = tables.team_work.ages.get(team)
    return tables.time - ages[0][0] if ages else 0


def _team_of(tables: state.State, name: identity.JobId) -> str:
    return tables.jobs[name].specification.team
