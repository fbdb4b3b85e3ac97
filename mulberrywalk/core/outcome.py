"""Outcomes returned to callers, targets and operators."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

from . import configuration, identity
from .job import JobState


class RefusalReason(enum.Enum):
    """Why a request was refused."""

    QUEUE_FULL = 'queue_full'
    TOO_LARGE = 'too_large'
    REQUEST_REUSED = 'request_reused'
    STALE_VERSION = 'stale_version'
    INVALID_PATCH = 'invalid_patch'
    NOT_FOUND = 'not_found'
    NOT_READY = 'not_ready'
    OVERLOADED = 'overloaded'
    SESSION_GONE = 'session_gone'
    INVALID_ROUTING = 'invalid_routing'
    UNKNOWN_QUEUE = 'unknown_queue'
    INVALID_JOB = 'invalid_job'
    SUPERSEDED_LIFE = 'superseded_life'
    FOREIGN_ANNOUNCEMENT = 'foreign_announcement'
    INVALID_EVENT = 'invalid_event'
    FOREIGN_JOB = 'foreign_job'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A job was accepted and will be tracked until it ends."""

    job: identity.JobId


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not run and never will be."""

    reason: RefusalReason
    detail: str
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The request was not accepted; the caller may retry it.

    Unlike NotRun, it makes no statement about earlier submissions under the
    same request id, because the sender of this answer does not know them.
    """

    reason: RefusalReason
    detail: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """The cancellation of a job was recorded."""

    job: identity.JobId
    state: JobState


@dataclasses.dataclass(frozen=True, slots=True)
class SessionGranted:
    """A session was granted to a target, which may now run its attempts."""

    session: identity.SessionId


@dataclasses.dataclass(frozen=True, slots=True)
class PatchAccepted:
    """A patch was accepted and produced this version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class PatchRefused:
    """A patch was refused; current is the configuration in force."""

    reason: RefusalReason
    detail: str
    current: configuration.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class Recorded:
    """An event was recorded; there is nothing else to return."""


Outcome: TypeAlias = (
    Accepted
    | NotRun
    | Unavailable
    | Cancelled
    | SessionGranted
    | PatchAccepted
    | PatchRefused
    | Recorded
)
