"""Records of jobs, tasks and attempts."""

from __future__ import annotations

import enum
from types import MappingProxyType
from typing import Annotated, NamedTuple

import msgspec

from . import identity, resource

# Integers in the log are signed 64-bit.
MAX_INT64 = 9_223_372_036_854_775_807
MAX_TASKS = 5000
MAX_NAME_LENGTH = 128
MAX_PAYLOAD_LENGTH = 65_536
# All answers of a job together, in characters.
MAX_ANSWERS_LENGTH = 16_777_216
MAX_RUN_MS = 604_800_000
MAX_MILLICORES = 1_000_000
MAX_MEMORY_BYTES = 1_125_899_906_842_624
MAX_ACCELERATORS = 1024
MAX_STEPS = 64
MAX_OCCURRENCES = 100_000
MAX_LABEL_LENGTH = 256
# Longer than a copy of a submission is under way: at an entry, on a link, or
# sent again by its caller.
COPY_WINDOW_MS = 30_000

Name = Annotated[
    str,
    msgspec.Meta(
        min_length=1, max_length=MAX_NAME_LENGTH, pattern='^[A-Za-z0-9._:@/-]+$'
    ),
]

Int64 = Annotated[int, msgspec.Meta(ge=-MAX_INT64, le=MAX_INT64)]


class Kind(enum.StrEnum):
    """How the tasks of a job are placed."""

    SERVICE = 'service'
    BATCH = 'batch'
    GANG = 'gang'
    REQUEST = 'request'
    WORKFLOW = 'workflow'


class Urgency(enum.StrEnum):
    """Which work goes first; members are in order, most urgent first."""

    CRITICAL = 'critical'
    HIGH = 'high'
    NORMAL = 'normal'
    LOW = 'low'


