"""Waits of steps for room near their data, and their end.

Applies the decisions of locality_wait.py to the state. A wait is kept in the
step, so that a new leader goes on with it. The room that is waited for stays
open to other work.
"""

from __future__ import annotations

import enum
import itertools
from collections.abc import Collection, Iterable, Sequence

import msgspec

from . import (
    effect,
    fleet,
    identity,
    job,
    locality_wait,
    near_room,
    nearness,
    state,
    waiting,
)

# Racks that are looked at for a step that may use any one rack, to bound the
# cost of a decision.
_MAX_RACKS = 4
# How often the room that is waited for is estimated again while nothing is
# known to have changed. All waits are looked at in the same passes, which
# share the estimates.
_CHECK_INTERVAL_MS = 500


class Review(enum.Enum):
    """What a pass has to do for a step."""

    DECIDE = enum.auto()
    # The step waits, and near room that may be free is to be used.
    TRY_NEAR = enum.auto()
    WAIT = enum.auto()


def review(tables: state.State, step: job.Step, count: int) -> Review:
    """Return what to do for a step of which a number of tasks wait.

    This is asked in each pass, so it looks only at what may end a wait: the
    time, near targets that are lost, other work that took room, and room that
    has become free.
    """
    needs = tables.step_specification(step)
    is_waiting = bool(step.near_wait_count) and nearness.is_on(tables, needs)
    if not is_waiting or count != step.near_wait_count:
        return Review.DECIDE
    last_check = step.near_checked_at // _CHECK_INTERVAL_MS
    is_due = tables.time // _CHECK_INTERVAL_MS > last_check
    is_taken = step.near_rack in tables.waiting.near.taken
    if is_due or is_taken or tables.time >= step.near_wait_until:
        return Review.DECIDE
    needed = count if needs.is_gang or needs.is_rack_local else 1
    outlook = near_room.look(tables, step, step.near_rack, needed)
    if outlook.open_count != step.near_open:
        return Review.DECIDE
    if outlook.has_room:
        return Review.TRY_NEAR
    _add_claim(tables, step, step.near_rack, count)
    return Review.WAIT


def note_placement(
    tables: state.State, step: job.Step, load: fleet.TargetLoad
) -> None:
    """Note that work was placed that others may have waited for."""
    if not step.near_wait_count:
        tables.waiting.near.taken.add(load.rack)


class EachWait:
    """Decides, while the tasks of a step are placed, which of them wait."""

    def __init__(
        self, tables: state.State, step: job.Step, numbers: list[int]
    ) -> None:
        """Prepare; nothing is computed before a task would go away.

        numbers are those of the waiting tasks, in the order of placement.
        """
        self._tables = tables
        self._step = step
        self._numbers = numbers
        self._needs = tables.step_specification(step)
        self._decision: locality_wait.Decision | None = None
        self._gained = 0
        self._is_on = nearness.is_on(tables, self._needs) and not (
            self._needs.is_rack_local or self._needs.is_gang
        )

    def holds_back(self, load: fleet.TargetLoad, placed: int) -> bool:
        """Return whether the tasks left wait rather than use this target.

        placed is how many of the tasks have been placed.
        """
        if not self._is_on:
            return False
        if load.rack == self._needs.data_rack:
            self._gained += 1
            return False
        if self._decision is None:
            left = self._numbers[placed:]
            self._decision = _decide_each(self._tables, self._step, left)
        return len(self._numbers) - placed <= self._decision.count

    def settle(self, placed: int) -> None:
        """Record what has become of the wait once no more tasks are placed."""
        if self._is_on:
            left = len(self._numbers) - placed
            _settle(
                self._tables, self._step, self._decision, self._gained, left
            )


