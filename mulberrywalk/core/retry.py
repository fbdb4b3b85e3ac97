"""Whether and when a task is tried again."""

from __future__ import annotations

from . import configuration, job, state

TOKEN_UNITS = 100
_LONGEST_DOUBLING = 6


def credit_budget(tables: state.State, team: str) -> None:
    """Credit a team's retry budget for an attempt that ended well."""
    limits = configuration.team_limits(tables.configuration.document, team)
    full = tables.configuration.document.retry_burst * TOKEN_UNITS
    tables.budgets[team] = min(
        full, tables.budgets.get(team, full) + limits.retry_percent
    )


def charge_retry(tables: state.State, team: str, failures: int) -> int:
    """Take a retry from the team's budget and return its delay in ms.

    The delay doubles with each failure. A team without budget is not
    refused the retry, for accepted work is never dropped, but waits the
    longest delay.
    """
    document = tables.configuration.document
    full = document.retry_burst * TOKEN_UNITS
    left = tables.budgets.get(team, full)
    doubling = min(failures - 1, _LONGEST_DOUBLING)
    if left < TOKEN_UNITS:
        doubling = _LONGEST_DOUBLING
    else:
        tables.budgets[team] = left - TOKEN_UNITS
    return document.retry_first_ms << doubling


def is_exhausted(tables: state.State, task: job.Task) -> bool:
    """Return whether a task has failed or been lost too often to go on.

    A service is restarted for as long as it is wanted.
    """
    if tables.specification(task).kind is job.Kind.SERVICE:
        return False
    document = tables.configuration.document
    return (
        task.failures >= failure_limit(tables, task)
        or task.losses >= document.max_losses
    )


def failure_limit(tables: state.State, task: job.Task) -> int:
    """Return after how many failures a task is given up."""
    chosen = tables.specification(task).max_failures
    return chosen or tables.configuration.document.max_failures