class JobState(enum.StrEnum):
    """State of a job; all but the first two are final."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNKNOWN = 'unknown'


class TaskState(enum.StrEnum):
    """State of a task; all but the first four are final.

    A blocked task waits for earlier steps of its job to complete.
    """

    BLOCKED = 'blocked'
    WAITING = 'waiting'
    PLACED = 'placed'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNKNOWN = 'unknown'


FINAL_TASK_STATES = frozenset(
    (
        TaskState.COMPLETED,
        TaskState.FAILED,
        TaskState.CANCELLED,
        TaskState.UNKNOWN,
    )
)


class EndReason(enum.StrEnum):
    """Why an attempt ended."""

    COMPLETED = 'completed'
    FAILED = 'failed'
    STOPPED = 'stopped'
    NEVER_STARTED = 'never_started'
    SESSION_LOST = 'session_lost'
    ANSWER_TOO_LARGE = 'answer_too_large'
    # The target's lease expired while the attempt was on it.
    LEASE_LAPSED = 'lease_lapsed'
    # Another member of the gang ended.
    GANG_BROKEN = 'gang_broken'
    # The other members of the gang did not start in time.
    GANG_INCOMPLETE = 'gang_incomplete'
    # The target reported itself unhealthy and refused the start.
    REFUSED = 'refused'
    # The target did not execute the start before the deadline of the start.
    START_EXPIRED = 'start_expired'


# End reasons of attempts that never ran.
NEVER_RAN_REASONS = frozenset(
    (EndReason.NEVER_STARTED, EndReason.REFUSED, EndReason.START_EXPIRED)
)
# End reasons after which a task is placed elsewhere where possible.
AVOIDED_END_REASONS = NEVER_RAN_REASONS | {
    EndReason.FAILED,
    EndReason.SESSION_LOST,
    EndReason.LEASE_LAPSED,
}


class StopReason(enum.StrEnum):
    """Why an attempt is being stopped."""

    CANCELLED = 'cancelled'
    PREEMPTED = 'preempted'
    RECALLED = 'recalled'
    OVERUSED = 'overused'
    OVERDUE = 'overdue'
    # The job has failed, so its remaining work is not needed.
    ABANDONED = 'abandoned'
    # Another member of the gang has ended or never started.
    GANG_BROKEN = 'gang_broken'
    # The target leaves before the task would end.
    EVACUATED = 'evacuated'
    # Another lasting task can run on no other target.
    RELOCATED = 'relocated'
    # The target has not confirmed the start in time.
    UNCONFIRMED = 'unconfirmed'
    # The other live attempt of the task has completed it.
    SUPERSEDED = 'superseded'
    # A copy is as late as the attempt that it was to overtake.
    LATE_COPY = 'late_copy'


class TaskSpecification(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, gc=False
):
    """What one task needs; the payload is opaque to the scheduler."""

    millicores: Annotated[int, msgspec.Meta(ge=1, le=MAX_MILLICORES)]
    memory_bytes: Annotated[int, msgspec.Meta(ge=0, le=MAX_MEMORY_BYTES)]
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS)] = 0
    estimate_ms: Annotated[int, msgspec.Meta(ge=1, le=MAX_RUN_MS)] = 60_000
    payload: Annotated[str, msgspec.Meta(max_length=MAX_PAYLOAD_LENGTH)] = ''

    def demand(self) -> resource.Resources:
        """Return the amounts that the task declares, one slot included."""
        return resource.Resources(
            self.millicores, self.memory_bytes, self.accelerators, slots=1
        )


class StepSpecification(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, gc=False
):
    """One step of a workflow: several tasks with the same requirements.

    after names earlier steps, counted from zero, whose tasks must all have
    completed. A task runs only on a target that has the label. At most
    per_target_limit tasks of the step run on one target, zero for no limit. A
    lasting step runs until the job is cancelled; the scheduler may take down
    at most planned_absences of its tasks at once. A filler's processor is not
    counted against a target: it uses what other tasks leave idle.
    """

    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)]
    millicores: Annotated[int, msgspec.Meta(ge=0, le=MAX_MILLICORES)] = 0
    memory_bytes: Annotated[int, msgspec.Meta(ge=0, le=MAX_MEMORY_BYTES)] = 0
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS)] = 0
    estimate_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_RUN_MS)] = 0
    after: tuple[Int64, ...] = ()
    is_gang: bool = msgspec.field(name='gang', default=False)
    is_checkpointing: bool = msgspec.field(name='checkpointing', default=False)
    is_lasting: bool = msgspec.field(name='lasting', default=False)
    is_filler: bool = msgspec.field(name='filler', default=False)
    is_speculative: bool = msgspec.field(name='speculative', default=False)
    is_rack_local: bool = msgspec.field(name='rack_local', default=False)
    label: Annotated[str, msgspec.Meta(max_length=MAX_LABEL_LENGTH)] = ''
    data_rack: Annotated[str, msgspec.Meta(max_length=MAX_LABEL_LENGTH)] = ''
    per_target_limit: Annotated[int, msgspec.Meta(ge=0, le=MAX_TASKS)] = 0
    image: Annotated[str, msgspec.Meta(max_length=MAX_LABEL_LENGTH)] = ''
    latency_target_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_RUN_MS)] = 0
    planned_absences: Annotated[int, msgspec.Meta(ge=0, le=MAX_TASKS)] = 0

    def demand(self) -> resource.Resources:
        """Return the resources that one task takes of a target."""
        return resource.Resources(
            0 if self.is_filler else self.millicores,
            self.memory_bytes,
            self.accelerators,
            slots=1,
        )


class AdviceSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, gc=False
):
    """Timing of a queue's adviser.

    An answer takes decision_ms plus per_target_us for each target asked about,
    and is valid for valid_ms.
    """

    decision_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_RUN_MS)]
    per_target_us: Annotated[int, msgspec.Meta(ge=0, le=MAX_RUN_MS)]
    valid_ms: Annotated[int, msgspec.Meta(ge=1, le=MAX_RUN_MS)]


class Recurrence(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, gc=False
):
    """When the steps run: occurrence K is due at first_at + K interval_ms."""

    first_at: Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]
    interval_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_RUN_MS)]
    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_OCCURRENCES)]


class Specification(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, gc=False
):
    """A job as its caller submits it.

    A workflow has steps, every other kind has tasks. job is an identifier
    chosen by the caller. queue and pool say where a workflow's tasks may run;
    max_failures is zero for the configured limit. The objective of a workflow
    is slack_percent of its critical path, plus objective_ms.
    """

    request_id: Name
    team: Name
    kind: Kind
    tasks: Annotated[
        tuple[TaskSpecification, ...],
        msgspec.Meta(max_length=MAX_TASKS),
    ] = ()
    urgency: Urgency = Urgency.NORMAL
    is_idempotent: bool = msgspec.field(name='idempotent', default=True)
    steps: Annotated[
        tuple[StepSpecification, ...], msgspec.Meta(max_length=MAX_STEPS)
    ] = ()
    job: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)] = ''
    queue: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)] = ''
    pool: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)] = ''
    payload: Annotated[str, msgspec.Meta(max_length=MAX_PAYLOAD_LENGTH)] = ''
    max_failures: Annotated[int, msgspec.Meta(ge=0, le=MAX_TASKS)] = 0
    objective_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_RUN_MS)] = 0
    slack_percent: Annotated[int, msgspec.Meta(ge=0, le=MAX_TASKS)] = 100
    advice: AdviceSettings | None = None
    recurrence: Recurrence | None = None

    def count_tasks(self) -> int:
        """Return the number of tasks in one occurrence of the job."""
        if self.kind is Kind.WORKFLOW:
            return sum(step.count for step in self.steps)
        return len(self.tasks)

    def count_occurrences(self) -> int:
        """Return how often the steps run."""
        return self.recurrence.count if self.recurrence else 1


class AttemptRecord(msgspec.Struct, frozen=True, gc=False):
    """One ended attempt of a task, kept to explain the task's history.

    lost_at is when it stopped being known to run, if that was before its end,
    and zero otherwise.
    """

    attempt: identity.AttemptId
    target: identity.TargetId
    placed_at: int
    started_at: int
    ended_at: int
    reason: EndReason
    detail: str
    lost_at: int = 0


class Attempt(msgspec.Struct, frozen=True, gc=False):
    """A live attempt, which holds capacity until its end is known.

    started_at is zero until the target has confirmed the start. held is the
    larger of the declared and the reported amounts. number counts the attempts
    of the task; members of a gang share it. If the target has restarted since,
    lost_at is the last contact with its earlier incarnation, otherwise zero.
    stopping_at is when the stop was decided, zero before; snapshots of
    earlier versions do not have it.
    """

    attempt: identity.AttemptId
    task: identity.TaskId
    session: identity.SessionId
    target: identity.TargetId
    held: resource.Resources
    placed_at: int
    started_at: int = 0
    stopping: StopReason | None = None
    is_throttled: bool = False
    ticket: str = ''
    number: int = 0
    lost_at: int = 0
    stopping_at: int = 0


class Task(msgspec.Struct, frozen=True, gc=False):
    """One task of a job. Times are milliseconds since 1970, zero for none.

    not_before is the earliest time of a retry. failures counts the failures
    that count towards the retry limit and are charged to the team's budget,
    losses the targets that were lost while they ran the task. used_bytes is
    the most memory an ended attempt held, if that was more than declared. copy
    is the second live attempt of a task of a speculative step; there is one
    only beside another attempt. copies counts the copies that may have run.
    """

    task: identity.TaskId
    job: identity.JobId
    number: int
    state: TaskState
    submitted_at: int
    waiting_since: int
    attempts: int = 0
    failures: int = 0
    losses: int = 0
    not_before: int = 0
    first_started_at: int = 0
    ended_at: int = 0
    attempt: identity.AttemptId | None = None
    history: tuple[AttemptRecord, ...] = ()
    answer: str = ''
    checkpoint: str = ''
    used_bytes: int = 0
    occurrence: int = 0
    step: int = 0
    sequence: int = 0
    copy: identity.AttemptId | None = None
    copies: int = 0

    def step_id(self) -> identity.StepId:
        """Return the identifier of the step that the task belongs to."""
        return step_id(self.job, self.occurrence, self.step)


class Ticket(msgspec.Struct, frozen=True, gc=False):
    """The adviser's permission to run a step in one session of a target."""

    target: identity.TargetId
    session: identity.SessionId
    ticket: str
    expires_at: int


