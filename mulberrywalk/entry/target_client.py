"""Calls to targets, and what they answer; the lease that orders carry."""

from __future__ import annotations

import abc
import dataclasses
import enum

from ..core import identity, job
from ..transport import wire

# A target's clock may be this much slow, in percent.
_DRIFT_PERCENT = 2
_WHOLE_PERCENT = 100


class CallResult(enum.Enum):
    """What a target said to an order."""

    DONE = 'done'
    # A later leader has given orders here.
    FENCED = 'fenced'
    # The attempt, or a later one of its task, has ended or was stopped here.
    BARRED = 'barred'
    # The lease that the order carried had run out when it arrived.
    LEASE_EXPIRED = 'late'
    NO_CAPACITY = 'no_room'
    NO_TICKET = 'no_ticket'
    UNHEALTHY = 'unwell'
    INVALID = 'invalid'
    # The life that the order was meant for is not there any more.
    WRONG_INCARNATION = 'gone'
    # No answer: the order may have been carried out, or may be later.
    NO_REPLY = 'none'


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """Where a target is called, and in which life."""

    target: identity.TargetId
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunningAttempt:
    """An attempt that runs; gauge is the tail of its response times in ms.

    The gauge of a task that serves no users is the processor that it uses.
    """

    attempt: identity.AttemptId
    checkpoint: str
    gauge: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that has ended; number counts the ends of the life."""

    number: int
    attempt: identity.AttemptId
    reason: job.EndReason
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class PollResult:
    """What a look has shown; clock_ms is the target's own clock."""

    clock_ms: int
    born_at: int
    running: tuple[RunningAttempt, ...]
    ended: tuple[EndedAttempt, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PollRequest:
    """A look that is to be made.

    until extends the lease to that time of the target's clock, None for not.
    Ends up to acknowledged may be forgotten. wait_ms lets the answer wait for
    an end.
    """

    term: int
    lease_until_ms: int | None
    acknowledged: int
    wait_ms: int


class TargetClient(abc.ABC):
    """Makes the calls to targets; each gives up by itself in time."""

    @abc.abstractmethod
    async def poll(
        self, destination: Destination, glance: PollRequest
    ) -> PollResult | CallResult:
        """Return what a look has shown, or why there is nothing."""

    @abc.abstractmethod
    async def start(
        self,
        destination: Destination,
        command: wire.StartCommand,
        lease_until_ms: int,
        term: int,
    ) -> CallResult:
        """Start an attempt under a lease until a time of the target."""

    @abc.abstractmethod
    async def stop(
        self, destination: Destination, attempt: identity.AttemptId, term: int
    ) -> CallResult:
        """Stop an attempt, and bar it where it was not started yet."""

    @abc.abstractmethod
    async def pace(
        self,
        destination: Destination,
        attempt: identity.AttemptId,
        percent: int,
        term: int,
    ) -> CallResult:
        """Let an attempt work at a share of its speed."""


@dataclasses.dataclass(slots=True)
class Lease:
    """The lease under which a target runs its attempts.

    clock_sample_ms is a reading of the target's clock, taken no later than
    sampled_at on this entry's clock; granted_from is the time on this entry's
    clock from which the leader counts the granted lease. Times are monotonic
    milliseconds.
    """

    duration_ms: int
    clock_sample_ms: int | None = None
    sampled_at: int = 0
    granted_from: int | None = None

    def sample_clock(self, clock_ms: int, received_at: int) -> None:
        """Take a reading of the target's clock from an answer."""
        self.clock_sample_ms = clock_ms
        self.sampled_at = received_at

    def expires_at(self) -> int | None:
        """Return the end of the lease by the target's clock, or None.

        The clock may be slow and the answer may have been under way for
        long: both make the lease end earlier than the leader counts.
        """
        if self.clock_sample_ms is None or self.granted_from is None:
            return None
        left = self.granted_from + self.duration_ms - self.sampled_at
        part = _WHOLE_PERCENT - _DRIFT_PERCENT
        return self.clock_sample_ms + max(0, left) * part // _WHOLE_PERCENT

    def remaining_ms(self, now: int) -> int:
        """Return how much of the lease is left, zero for none."""
        if self.clock_sample_ms is None or self.granted_from is None:
            return 0
        return max(0, self.granted_from + self.duration_ms - now)
