"""The state owned by the reducer: tables of records and their indexes.

Records are immutable and replaced as a whole. The tables are changed in
place, because copying maps of tens of thousands of records for each event
would cost more than the decisions; only the reducer and the functions it calls
may change them.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TypeAlias

import msgspec
from sortedcontainers import SortedList

from . import (
    configuration,
    declared,
    early_cancellation,
    effect,
    fleet,
    identity,
    job,
    locality_wait,
    rate_window,
    resource,
    review,
    target,
    team_work,
    token_bucket,
    waiting,
    work_counter,
)

MAX_PATCH_RECORDS = 10_000
MAX_REFUSAL_RECORDS = 20_000
REFUSAL_RETENTION_MS = job.COPY_WINDOW_MS

Queues: TypeAlias = dict[str, configuration.Queue]
Teams: TypeAlias = dict[str, configuration.Team]
# Jobs by their end time, in milliseconds since 1970.
EndIndex: TypeAlias = 'SortedList[tuple[int, identity.JobId]]'


class PatchRecord(msgspec.Struct, frozen=True):
    """The first answer to a patch: the resulting version, or the refusal."""

    digest: str
    version: int
    refusal: str = ''
    detail: str = ''


class RefusedRequest(msgspec.Struct, frozen=True, gc=False):
    """The mark of a request that was answered with a refusal, and when."""

    request: str
    at: int


@dataclasses.dataclass(slots=True)
class Refusal:
    """A refused submission, remembered to answer late resends of it.

    at is when it was last given to a new request. From retry_at on, requests
    other than those listed are decided anew; zero for never.
    """

    digest: str
    reason: str
    detail: str
    at: int
    retry_at: int = 0
    requests: tuple[RefusedRequest, ...] = ()


@dataclasses.dataclass(slots=True)
class Reservation:
    """Targets reserved for a gang; starts_at estimates when all are free."""

    job: identity.JobId
    targets: tuple[identity.TargetId, ...]
    starts_at: int
    made_at: int


class WithheldRoom(msgspec.Struct, frozen=True):
    """Room on a target that is kept for a lasting task."""

    task: identity.TaskId
    target: identity.TargetId


@dataclasses.dataclass(slots=True)
class State:
    """All data on which decisions are based.

    time is that of the latest event, in milliseconds since 1970. budgets holds
    the retry tokens of each team in hundredths. requests maps a team and its
    request id to the job. durations holds the typical duration of a task in
    each queue, in microseconds. finished holds ended jobs by end time.
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
    # Cancels of jobs that are not known.
    early_cancellations: early_cancellation.EarlyCancellations = (
        dataclasses.field(default_factory=early_cancellation.EarlyCancellations)
    )
    # Targets whose session ended after they announced that they leave, in the
    # order in which they left.
    departed: dict[identity.TargetId, target.Departure] = dataclasses.field(
        default_factory=dict
    )
    # Targets without a session that leave, in the order of their announcements.
    leaving_unregistered: dict[
        identity.TargetId, target.UnregisteredDeparture
    ] = dataclasses.field(default_factory=dict)
    # Room for lasting tasks, and when it was last chosen.
    withheld: tuple[WithheldRoom, ...] = ()
    withheld_at: int = 0
    # Of each team with an agreed rate that has submitted a job.
    team_rates: dict[str, token_bucket.Bucket] = dataclasses.field(
        default_factory=dict
    )

    # Work completed of late in each pool, in millicores times milliseconds.
    completed_work: dict[str, rate_window.RateWindow] = dataclasses.field(
        default_factory=dict
    )
    # Targets on which an attempt has ended since the last scheduling pass.
    freed: set[identity.TargetId] = dataclasses.field(default_factory=set)
    # Teams whose work of an urgency is refused earlier, see overload.py.
    overloaded: set[work_counter.Key] = dataclasses.field(default_factory=set)

    fleet: fleet.Fleet = dataclasses.field(default_factory=fleet.Fleet)
    waiting: waiting.WaitingTasks = dataclasses.field(
        default_factory=waiting.WaitingTasks
    )
    work: work_counter.WorkCounter = dataclasses.field(
        default_factory=work_counter.WorkCounter
    )
    requests: dict[tuple[str, str], identity.JobId] = dataclasses.field(
        default_factory=dict
    )
    finished: EndIndex = dataclasses.field(default_factory=SortedList)
    # Those of the finished jobs whose tasks are to be deleted, by end time.
    detailed: EndIndex = dataclasses.field(default_factory=SortedList)
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
    # Attempts of steps whose start is not confirmed, by placement time.
    unconfirmed: SortedList = dataclasses.field(default_factory=SortedList)
    # Due time of the next occurrence of each job, and the job.
    due: SortedList = dataclasses.field(default_factory=SortedList)
    # Number of live attempts of each step on each target.
    step_loads: dict[
        identity.StepId, collections.Counter[identity.TargetId]
    ] = dataclasses.field(default_factory=dict)
    # Number of accepted jobs of each queue that have not started.
    pending: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    team_work: team_work.TeamWork = dataclasses.field(
        default_factory=team_work.TeamWork
    )
    # Queues of the current routing by name.
    queues: Queues = dataclasses.field(default_factory=dict)
    # Teams of the current routing by name, and the limits of those with any.
    teams: Teams = dataclasses.field(default_factory=dict)
    team_limits: dict[str, resource.Resources] = dataclasses.field(
        default_factory=dict
    )
    # Declared amounts of the live attempts of each team.
    team_held: dict[str, resource.Resources] = dataclasses.field(
        default_factory=dict
    )
    # The last known target at each address.
    addresses: dict[str, identity.TargetId] = dataclasses.field(
        default_factory=dict
    )
    # When the current leader began its term.
    leader_since: int = 0
    # Duration of a task away from its data, in permille of that near it.
    remote_permille: int = locality_wait.NO_SLOWDOWN
    # Targets that have missed lease renewals (see target.Silence).
    silent: set[identity.TargetId] = dataclasses.field(default_factory=set)
    # Tasks of lasting steps that wait, whose start is not confirmed, or whose
    # target has restarted since.
    absent: set[identity.TaskId] = dataclasses.field(default_factory=set)
    # Live attempts beside another attempt that runs, or has completed, the
    # same task.
    copies: set[identity.AttemptId] = dataclasses.field(default_factory=set)
    reviews: review.Reviews = dataclasses.field(default_factory=review.Reviews)
    effects: list[effect.Effect] = dataclasses.field(default_factory=list)

    def specification(self, task: job.Task) -> job.Specification:
        """Return the specification of a task's job."""
        return self.jobs[task.job].specification

    def task_specification(
        self, task: job.Task
    ) -> job.TaskSpecification | job.StepSpecification:
        """Return the specification of what a task needs."""
        specification = self.specification(task)
        if specification.kind is job.Kind.WORKFLOW:
            return specification.steps[task.step]
        return specification.tasks[task.number]

    def step_specification(self, step: job.Step) -> job.StepSpecification:
        """Return the specification of a step."""
        record = self.jobs[step.job]
        return record.specification.steps[step.number]

    def demand(self, task: job.Task) -> resource.Resources:
        """Return the declared amounts, raised to the memory that was used."""
        declared = self.task_specification(task).demand()
        if task.used_bytes <= declared.memory_bytes:
            return declared
        return msgspec.structs.replace(declared, memory_bytes=task.used_bytes)

    def next_sequence(self) -> int:
        """Return the next unused sequence number."""
        self.sequence += 1
        return self.sequence

    def emit(self, requested: effect.Effect) -> None:
        """Add an effect to those of the current event."""
        self.effects.append(requested)