class Step(msgspec.Struct, frozen=True, gc=False):
    """One step of one occurrence of a workflow.

    blocked_by counts the earlier steps that have not completed, unfinished
    the step's own tasks that have not. order, by which steps are sorted, is
    the latest start that meets the objective, an hour later for a job in
    excess; after a start at worthless_at or later the result of the job has no
    value. For a gang, failures counts the
    failed runs; failed_run and completed_run are the numbers of the last run
    of either kind. asked_at is when the open request to the adviser was made,
    zero for none; no new request is made before ask_after. barred names the
    targets that the adviser does not allow. released_at is when the step no
    longer had to wait for earlier ones, first_ticket_at when the adviser first
    allowed a target, zero for not yet or not known. questions counts the
    requests to the adviser; asking_ms is how long those answered were open.
    expected_ms is the estimate of a task as corrected when the step was
    released, zero in snapshots of earlier versions.
    Of a speculative step, ended_runs counts the measured runs of its tasks;
    nominal_ms is their whole duration, scaled to targets of average speed.
    near_wait_count of its tasks wait for room near their data: since
    near_wait_at, and until near_wait_until at the latest. If only the latter is
    set, such a wait was given up. At near_checked_at, near_rack was expected to
    have room first, and near_open of its targets took new work.
    """

    step: identity.StepId
    job: identity.JobId
    occurrence: int
    number: int
    sequence: int
    order: int
    worthless_at: int
    blocked_by: int
    unfinished: int
    failures: int = 0
    failed_run: int = 0
    completed_run: int = 0
    asked_at: int = 0
    ask_after: int = 0
    tickets: tuple[Ticket, ...] = ()
    barred: tuple[identity.TargetId, ...] = ()
    released_at: int = 0
    first_ticket_at: int = 0
    questions: int = 0
    asking_ms: int = 0
    expected_ms: int = 0
    ended_runs: int = 0
    nominal_ms: int = 0
    near_wait_at: int = 0
    near_wait_until: int = 0
    near_wait_count: int = 0
    near_checked_at: int = 0
    near_rack: str = ''
    near_open: int = 0