def holds_back_whole(
    tables: state.State,
    step: job.Step,
    numbers: list[int],
    chosen: Sequence[fleet.TargetLoad],
) -> bool:
    """Return whether a gang or a rack-local step waits for near room.

    chosen are the targets that it would use now, none if only a part fits.
    """
    needs = tables.step_specification(step)
    if not nearness.is_on(tables, needs):
        return False
    candidates = tables.fleet.loads.values()
    racks = nearness.find_near_racks(tables, step, candidates)
    used = {load.rack for load in chosen}
    if len(used) == 1 and used.issubset(racks):
        _settle(tables, step, None, len(numbers), 0)
        return False
    decision = _decide_whole(tables, step, numbers, racks)
    is_placed = bool(chosen) and not decision.count
    _settle(tables, step, decision, 0, 0 if is_placed else len(numbers))
    return bool(decision.count)


def _find_terms(
    tables: state.State, step: job.Step, task: job.Task
) -> locality_wait.Terms:
    duration_ms = near_room.duration_ms(tables, task)
    # After the end of a wait, until is in the past and there is no other.
    return locality_wait.Terms(
        now=tables.time,
        saving_ms=locality_wait.slowdown_ms(
            duration_ms, tables.remote_permille
        ),
        latest_start=min(step.order, step.worthless_at),
        until=step.near_wait_until,
    )


def _decide_each(
    tables: state.State, step: job.Step, numbers: list[int]
) -> locality_wait.Decision:
    tasks = _get_tasks(tables, step, numbers)
    terms = _find_terms(tables, step, tasks[0])
    if terms.now >= terms.end():
        return locality_wait.decide_each(terms, len(tasks), ())
    rack = tables.step_specification(step).data_rack
    own = _claim(tables, step, len(numbers))
    near = near_room.find_targets(tables, step, rack, _find_failed_on(tasks))
    claims = _find_claims(tables, rack)
    starts = locality_wait.expect_starts(
        near, claims, own, terms.now, terms.end()
    )
    return locality_wait.decide_each(terms, len(tasks), starts, rack)


def _decide_whole(
    tables: state.State,
    step: job.Step,
    numbers: list[int],
    racks: list[str],
) -> locality_wait.Decision:
    tasks = _get_tasks(tables, step, numbers)
    terms = _find_terms(tables, step, tasks[0])
    if terms.now >= terms.end():
        return locality_wait.decide_whole(terms, len(tasks), None)
    own = _claim(tables, step, len(numbers))
    failed_on = _find_failed_on(tasks)
    expected: list[tuple[int, str]] = []
    for candidate in _find_freest(tables, racks):
        near = near_room.find_targets(tables, step, candidate, failed_on)
        claims = _find_claims(tables, candidate)
        whole_start = locality_wait.expect_whole_start(
            near, claims, own, terms.now, terms.end()
        )
        if whole_start is not None:
            expected.append((whole_start, candidate))
    if not expected:
        return locality_wait.decide_whole(terms, len(tasks), None)
    start, rack = min(expected)
    return locality_wait.decide_whole(terms, len(tasks), start, rack)


def _get_tasks(
    tables: state.State, step: job.Step, numbers: list[int]
) -> list[job.Task]:
    return [
        tables.tasks[identity.TaskId(f'{step.step}.{number}')]
        for number in numbers
    ]


def _claim(
    tables: state.State, step: job.Step, count: int
) -> locality_wait.Claim:
    needs = tables.step_specification(step)
    first = tables.tasks[identity.TaskId(f'{step.step}.0')]
    return locality_wait.Claim(
        needs.demand(), count, near_room.duration_ms(tables, first)
    )


def _find_claims(tables: state.State, rack: str) -> list[locality_wait.Claim]:
    return [
        _claim(tables, tables.steps[waiting_step.step], waiting_step.tasks)
        for waiting_step in tables.waiting.near.claims.get(rack, ())
    ]


def _add_claim(
    tables: state.State, step: job.Step, rack: str, count: int
) -> None:
    """Let what is looked at later in the pass allow for tasks that wait."""
    claims = tables.waiting.near.claims.setdefault(rack, [])
    claims.append(waiting.WaitingStep(step.step, count))


def _find_failed_on(
    tasks: Iterable[job.Task],
) -> Collection[identity.TargetId]:
    """Return the targets that one of the tasks would use as a last resort."""
    records = itertools.chain.from_iterable(task.history for task in tasks)
    return {
        record.target
        for record in records
        if record.reason in job.AVOIDED_END_REASONS
    }


