"""Lasting tasks that do not run: since when, and at which stage they are.

The load that this answers: many tasks, some of which last, while targets are
lost, fall silent and leave starts without an answer. Only tasks that are
absent, and what runs on silent targets, are looked at.
"""

from __future__ import annotations

import dataclasses
import enum

from . import advice, fleet, identity, job, resource, state

# Users count lasting work as lost after 3 s without a run while there is room.
REPORT_AFTER_MS = 2000
# Users count room only where the work fits so often.
MIN_FREE_SLOTS = 2
# Ends that prove a start which was not reported.
REASONS_PROVING_START = frozenset(
    (job.EndReason.COMPLETED, job.EndReason.FAILED)
)

_Needs = tuple[str, str, resource.Resources]


class Stage(enum.Enum):
    """What has to come next before a task runs again."""

    RETRY_DELAYED = 'retry delayed'
    NO_ROOM = 'no target has room'
    NO_ALLOWED_ROOM = 'no allowed target has room'
    AWAITING_ADVICE = 'adviser has not answered'
    QUEUED = 'waits for its turn'
    START_UNCONFIRMED = 'start unconfirmed'
    STOP_UNCONFIRMED = 'stop unconfirmed'
    # The target is silent: the work may run there or not.
    TARGET_SILENT = 'end unproved on a silent target'