class Summary(msgspec.Struct, frozen=True, gc=False):
    """The tasks of an ended job, counted by state, and all their attempts."""

    completed: int
    failed: int
    cancelled: int
    attempts: int


class Job(msgspec.Struct, frozen=True, gc=False):
    """A job that was accepted.

    unfinished counts the tasks without a final state, including those of
    occurrences that are not due yet, completions the attempts that completed.
    failed_on names the first few targets on which its tasks failed. released
    counts the occurrences whose tasks exist. A job is abandoned once one of
    its tasks has failed and is not retried. A job is in excess if its team
    had used up its agreed rate when it was submitted. Once a job has a summary
    its tasks and what they needed are no longer kept.
    """

    job: identity.JobId
    specification: Specification
    digest: str
    state: JobState
    submitted_at: int
    unfinished: int
    ended_at: int = 0
    is_cancelled: bool = False
    completions: int = 0
    failed_on: tuple[identity.TargetId, ...] = ()
    sequence: int = 0
    released: int = 0
    is_abandoned: bool = False
    is_excess: bool = False
    summary: Summary | None = None


class FieldError(NamedTuple):
    """An invalid field of a specification and the reason."""

    field: str
    message: str


def answer_limit(specification: Specification) -> int:
    """Return the maximum length of each task's answer in characters.

    All answers of a job together have to fit into one message.
    """
    return min(
        MAX_PAYLOAD_LENGTH, MAX_ANSWERS_LENGTH // specification.count_tasks()
    )


def task_id(job: identity.JobId, number: int) -> identity.TaskId:
    """Return the identifier of a job's task."""
    return identity.TaskId(f'{job}.{number}')


def step_id(job: identity.JobId, occurrence: int, step: int) -> identity.StepId:
    """Return the identifier of a step of a workflow."""
    return identity.StepId(f'{job}.{occurrence}.{step}')


def rank(urgency: Urgency) -> int:
    """Return the rank of an urgency, zero for the most urgent."""
    return _RANKS[urgency]


_RANKS = MappingProxyType(
    {urgency: position for position, urgency in enumerate(Urgency)}
)