def add_attempt(state: State, attempt: job.Attempt) -> None:
    """Add a live attempt; charge it to its target, team and urgency."""
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
    _adjust_step_load(state, task, attempt, 1)
    amount = declared.amounts(state.task_specification(task))
    adjust_held(state, specification.team, amount)
    _charge(state, attempt, specification, attempt.held)


def remove_attempt(state: State, attempt: job.Attempt) -> None:
    """Remove an ended attempt and release the resources it held."""
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
    _adjust_step_load(state, task, attempt, -1)
    amount = declared.amounts(state.task_specification(task))
    adjust_held(
        state,
        specification.team,
        resource.subtract(resource.NOTHING, amount),
    )
    _charge(
        state,
        attempt,
        specification,
        resource.subtract(resource.NOTHING, attempt.held),
    )


def replace_attempt(state: State, changed: job.Attempt) -> None:
    """Replace the record of a live attempt."""
    current = state.attempts[changed.attempt]
    if changed.held == current.held and changed.stopping is current.stopping:
        # No other field affects the usage totals or the remaining indexes.
        state.attempts[changed.attempt] = changed
        if changed.started_at and state.unconfirmed:
            state.unconfirmed.discard((changed.placed_at, changed.attempt))
        return
    remove_attempt(state, current)
    add_attempt(state, changed)


def adjust_held(state: State, team: str, amount: resource.Resources) -> None:
    """Add an amount to what a team holds; it may be negative."""
    held = resource.add(state.team_held.get(team, resource.NOTHING), amount)
    if held == resource.NOTHING:
        state.team_held.pop(team, None)
    else:
        state.team_held[team] = held


def is_lasting(state: State, task: job.Task) -> bool:
    """Return whether a task runs until its job is cancelled."""
    needs = state.task_specification(task)
    return getattr(needs, 'is_lasting', False)


def mark_absent(state: State, task: job.Task) -> None:
    """Record a task of a lasting step as not running."""
    if is_lasting(state, task):
        state.absent.add(task.task)


def _is_unconfirmed(state: State, task: job.Task, attempt: job.Attempt) -> bool:
    is_of_step = task.step_id() in state.steps
    return is_of_step and not attempt.started_at and attempt.stopping is None


def count_step_attempts(
    state: State, step: identity.StepId, target: identity.TargetId
) -> int:
    """Return the number of live attempts of a step on a target."""
    loads = state.step_loads.get(step)
    return loads[target] if loads else 0


def _adjust_step_load(
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


def count_held(state: State, attempt: job.Attempt, millicores: int) -> None:
    """Count what an attempt of a team's work holds, unless it lasts."""
    task = state.tasks[attempt.task]
    if state.configuration.routing.teams and not is_lasting(state, task):
        specification = state.specification(task)
        state.work.hold(specification.pool, specification.team, millicores)


def is_trial(state: State, attempt: job.Attempt, health: target.Health) -> bool:
    """Return whether an attempt is a trial of a target after its quarantine.

    An attempt of a lasting step is none, because it does not complete.
    """
    if not health.level or attempt.placed_at < health.until:
        return False
    return not is_lasting(state, state.tasks[attempt.task])


def _charge(
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
    count_held(state, attempt, held.millicores)
    load = state.fleet.loads[attempt.target]
    free = resource.subtract(load.free, held)
    if attempt.attempt in state.attempts:
        load.attempts.add(attempt.attempt)
        if is_trial(state, attempt, state.targets[attempt.target].health):
            load.trials.add(attempt.attempt)
    else:
        load.attempts.discard(attempt.attempt)
        load.trials.discard(attempt.attempt)
    state.fleet.update(load, free=free)