@dataclasses.dataclass(frozen=True, slots=True)
class Absence:
    """A lasting task that does not run; times in milliseconds since 1970.

    since is when it last ran or was first to run, stage_since when it began
    to wait or was placed, or its silent target was last heard. attempt is
    the live one, or None. runs counts the attempts, unstarted those of the
    latest that ended without a start; last is the last that has ended. room
    tells how often the task fits on the open targets of its pool, whatever
    the adviser says; it is counted up to MIN_FREE_SLOTS.
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

    def has_room(self) -> bool:
        """Return whether the task could run, as the users count."""
        return self.free_slots >= MIN_FREE_SLOTS


def find_absences(tables: state.State, now: int, over_ms: int) -> list[Absence]:
    """Return the lasting tasks absent for longer, the longest first.

    now is the time for events, which passes while no event comes. Tasks of
    jobs that are called off are left out.
    """
    silent_since = _find_silent(tables)
    absences = _Absences(tables, now, silent_since)
    names = tables.absent | _find_unproved(tables, silent_since)
    found = [
        absences.describe(tables.tasks[name], since)
        for name in names
        if _is_wanted(tables, tables.tasks[name])
        and now - (since := absences.begin_of(tables.tasks[name])) > over_ms
    ]
    return sorted(found, key=lambda one: (one.since, one.task.task))


def absent_since(tables: state.State, task: job.Task) -> int:
    """Return since when a lasting task that waits or is placed is absent.

    A run counts until it was lost, not until the proof of its end. Of a task
    whose last run is no longer kept, it is the placement of the oldest
    attempt that is.
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
    """Return from when on a started attempt is not known to run, or zero.

    Its target has been silent since, or another life of it is there.
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


class _Absences:
    """One look at the absent tasks; what holds for many is found once."""

    def __init__(
        self,
        tables: state.State,
        now: int,
        silent_since: dict[identity.TargetId, int],
    ) -> None:
        self._tables = tables
        self._now = now
        self._silent_since = silent_since
        self._fitting: dict[_Needs, list[fleet.TargetLoad]] = {}
        self._rooms: dict[identity.StepId, list[fleet.TargetLoad]] = {}
        self._stages: dict[identity.StepId, Stage] = {}

    def begin_of(self, task: job.Task) -> int:
        """Return since when a task is absent."""
        if task.state is job.TaskState.RUNNING and task.attempt is not None:
            attempt = self._tables.attempts[task.attempt]
            return lost_at(self._tables, attempt)
        return absent_since(self._tables, task)

    def describe(self, task: job.Task, since: int) -> Absence:
        """Return what is known of a task that is absent."""
        attempt = None
        if task.attempt is not None:
            attempt = self._tables.attempts[task.attempt]
        stage, stage_since = self._stage_of(task, attempt)
        step = self._tables.steps[task.step_id()]
        return Absence(
            task,
            stage,
            since,
            stage_since,
            attempt,
            task.attempts,
            _count_unstarted(task),
            task.history[-1] if task.history else None,
            self._count_room(step),
        )

    def _stage_of(
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
        stage = self._stages.get(step.step)
        if stage is None:
            stage = self._find_waiting_stage(step)
            self._stages[step.step] = stage
        return stage

    def _find_waiting_stage(self, step: job.Step) -> Stage:
        room = self._room_of(step)
        if not room:
            return Stage.NO_ROOM
        record = self._tables.jobs[step.job]
        if record.specification.advice is None:
            return Stage.QUEUED
        valid = advice.find_valid_tickets(self._tables, step)
        if any(load.target in valid for load in room):
            return Stage.QUEUED
        barred = set(step.barred)
        if all(load.target in barred for load in room):
            return Stage.NO_ALLOWED_ROOM
        if advice.is_request_pending(self._tables, step):
            return Stage.AWAITING_ADVICE
        return Stage.QUEUED

    def _room_of(self, step: job.Step) -> list[fleet.TargetLoad]:
        """Return the open targets that could take one more of a step."""
        room = self._rooms.get(step.step)
        if room is None:
            room = self._find_room(step)
            self._rooms[step.step] = room
        return room

    def _find_room(self, step: job.Step) -> list[fleet.TargetLoad]:
        needs = self._tables.step_specification(step)
        record = self._tables.jobs[step.job]
        pool = record.specification.pool
        key = (pool, needs.label, needs.demand())
        if key not in self._fitting:
            self._fitting[key] = [
                load
                for load in self._tables.fleet.most_free(needs.demand())
                if load.matches(pool, needs.label)
            ]
        if not needs.per_target_limit:
            return self._fitting[key]
        return [
            load
            for load in self._fitting[key]
            if self._left_on(step, needs, load)
        ]

    def _count_room(self, step: job.Step) -> int:
        needs = self._tables.step_specification(step)
        twice = resource.multiply(needs.demand(), MIN_FREE_SLOTS)
        room = 0
        for load in self._room_of(step):
            is_wide = (
                resource.fits(twice, load.free) and not load.is_on_probation
            )
            left = self._left_on(step, needs, load)
            room += min(left, MIN_FREE_SLOTS if is_wide else 1)
            if room >= MIN_FREE_SLOTS:
                return MIN_FREE_SLOTS
        return room

    def _left_on(
        self,
        step: job.Step,
        needs: job.StepSpecification,
        load: fleet.TargetLoad,
    ) -> int:
        """Return how many more of a step its limit allows on a target."""
        if not needs.per_target_limit:
            return MIN_FREE_SLOTS
        loads = self._tables.step_loads.get(step.step)
        present = loads[load.target] if loads else 0
        return max(0, needs.per_target_limit - present)


def _find_silent(tables: state.State) -> dict[identity.TargetId, int]:
    """Return the silent targets, and when each was last heard."""
    return {
        record.target: record.silence.last_heard_at()
        for record in tables.targets.values()
        if record.silence is not None
    }


def _find_unproved(
    tables: state.State, silent: dict[identity.TargetId, int]
) -> set[identity.TaskId]:
    """Return the lasting tasks that are said to run on silent targets."""
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


def _is_wanted(tables: state.State, task: job.Task) -> bool:
    record = tables.jobs[task.job]
    return not (record.is_cancelled or record.is_abandoned)


def _count_unstarted(task: job.Task) -> int:
    count = 0
    for ended in reversed(task.history):
        if had_started(ended):
            return count
        count += 1
    return count
