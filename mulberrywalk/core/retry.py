"""Retry budgets, retry delays and retry limits of tasks."""

from __future__ import annotations

from . import configuration, job, state

# One retry token; budgets are kept in hundredths of a token.
TOKEN_UNITS = 100
_MAX_DOUBLINGS = 6


def credit_budget(tables: state.State, team: str) -> None:
    """Credit a team's retry budget for an attempt that completed."""
    limits = configuration.team_limits(tables.configuration.document, team)
    full_budget = tables.configuration.document.retry_burst * TOKEN_UNITS
    tables.budgets[team] = min(
        full_budget,
        tables.budgets.get(team, full_budget) + limits.retry_percent,
    )


def charge_retry(tables: state.State, team: str, failures: int) -> int:
    """Charge a retry to the team's budget and return its delay in ms.

    The delay doubles with each failure. Accepted work is never dropped, so a
    team without budget is not refused the retry but waits the longest delay.
    """
    document = tables.configuration.document
    full_budget = document.retry_burst * TOKEN_UNITS
    remaining = tables.budgets.get(team, full_budget)
    doublings = min(failures - 1, _MAX_DOUBLINGS)
    if remaining < TOKEN_UNITS:
        doublings = _MAX_DOUBLINGS
    else:
        tables.budgets[team] = remaining - TOKEN_UNITS
    return document.retry_first_ms << doublings


def is_exhausted(tables: state.State, task: job.Task) -> bool:
    """Return whether a task has used up its failures or target losses.

    A service is restarted until its job is cancelled.
    """
    if tables.specification(task).kind is job.Kind.SERVICE:
        return False
    document = tables.configuration.document
    return (
        task.failures >= failure_limit(tables, task)
        or task.losses >= document.max_losses
    )


def failure_limit(tables: state.State, task: job.Task) -> int:
    """Return the number of failures after which a task is not retried."""
    configured = tables.specification(task).max_failures
    return configured or tables.configuration.document.max_failures
