"""Finds lasting tasks that are not running, since when, and why.

Only absent tasks and tasks on silent targets are inspected, so that a scan
stays cheap when there are many tasks while targets are lost, fall silent or
leave starts unconfirmed.
"""

from __future__ import annotations

import dataclasses
import enum

from . import absence_target, advice, fleet, identity, job, resource, state

# Users count lasting work as lost when it has not run for 3 s although there
# is room for it, so absences are reported before that.
REPORT_AFTER_MS = 2000
# Users count a task as having room only if it fits at least this many times.
MIN_FREE_SLOTS = 2
# End reasons that prove a start even if it was never reported.
REASONS_PROVING_START = frozenset(
    (job.EndReason.COMPLETED, job.EndReason.FAILED)
)

_FitKey = tuple[str, str, resource.Resources]


class Stage(enum.Enum):
    """What an absent task is waiting for."""

    RETRY_DELAYED = 'retry delayed'
    NO_ROOM = 'no target has room'
    NO_ALLOWED_ROOM = 'no allowed target has room'
    AWAITING_ADVICE = 'adviser has not answered'
    QUEUED = 'waits for its turn'
    START_UNCONFIRMED = 'start unconfirmed'
    STOP_UNCONFIRMED = 'stop unconfirmed'
    # The task may or may not be running on the silent target.
    TARGET_SILENT = 'end unproved on a silent target'


@dataclasses.dataclass(frozen=True, slots=True)
class Absence:
    """A lasting task that is not running; times in milliseconds since 1970.

    since is when the task last ran or, if it never has, when it was due to
    run first. stage_since is when it began to wait, when it was placed, or
    when its silent target was last heard from. attempt is the live attempt,
    or None. attempt_count counts all attempts, unstarted_count the most
    recent ones in a row that ended without a start; last_ended is the most
    recent attempt that has ended. free_slots is how many times the task fits
    on the open targets of its pool, regardless of the adviser, counted up to
    MIN_FREE_SLOTS. allowed_room is how many of the targets known to be
    allowed by the adviser, if there is one, have room for one task.
    """

    task: job.Task
    stage: Stage
    since: int
    stage_since: int
    attempt: job.Attempt | None
    attempt_count: int
    unstarted_count: int
    last_ended: job.AttemptRecord | None
    free_slots: int
    allowed_room: int

    def has_room(self) -> bool:
        """Return whether users would count the task as having room."""
        return self.free_slots >= MIN_FREE_SLOTS

    def is_room_elsewhere(self) -> bool:
        """Return whether there is room, but on no target known as allowed.

        Users count such a task as lost, though it cannot be placed.
        """
        return self.has_room() and not self.allowed_room


def find_absences(
    tables: state.State, now: int, longer_than_ms: int
) -> list[Absence]:
    """Return lasting tasks absent for longer than a time, longest first.

    now is the current time in milliseconds since 1970; it may be later than
    the latest event's. Tasks of cancelled or abandoned jobs are left out.
    """
    silent_since = _find_silent_targets(tables)
    scan = _AbsenceScan(tables, now, silent_since)
    names = tables.absent | _find_tasks_on_silent_targets(tables, silent_since)
    found = [
        scan.describe(tables.tasks[name], since)
        for name in names
        if _is_job_active(tables, tables.tasks[name])
        and now - (since := scan.absence_start(tables.tasks[name]))
        > longer_than_ms
    ]
    return sorted(found, key=lambda one: (one.since, one.task.task))


def absent_since(tables: state.State, task: job.Task) -> int:
    """Return since when a lasting task that waits or is placed is absent.

    A run counts until contact with it was lost, not until its end was
    confirmed. If the history no longer holds the last run, the result is
    when the oldest attempt in the history was placed.
    """
    for ended in reversed(task.history):
        if had_started(ended):
            return ended.lost_at or ended.ended_at
    if not task.history:
        return task.waiting_since
    needs = tables.step_specification(tables.steps[task.step_id()])
    if task.first_started_at or needs.after:
        return task.history[0].placed_at
    return task.submitted_at


def lost_at(tables: state.State, attempt: job.Attempt) -> int:
    """Return since when a started attempt may not be running, or zero.

    The target fell silent or was restarted; the time is when it was last
    heard from before that, or that of the start if it is later.
    """
    if not attempt.started_at or attempt.lost_at:
        return attempt.lost_at
    silence = tables.targets[attempt.target].silence
    if silence is None:
        return 0
    return max(silence.last_heard_at(), attempt.started_at)


def had_started(ended: job.AttemptRecord) -> bool:
    """Return whether an ended attempt had started."""
    return bool(ended.started_at) or ended.reason in REASONS_PROVING_START