def _find_freest(tables: state.State, racks: list[str]) -> list[str]:
    """Return the racks with the most processor free, the first ones only."""
    if len(racks) <= _MAX_RACKS:
        return racks

    def order(rack: str) -> tuple[int, str]:
        loads = tables.fleet.in_rack(rack)
        free = sum(load.free.millicores for load in loads if load.is_open)
        return -free, rack

    return sorted(racks, key=order)[:_MAX_RACKS]


def _settle(
    tables: state.State,
    before: job.Step,
    decision: locality_wait.Decision | None,
    gained: int,
    left: int,
) -> None:
    """Update the wait of a step after its tasks were placed or held back.

    Without a decision, the tasks that waited and were not placed wait on.
    """
    had = before.near_wait_count
    if decision is None:
        count = min(left, max(0, had - gained))
    else:
        count = min(left, decision.count)
    step = tables.steps[before.step]
    if had:
        _report_end(tables, step, decision, gained, had - gained - count)
    if decision is not None and count > had:
        expected_ms = decision.expected_at - tables.time
        until_ms = decision.until - tables.time
        _report(
            tables, step, 'waited', expected_ms, tasks=count, until_ms=until_ms
        )
    _store(tables, step, decision, count, left)


def _report_end(
    tables: state.State,
    step: job.Step,
    decision: locality_wait.Decision | None,
    gained: int,
    given_up: int,
) -> None:
    """Report the tasks whose wait has ended with near room or without."""
    waited_ms = tables.time - step.near_wait_at
    if gained:
        _report(tables, step, 'gained', waited_ms, tasks=gained)
    if given_up > 0:
        reason = decision.reason.value if decision else ''
        _report(
            tables, step, 'gave_up', waited_ms, tasks=given_up, reason=reason
        )


def _store(
    tables: state.State,
    before: job.Step,
    decision: locality_wait.Decision | None,
    count: int,
    left: int,
) -> None:
    step = _change_span(tables, before, decision, count, left)
    step = msgspec.structs.replace(step, near_wait_count=count)
    if decision is not None and decision.count:
        step = msgspec.structs.replace(
            step,
            near_checked_at=tables.time,
            near_rack=decision.rack,
            near_open=near_room.look(tables, step, decision.rack).open_count,
        )
    if step != before:
        tables.steps[step.step] = step
    if count:
        _add_claim(tables, step, step.near_rack, count)


def _change_span(
    tables: state.State,
    step: job.Step,
    decision: locality_wait.Decision | None,
    count: int,
    left: int,
) -> job.Step:
    """Set when the wait of a step began and when it ends."""
    if not left:
        return msgspec.structs.replace(step, near_wait_at=0, near_wait_until=0)
    is_waiting = bool(step.near_wait_count)
    if decision is not None and count and not is_waiting:
        return msgspec.structs.replace(
            step, near_wait_at=tables.time, near_wait_until=decision.until
        )
    if is_waiting and not count:
        # Not to wait again before the tasks that are left have been placed.
        return msgspec.structs.replace(
            step, near_wait_at=0, near_wait_until=tables.time
        )
    return step


def _report(
    tables: state.State,
    step: job.Step,
    outcome: str,
    duration_ms: int,
    **inputs: int | str,
) -> None:
    """Add the timeline entry and the metrics sample of a decision."""
    needs = tables.step_specification(step)
    fields: dict[str, int | str] = {
        'ms': duration_ms,
        **inputs,
        'rack': needs.data_rack or 'any',
        'estimate_ms': needs.estimate_ms,
        'remote_permille': tables.remote_permille,
        'slack_ms': step.order - tables.time,
    }
    detail = f'{step.step}: {outcome} {effect.format_detail(fields)}'
    tables.emit(effect.Trace('near room', job=step.job, detail=detail))
    tables.emit(effect.Sample(f'near_wait_{outcome}', duration_ms))
