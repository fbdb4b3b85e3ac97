"""The state that the reducer owns: tables of records and their indexes.

Records are immutable and replaced whole. The tables are changed in place,
because copying maps of tens of thousands of records for each event would
cost more than the decisions; only the reducer and its helpers may do so.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TypeAlias

import msgspec
from sortedcontainers import SortedList

from . import (
    configuration,
    effect,
    fleet,
    identity,
    job,
    resource,
    target,
    waiting,
)

MAX_PATCH_RECORDS = 10_000
MAX_REFUSAL_RECORDS = 20_000
# Longer than an entry keeps a submission under way.
REFUSAL_RETENTION_MS = 30_000

Queues: TypeAlias = dict[str, configuration.Queue]


class PatchRecord(msgspec.Struct, frozen=True):
    """The first answer to a patch: its version, or why it was refused."""

    digest: str
    version: int
    refusal: str = ''
    detail: str = ''


@dataclasses.dataclass(slots=True)
class Refusal:
    """A refused submission, remembered for resends that come late."""

    digest: str
    reason: str
    detail: str
    at: int


@dataclasses.dataclass(slots=True)
class Reservation:
    """Targets kept for a gang; starts_at estimates when all are free."""

    job: identity.JobId
    targets: tuple[identity.TargetId, ...]
    starts_at: int
    made_at: int


@dataclasses.dataclass(slots=True)
class State:
    """Everything that is decided from.

    time is the latest event's, in milliseconds since 1970. budgets holds the
    retry tokens of each team in hundredths. requests finds the job of a team's
    request id. durations holds what a task of each queue takes, in
    microseconds. finished orders ended jobs by the time of their end.
    """

    time: int = 0
    sequence: int = 0
    configuration: configuration.Configuration = dataclasses.field(
        default_factory=lambda: configuration.Configuration(
            1, configuration.Document()
        )
    )
    jobs: dict[identity.JobId, job.Job] = dataclasses.field(
        default_factory=dict
    )
    tasks: dict[identity.TaskId, job.Task] = dataclasses.field(
        default_factory=dict
    )
    attempts: dict[identity.AttemptId, job.Attempt] = dataclasses.field(
        default_factory=dict
    )
    targets: dict[identity.TargetId, target.Target] = dataclasses.field(
        default_factory=dict
    )
    sessions: dict[identity.SessionId, target.Session] = dataclasses.field(
        default_factory=dict
    )
    budgets: dict[str, int] = dataclasses.field(default_factory=dict)
    patches: dict[str, PatchRecord] = dataclasses.field(default_factory=dict)
    reservation: Reservation | None = None
    steps: dict[identity.StepId, job.Step] = dataclasses.field(
        default_factory=dict
    )
    refusals: dict[tuple[str, str], Refusal] = dataclasses.field(
        default_factory=dict
    )
    durations: dict[str, int] = dataclasses.field(default_factory=dict)

    fleet: fleet.Fleet = dataclasses.field(default_factory=fleet.Fleet)
    waiting: waiting.WaitingTasks = dataclasses.field(
        default_factory=waiting.WaitingTasks
    )
    requests: dict[tuple[str, str], identity.JobId] = dataclasses.field(
        default_factory=dict
    )
    finished: SortedList = dataclasses.field(default_factory=SortedList)
    attempts_by_session: dict[identity.SessionId, set[identity.AttemptId]] = (
        dataclasses.field(default_factory=lambda: collections.defaultdict(set))
    )
    attempts_by_urgency: dict[job.Urgency, SortedList] = dataclasses.field(
        default_factory=lambda: {
            urgency: SortedList() for urgency in job.Urgency
        }
    )
    quarantined: SortedList = dataclasses.field(default_factory=SortedList)
    session_counts: collections.Counter[identity.TargetId] = dataclasses.field(
        default_factory=collections.Counter
    )
    urgency_usage: dict[job.Urgency, resource.Resources] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(job.Urgency, resource.NOTHING)
    )
    team_usage: dict[str, resource.Resources] = dataclasses.field(
        default_factory=dict
    )
    preempting_attempts: int = 0
    # Attempts of steps that have not started: when they were placed, and which.
    unconfirmed: SortedList = dataclasses.field(default_factory=SortedList)
    # The next occurrence of each job: when it is due, and the job.
    due: SortedList = dataclasses.field(default_factory=SortedList)
    # Live attempts of each step by target.
    step_loads: dict[
        identity.StepId, collections.Counter[identity.TargetId]
    ] = dataclasses.field(default_factory=dict)
    # Accepted jobs of each queue of which nothing has started.
    pending: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    # The queues of the routing in force, by name.
    queues: Queues = dataclasses.field(default_factory=dict)
    # The target that was last known at an address.
    addresses: dict[str, identity.TargetId] = dataclasses.field(
        default_factory=dict
    )
    # When the present leader began.
    leader_since: int = 0
    # Targets in a silence.
    silent: set[identity.TargetId] = dataclasses.field(default_factory=set)
    # Tasks of lasting steps that wait, whose start is not confirmed, or whose
    # target has another life.
    absent: set[identity.TaskId] = dataclasses.field(default_factory=set)
    effects: list[effect.Effect] = dataclasses.field(default_factory=list)

    def specification(self, task: job.Task) -> job.Specification:
        """Return the specification of a task's job."""
        return self.jobs[task.job].specification

    def task_specification(
        self, task: job.Task
    ) -> job.TaskSpecification | job.StepSpecification:
        """Return what a task needs."""
        specification = self.specification(task)
        if specification.kind is job.Kind.WORKFLOW:
            return specification.steps[task.step]
        return specification.tasks[task.number]

    def step_specification(self, step: job.Step) -> job.StepSpecification:
        """Return what each task of a step needs."""
        record = self.jobs[step.job]
        return record.specification.steps[step.number]

    def demand(self, task: job.Task) -> resource.Resources:
        """Return what a task is placed with: declared, or seen in use."""
        declared = self.task_specification(task).demand()
        if task.used_bytes <= declared.memory_bytes:
            return declared
        return msgspec.structs.replace(declared, memory_bytes=task.used_bytes)

    def next_sequence(self) -> int:
        """Return a number that was not used before."""
        self.sequence += 1
        return self.sequence

    def emit(self, emitted: effect.Effect) -> None:
        """Add an effect to those of the present event."""
        self.effects.append(emitted)


