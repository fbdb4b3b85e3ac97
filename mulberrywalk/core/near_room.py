"""Near targets of a step, and when the work on them is expected to end."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from . import (
    advice,
    estimate,
    fleet,
    identity,
    job,
    locality_wait,
    resource,
    speed,
    state,
    waiting,
)

# A stop has to reach the target, and its confirmation the leader.
_STOP_MS = 250
# An attempt that should have ended is expected to take at least this longer.
_MIN_REMAINING_MS = 50


class Outlook(NamedTuple):
    """How many targets of a rack take new work, and whether tasks may fit."""

    open_count: int
    has_room: bool


def find_targets(
    tables: state.State,
    step: job.Step,
    rack: str,
    excluded: Collection[identity.TargetId] = (),
) -> list[locality_wait.NearTarget]:
    """Return the targets of a rack that a step may use once they have room.

    Targets are left out that take no new work, are on probation, were silent
    lately, are excluded, or are not known to be allowed by the adviser.
    """
    allowed = _find_allowed(tables, step)
    return [
        _describe(tables, step, load)
        for load in tables.fleet.in_rack(rack)
        if load.target not in excluded
        and (allowed is None or load.target in allowed)
        and _is_suitable(tables, step, load)
    ]


def look(
    tables: state.State, step: job.Step, rack: str, count: int = 1
) -> Outlook:
    """Look at the targets of a rack for a number of tasks of a step."""
    demand = tables.step_specification(step).demand()
    fitting = 0
    open_count = 0
    for load in tables.fleet.in_rack(rack):
        if load.is_available():
            open_count += 1
            is_fitting = resource.fits(demand, load.free)
            if is_fitting and _is_usable(tables, step, load):
                fitting += resource.count_fitting(demand, load.free, count)
    return Outlook(open_count, fitting >= count)


def _is_usable(
    tables: state.State, step: job.Step, load: fleet.TargetLoad
) -> bool:
    """Return whether a start, or a request to the adviser, is possible."""
    if not _is_suitable(tables, step, load):
        return False
    allowed = _find_allowed(tables, step)
    if allowed is None:
        return True
    if not advice.can_request(tables, step):
        return load.target in advice.find_valid_tickets(tables, step)
    return load.target in allowed


def duration_ms(tables: state.State, task: job.Task) -> int:
    """Return the expected duration near the data on an average target, in ms.

    The declared estimate is corrected by the measured durations of the queue.
    """
    queue = tables.specification(task).queue
    typical_ms = estimate.typical_duration_ms(tables, queue)
    declared_ms = tables.task_specification(task).estimate_ms
    return estimate.corrected_ms(declared_ms, typical_ms)


def near_ms(
    tables: state.State, task: job.Task, name: identity.TargetId, took_ms: int
) -> int:
    """Return how long a task would have taken near its data, in ms."""
    if not is_away(tables, task, name):
        return took_ms
    return took_ms * locality_wait.NO_SLOWDOWN // tables.remote_permille


def is_away(
    tables: state.State, task: job.Task, name: identity.TargetId
) -> bool:
    """Return whether a target is not in the rack of a task's data."""
    data_rack = getattr(tables.task_specification(task), 'data_rack', '')
    return bool(data_rack) and tables.targets[name].rack != data_rack


def _find_allowed(
    tables: state.State, step: job.Step
) -> set[identity.TargetId] | None:
    """Return the targets that the adviser has allowed, None without one.

    An adviser allows the same targets of a step each time it is asked, so
    expired tickets count too.
    """
    if tables.jobs[step.job].specification.advice is None:
        return None
    return {ticket.target for ticket in step.tickets}


def _is_suitable(
    tables: state.State, step: job.Step, load: fleet.TargetLoad
) -> bool:
    needs = tables.step_specification(step)
    pool = tables.jobs[step.job].specification.pool
    is_steady = tables.targets[load.target].unsteady_until <= tables.time
    is_in_service = (
        load.is_available() and is_steady and not load.is_on_probation
    )
    return (
        is_in_service
        and load.matches(pool, needs.label)
        and resource.fits(needs.demand(), load.capacity)
    )


def _describe(
    tables: state.State, step: job.Step, load: fleet.TargetLoad
) -> locality_wait.NearTarget:
    needs = tables.step_specification(step)
    limit = needs.per_target_limit or job.MAX_TASKS
    used = 0
    if needs.per_target_limit:
        used = state.count_step_attempts(tables, step.step, load.target)
    return locality_wait.NearTarget(
        free=load.free,
        releases=_find_releases(tables, load),
        slowness=speed.slowness_of(tables, load.target),
        max_tasks=limit - used,
        answer_ms=_answer_ms(tables, step, load.target),
    )


def _answer_ms(
    tables: state.State, step: job.Step, name: identity.TargetId
) -> int:
    terms = tables.jobs[step.job].specification.advice
    if terms is None or name in advice.find_valid_tickets(tables, step):
        return 0
    return advice.max_answer_ms(terms)


def _find_releases(
    tables: state.State, load: fleet.TargetLoad
) -> tuple[locality_wait.Release, ...]:
    known = tables.waiting.near.releases.get(load.target)
    # Within a pass, attempts are only added.
    if known is not None and known.attempts == len(load.attempts):
        return known.releases
    attempts = (tables.attempts[name] for name in sorted(load.attempts))
    slowness = speed.slowness_of(tables, load.target)
    releases = tuple(
        locality_wait.Release(end, attempt.held)
        for attempt in attempts
        if (end := _expect_end(tables, attempt, slowness))
    )
    tables.waiting.near.releases[load.target] = waiting.ExpectedEnds(
        len(load.attempts), releases
    )
    return releases


def _expect_end(
    tables: state.State, attempt: job.Attempt, slowness: int
) -> int:
    """Return when an attempt is expected to end, zero if it lasts.

    slowness is that of its target, in permille of the average. An attempt that
    should have ended before is expected to go on for as long again as it is
    late, because a few tasks take several times as long.
    """
    if attempt.stopping is not None:
        return max(attempt.stopping_at + _STOP_MS, tables.time)
    # Looked up once: this is most of the cost of an estimate.
    task = tables.tasks[attempt.task]
    specification = tables.specification(task)
    needs = tables.task_specification(task)
    is_service = specification.kind is job.Kind.SERVICE
    if is_service or getattr(needs, 'is_lasting', False):
        return 0
    typical_ms = estimate.typical_duration_ms(tables, specification.queue)
    expected_ms = estimate.corrected_ms(needs.estimate_ms, typical_ms)
    expected_ms = expected_ms * slowness // speed.AVERAGE_SLOWNESS
    data_rack = getattr(needs, 'data_rack', '')
    if data_rack and tables.targets[attempt.target].rack != data_rack:
        expected_ms += locality_wait.slowdown_ms(
            expected_ms, tables.remote_permille
        )
    end = (attempt.started_at or attempt.placed_at) + expected_ms
    late_ms = tables.time - end
    if late_ms < 0:
        return end
    return tables.time + max(late_ms, _MIN_REMAINING_MS)