class _AbsenceScan:
    """One scan of the absent tasks; caches what many of them share."""

    def __init__(
        self,
        tables: state.State,
        now: int,
        silent_since: dict[identity.TargetId, int],
    ) -> None:
        self._tables = tables
        self._now = now
        self._silent_since = silent_since
        self._fitting_targets: dict[_FitKey, list[fleet.TargetLoad]] = {}
        self._roomy_targets: dict[identity.StepId, list[fleet.TargetLoad]] = {}
        self._waiting_stages: dict[identity.StepId, Stage] = {}
        self._free_slots: dict[identity.StepId, int] = {}
        self._roomy_names: dict[
            identity.StepId, frozenset[identity.TargetId]
        ] = {}

    def absence_start(self, task: job.Task) -> int:
        """Return since when a task is absent."""
        if task.state is job.TaskState.RUNNING and task.attempt is not None:
            attempt = self._tables.attempts[task.attempt]
            return lost_at(self._tables, attempt)
        return absent_since(self._tables, task)

    def describe(self, task: job.Task, since: int) -> Absence:
        """Return the description of an absent task."""
        attempt = None
        if task.attempt is not None:
            attempt = self._tables.attempts[task.attempt]
        stage, stage_since = self._find_stage(task, attempt)
        step = self._tables.steps[task.step_id()]
        return Absence(
            task,
            stage,
            since,
            stage_since,
            attempt,
            task.attempts,
            _count_trailing_unstarted(task),
            task.history[-1] if task.history else None,
            self._free_slots_of(step),
            self._count_allowed_room(task, step),
        )

    def _find_stage(
        self, task: job.Task, attempt: job.Attempt | None
    ) -> tuple[Stage, int]:
        if attempt is None:
            if task.not_before > self._now:
                return Stage.RETRY_DELAYED, task.waiting_since
            step = self._tables.steps[task.step_id()]
            return self._waiting_stage(step), task.waiting_since
        silent_since = self._silent_since.get(attempt.target)
        if silent_since is not None:
            return Stage.TARGET_SILENT, max(silent_since, attempt.placed_at)
        if attempt.stopping is not None:
            return Stage.STOP_UNCONFIRMED, attempt.lost_at or attempt.placed_at
        return Stage.START_UNCONFIRMED, attempt.placed_at

    def _waiting_stage(self, step: job.Step) -> Stage:
        stage = self._waiting_stages.get(step.step)
        if stage is None:
            stage = self._find_waiting_stage(step)
            self._waiting_stages[step.step] = stage
        return stage

    def _find_waiting_stage(self, step: job.Step) -> Stage:
        roomy = self._targets_with_room(step)
        if not roomy:
            return Stage.NO_ROOM
        record = self._tables.jobs[step.job]
        if record.specification.advice is None:
            return Stage.QUEUED
        valid = advice.find_valid_tickets(self._tables, step)
        if any(load.target in valid for load in roomy):
            return Stage.QUEUED
        barred = set(step.barred)
        if all(load.target in barred for load in roomy):
            return Stage.NO_ALLOWED_ROOM
        if advice.is_request_pending(self._tables, step):
            return Stage.AWAITING_ADVICE
        return Stage.QUEUED

    def _targets_with_room(self, step: job.Step) -> list[fleet.TargetLoad]:
        """Return the open targets with room for one more task of a step."""
        roomy = self._roomy_targets.get(step.step)
        if roomy is None:
            roomy = self._find_targets_with_room(step)
            self._roomy_targets[step.step] = roomy
        return roomy

    def _find_targets_with_room(self, step: job.Step) -> list[fleet.TargetLoad]:
        needs = self._tables.step_specification(step)
        record = self._tables.jobs[step.job]
        pool = record.specification.pool
        key = (pool, needs.label, needs.demand())
        if key not in self._fitting_targets:
            self._fitting_targets[key] = [
                load
                for load in self._tables.fleet.most_free(needs.demand())
                if load.matches(pool, needs.label)
            ]
        if not needs.per_target_limit:
            return self._fitting_targets[key]
        return [
            load
            for load in self._fitting_targets[key]
            if self._remaining_on(step, needs, load)
        ]

    def _count_allowed_room(self, task: job.Task, step: job.Step) -> int:
        roomy = self._roomy_names.get(step.step)
        if roomy is None:
            loads = self._targets_with_room(step)
            roomy = frozenset(load.target for load in loads)
            self._roomy_names[step.step] = roomy
        allowed = absence_target.find_allowed(self._tables, task)
        return len(roomy) if allowed is None else len(roomy & allowed)

    def _free_slots_of(self, step: job.Step) -> int:
        slots = self._free_slots.get(step.step)
        if slots is None:
            slots = self._count_free_slots(step)
            self._free_slots[step.step] = slots
        return slots

    def _count_free_slots(self, step: job.Step) -> int:
        needs = self._tables.step_specification(step)
        required = resource.multiply(needs.demand(), MIN_FREE_SLOTS)
        slots = 0
        for load in self._targets_with_room(step):
            is_sufficient = (
                resource.fits(required, load.free) and not load.is_on_probation
            )
            remaining = self._remaining_on(step, needs, load)
            slots += min(remaining, MIN_FREE_SLOTS if is_sufficient else 1)
            if slots >= MIN_FREE_SLOTS:
                return MIN_FREE_SLOTS
        return slots

    def _remaining_on(
        self,
        step: job.Step,
        needs: job.StepSpecification,
        load: fleet.TargetLoad,
    ) -> int:
        """Return how many more tasks of a step its limit allows on a target."""
        if not needs.per_target_limit:
            return MIN_FREE_SLOTS
        loads = self._tables.step_loads.get(step.step)
        live_count = loads[load.target] if loads else 0
        return max(0, needs.per_target_limit - live_count)


def _find_silent_targets(tables: state.State) -> dict[identity.TargetId, int]:
    """Return when each silent target was last heard from."""
    return {
        record.target: record.silence.last_heard_at()
        for record in tables.targets.values()
        if record.silence is not None
    }


def _find_tasks_on_silent_targets(
    tables: state.State, silent: dict[identity.TargetId, int]
) -> set[identity.TaskId]:
    """Return the lasting tasks with a started attempt on a silent target."""
    attempts = (
        tables.attempts[name]
        for target in silent
        for name in tables.fleet.loads[target].attempts
    )
    return {
        one.task
        for one in attempts
        if one.started_at and state.is_lasting(tables, tables.tasks[one.task])
    }


def _is_job_active(tables: state.State, task: job.Task) -> bool:
    record = tables.jobs[task.job]
    return not (record.is_cancelled or record.is_abandoned)


def _count_trailing_unstarted(task: job.Task) -> int:
    count = 0
    for ended in reversed(task.history):
        if had_started(ended):
            return count
        count += 1
    return count