def add_attempt(state: State, attempt: job.Attempt) -> None:
    """Count a live attempt against its target, team and urgency."""
    task = state.tasks[attempt.task]
    specification = state.specification(task)
    state.attempts[attempt.attempt] = attempt
    state.attempts_by_session[attempt.session].add(attempt.attempt)
    state.attempts_by_urgency[specification.urgency].add(
        (attempt.placed_at, attempt.attempt)
    )
    if attempt.stopping is job.StopReason.PREEMPTED:
        state.preempting_attempts += 1
    if _is_unconfirmed(state, task, attempt):
        state.unconfirmed.add((attempt.placed_at, attempt.attempt))
    _count_of_step(state, task, attempt, 1)
    _account(state, attempt, specification, attempt.held)


def remove_attempt(state: State, attempt: job.Attempt) -> None:
    """Give back what an attempt held, its end being known."""
    task = state.tasks[attempt.task]
    specification = state.specification(task)
    state.attempts.pop(attempt.attempt)
    session_attempts = state.attempts_by_session[attempt.session]
    session_attempts.discard(attempt.attempt)
    state.attempts_by_urgency[specification.urgency].remove(
        (attempt.placed_at, attempt.attempt)
    )
    if attempt.stopping is job.StopReason.PREEMPTED:
        state.preempting_attempts -= 1
    state.unconfirmed.discard((attempt.placed_at, attempt.attempt))
    _count_of_step(state, task, attempt, -1)
    _account(
        state,
        attempt,
        specification,
        resource.subtract(resource.NOTHING, attempt.held),
    )


def replace_attempt(state: State, changed: job.Attempt) -> None:
    """Replace a live attempt by a later record of it."""
    present = state.attempts[changed.attempt]
    if changed.held == present.held and changed.stopping is present.stopping:
        # Nothing is accounted differently: the indexes stay as they are.
        state.attempts[changed.attempt] = changed
        if changed.started_at and state.unconfirmed:
            state.unconfirmed.discard((changed.placed_at, changed.attempt))
        return
    remove_attempt(state, present)
    add_attempt(state, changed)


def is_lasting(state: State, task: job.Task) -> bool:
    """Return whether a task is to run until its job is cancelled."""
    needs = state.task_specification(task)
    return getattr(needs, 'is_lasting', False)


def mark_absent(state: State, task: job.Task) -> None:
    """Note that a task does not run, if it is one that lasts."""
    if is_lasting(state, task):
        state.absent.add(task.task)


def _is_unconfirmed(state: State, task: job.Task, attempt: job.Attempt) -> bool:
    is_of_step = task.step_id() in state.steps
    return is_of_step and not attempt.started_at and attempt.stopping is None


def count_step_attempts(
    state: State, step: identity.StepId, target: identity.TargetId
) -> int:
    """Return how many live attempts of a step a target has."""
    loads = state.step_loads.get(step)
    return loads[target] if loads else 0


def _count_of_step(
    state: State, task: job.Task, attempt: job.Attempt, change: int
) -> None:
    name = task.step_id()
    if name not in state.steps:
        return
    loads = state.step_loads.setdefault(name, collections.Counter())
    loads[attempt.target] += change
    if not loads[attempt.target]:
        loads.pop(attempt.target)
    if not loads:
        state.step_loads.pop(name)


def is_probe(state: State, attempt: job.Attempt, health: target.Health) -> bool:
    """Return whether an attempt tells how a target does after quarantine.

    One that lasts tells nothing, for it does not complete.
    """
    if not health.level or attempt.placed_at < health.until:
        return False
    return not is_lasting(state, state.tasks[attempt.task])


def _account(
    state: State,
    attempt: job.Attempt,
    specification: job.Specification,
    held: resource.Resources,
) -> None:
    urgency = specification.urgency
    state.urgency_usage[urgency] = resource.add(
        state.urgency_usage[urgency], held
    )
    team = specification.team
    usage = resource.add(state.team_usage.get(team, resource.NOTHING), held)
    if usage == resource.NOTHING:
        state.team_usage.pop(team, None)
    else:
        state.team_usage[team] = usage
    load = state.fleet.loads[attempt.target]
    free = resource.subtract(load.free, held)
    if attempt.attempt in state.attempts:
        load.attempts.add(attempt.attempt)
        if is_probe(state, attempt, state.targets[attempt.target].health):
            load.trials.add(attempt.attempt)
    else:
        load.attempts.discard(attempt.attempt)
        load.trials.discard(attempt.attempt)
    state.fleet.update(load, free=free)
