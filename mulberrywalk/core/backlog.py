"""Keeps account of waiting work, and of the rate at which work is completed.

Lasting work is left out, because its processors are not freed again. Work of
jobs in excess of their team's rate, and work that has lost its value, counts
as less urgent than all other work.
"""

from __future__ import annotations

from . import job, rate_window, state, work_counter, workflow

# Ranks of the work that comes after that of every urgency.
WORTHLESS_RANK = len(job.Urgency)
EXCESS_RANK = WORTHLESS_RANK + 1


def count_waiting(tables: state.State, task: job.Task, times: int) -> None:
    """Add the work of a task that begins to wait, or remove it.

    It is not counted in deployments without teams, which do not use it.
    """
    if not tables.configuration.routing.teams:
        return
    record = tables.jobs[task.job]
    specification = record.specification
    if specification.kind is job.Kind.WORKFLOW:
        needs = specification.steps[task.step]
        if needs.is_lasting or needs.is_filler or not needs.millicores:
            return
        step = tables.steps[task.step_id()]
        key = work_counter.Key(
            specification.pool, _rank_of(record, step), specification.team
        )
        expected_ms = step.expected_ms or needs.estimate_ms
        tables.work.add(key, needs.millicores * times, expected_ms)
    elif specification.kind is not job.Kind.SERVICE:
        rank = job.rank(specification.urgency)
        key = work_counter.Key(specification.pool, rank, specification.team)
        wanted = specification.tasks[task.number]
        tables.work.add(key, wanted.millicores * times, wanted.estimate_ms)


def recount(tables: state.State) -> None:
    """Count all work after a routing has brought the first teams."""
    tables.work = work_counter.WorkCounter()
    for task in tables.tasks.values():
        if task.state is job.TaskState.WAITING:
            count_waiting(tables, task, 1)
    for attempt in tables.attempts.values():
        state.count_held(tables, attempt, attempt.held.millicores)


def count_completed(tables: state.State, task: job.Task) -> None:
    """Add the work of a completed task to the rate of its pool.

    It is measured as waiting work is, by the expected duration, so that wrong
    estimates do not matter to the time in which waiting work will be done.
    """
    specification = tables.jobs[task.job].specification
    is_workflow = specification.kind is job.Kind.WORKFLOW
    if not is_workflow or not tables.teams:
        return
    needs = specification.steps[task.step]
    if needs.is_filler or needs.is_lasting:
        return
    expected_ms = tables.steps[task.step_id()].expected_ms or needs.estimate_ms
    window = tables.completed_work.get(specification.pool)
    if window is None:
        window = rate_window.RateWindow(tables.time)
    tables.completed_work[specification.pool] = rate_window.add(
        window, needs.millicores * expected_ms, tables.time
    )


def completion_rate(tables: state.State, pool: str) -> int:
    """Return at which rate waiting work of a pool is done, in millicores.

    It is the recent rate, or the processors held by work that ends if these
    are more: after an idle time, little has been completed.
    """
    held = tables.work.held[pool, work_counter.ALL_TEAMS]
    window = tables.completed_work.get(pool)
    if window is None:
        return held
    return max(held, rate_window.per_ms(window, tables.time))


def waiting_in_pool(tables: state.State, pool: str) -> work_counter.Work:
    """Return all work that waits for the targets of a pool."""
    key = work_counter.Key(pool, EXCESS_RANK, work_counter.ALL_TEAMS)
    return tables.work.sum_up_to(key)


def waiting_of_team(
    tables: state.State, pool: str, team: str
) -> work_counter.Work:
    """Return all work of a team that waits for the targets of a pool."""
    return tables.work.sum_up_to(work_counter.Key(pool, EXCESS_RANK, team))


def has_worthless_work(tables: state.State, pool: str, team: str) -> bool:
    """Return whether work of a team has lost its value while it waited."""
    key = work_counter.Key(pool, WORTHLESS_RANK, team)
    return key in tables.work.waiting


def _rank_of(record: job.Job, step: job.Step) -> int:
    if record.is_excess:
        return EXCESS_RANK
    if workflow.is_demoted(step):
        return WORTHLESS_RANK
    return job.rank(record.specification.urgency)
