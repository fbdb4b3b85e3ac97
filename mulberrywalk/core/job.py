"""Records of jobs, tasks and attempts."""

from __future__ import annotations

import enum
from types import MappingProxyType
from typing import Annotated

import msgspec

from . import identity, resource

MAX_TASKS = 5000
MAX_NAME = 128
MAX_PAYLOAD = 65_536
# The answers of all tasks of a job together, in characters.
MAX_ANSWERS = 16_777_216
MAX_RUN_MS = 604_800_000
MAX_MILLICORES = 1_000_000
MAX_MEMORY_BYTES = 1_125_899_906_842_624
MAX_ACCELERATORS = 1024

Name = Annotated[
    str,
    msgspec.Meta(
        min_length=1, max_length=MAX_NAME, pattern='^[A-Za-z0-9._:@/-]+$'
    ),
]


class Kind(enum.StrEnum):
    """How the tasks of a job are placed."""

    SERVICE = 'service'
    BATCH = 'batch'
    GANG = 'gang'
    REQUEST = 'request'


class Urgency(enum.StrEnum):
    """Which work goes first; the order is that of the members."""

    CRITICAL = 'critical'
    HIGH = 'high'
    NORMAL = 'normal'
    LOW = 'low'


class JobState(enum.StrEnum):
    """Where a job stands; all but the first two are final."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNKNOWN = 'unknown'


class TaskState(enum.StrEnum):
    """Where a task stands; all but the first three are final."""

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


class StopReason(enum.StrEnum):
    """Why an attempt is being stopped."""

    CANCELLED = 'cancelled'
    PREEMPTED = 'preempted'
    RECALLED = 'recalled'
    OVERUSED = 'overused'
    OVERDUE = 'overdue'


class TaskSpecification(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, gc=False
):
    """What one task needs; the payload is opaque to the scheduler."""

    millicores: Annotated[int, msgspec.Meta(ge=1, le=MAX_MILLICORES)]
    memory_bytes: Annotated[int, msgspec.Meta(ge=0, le=MAX_MEMORY_BYTES)]
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS)] = 0
    estimate_ms: Annotated[int, msgspec.Meta(ge=1, le=MAX_RUN_MS)] = 60_000
    payload: Annotated[str, msgspec.Meta(max_length=MAX_PAYLOAD)] = ''

    def demand(self) -> resource.Resources:
        """Return the amounts that the task declares, one slot included."""
        return resource.Resources(
            self.millicores, self.memory_bytes, self.accelerators, slots=1
        )


class Specification(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, gc=False
):
    """A job as its caller submits it."""

    request_id: Name
    team: Name
    kind: Kind
    tasks: Annotated[
        tuple[TaskSpecification, ...],
        msgspec.Meta(min_length=1, max_length=MAX_TASKS),
    ]
    urgency: Urgency = Urgency.NORMAL
    is_idempotent: bool = msgspec.field(name='idempotent', default=True)


class AttemptRecord(msgspec.Struct, frozen=True, gc=False):
    """One ended attempt of a task, kept for explanations."""

    attempt: identity.AttemptId
    target: identity.TargetId
    placed_at: int
    started_at: int
    ended_at: int
    reason: EndReason
    detail: str


class Attempt(msgspec.Struct, frozen=True, gc=False):
    """A live attempt: it holds capacity until its end is known.

    started_at is zero until the target has confirmed the start. held is the
    larger of what was declared and what the target reported as used.
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


class Task(msgspec.Struct, frozen=True, gc=False):
    """One task of a job. Times are milliseconds since 1970, zero for none.

    not_before delays a retry; failures counts those that the retry limit
    and the budget of the team apply to, losses the targets that were lost
    while the task ran there. used_bytes is the most memory that
    an ended attempt held beyond what was declared.
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


class Job(msgspec.Struct, frozen=True, gc=False):
    """A job that was accepted.

    unfinished counts the tasks without a final state, completions the
    attempts that completed; failed_on names the first few targets on which
    its tasks failed.
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


def answer_limit(specification: Specification) -> int:
    """Return how many characters the answer of each task may have.

    The whole answer of a job has to fit into one message.
    """
    return min(MAX_PAYLOAD, MAX_ANSWERS // len(specification.tasks))


def task_id(job: identity.JobId, number: int) -> identity.TaskId:
    """Return the identifier of a job's task."""
    return identity.TaskId(f'{job}.{number}')


def rank(urgency: Urgency) -> int:
    """Return the place of an urgency, zero for the most urgent."""
    return _RANKS[urgency]


_RANKS = MappingProxyType(
    {urgency: place for place, urgency in enumerate(Urgency)}
)
