"""The client interface for polled targets, and their leases."""

from __future__ import annotations

import abc
import dataclasses
import enum

from ..core import identity, job
from ..transport import wire

# A target's clock may run slow by up to this many percent.
_CLOCK_DRIFT_PERCENT = 2
_FULL_PERCENT = 100


class CallResult(enum.Enum):
    """The result of a call to a target."""

    DONE = 'done'
    # The target has accepted calls from a later leader.
    FENCED = 'fenced'
    # The attempt or a later attempt of its task has ended or was stopped on
    # the target, so the attempt cannot start there.
    BARRED = 'barred'
    # The lease in the call had expired when the call arrived.
    LEASE_EXPIRED = 'late'
    NO_CAPACITY = 'no_room'
    NO_TICKET = 'no_ticket'
    UNHEALTHY = 'unwell'
    INVALID = 'invalid'
    # The call was addressed to an incarnation of the target that is gone.
    WRONG_INCARNATION = 'gone'
    # No reply: the call may have taken effect or may still do so.
    NO_REPLY = 'none'


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """The incarnation of a target to call, and its host:port address.

    born_at identifies the incarnation: a target that starts again keeps its
    identity, and possibly its address.
    """

    target: identity.TargetId
    address: str
    born_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunningAttempt:
    """A running attempt; gauge is its tail latency in milliseconds.

    For a task that serves no requests, gauge is its CPU usage.
    """

    attempt: identity.AttemptId
    checkpoint: str
    gauge: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An ended attempt; number is its position in the incarnation's ends."""

    number: int
    attempt: identity.AttemptId
    reason: job.EndReason
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class PollResult:
    """The result of a poll; clock_ms is a reading of the target's clock.

    born_at identifies the incarnation of the target. If not is_complete, more
    attempts have ended than the target lists at a time.
    """

    clock_ms: int
    born_at: int
    running: tuple[RunningAttempt, ...]
    ended: tuple[EndedAttempt, ...]
    is_complete: bool = True

    def attempts(self) -> set[identity.AttemptId]:
        """Return the attempts that run or have ended."""
        running = {one.attempt for one in self.running}
        return running.union(one.attempt for one in self.ended)


@dataclasses.dataclass(frozen=True, slots=True)
class PollRequest:
    """The parameters of a poll.

    lease_until_ms extends the lease to that time on the target's clock; None
    leaves it unchanged. The target may discard ends up to the number
    acknowledged. wait_ms is how long the target may delay its reply until an
    attempt ends.
    """

    term: int
    lease_until_ms: int | None
    acknowledged: int
    wait_ms: int


class TargetClient(abc.ABC):
    """A client of targets; each call has its own timeout.

    A time on the target's clock and the number of an end mean something else to
    another incarnation: they are sent only to the one that is named.
    """

    @abc.abstractmethod
    async def poll(
        self, destination: Destination, request: PollRequest
    ) -> PollResult | CallResult:
        """Poll a target; return its state, or why the poll failed.

        If another incarnation answers, the lease and the acknowledged ends of
        the request have not reached it.
        """

    @abc.abstractmethod
    async def identify(
        self, destination: Destination, term: int
    ) -> PollResult | CallResult:
        """Poll a target that may have started, without effect on it.

        An open connection may lead to an earlier process that is gone without
        having closed it, so a new one is used.
        """

    @abc.abstractmethod
    async def start(
        self,
        destination: Destination,
        command: wire.StartCommand,
        deadline_ms: int,
        term: int,
    ) -> CallResult:
        """Start an attempt, unless the call arrives after deadline_ms.

        deadline_ms is a time on the target's clock. It also extends the lease,
        and never shortens it. Another incarnation does not get the start.
        """

    @abc.abstractmethod
    async def stop(
        self, destination: Destination, attempt: identity.AttemptId, term: int
    ) -> CallResult:
        """Stop an attempt, or bar it from starting if it has not started."""

    @abc.abstractmethod
    async def pace(
        self,
        destination: Destination,
        attempt: identity.AttemptId,
        percent: int,
        term: int,
    ) -> CallResult:
        """Limit an attempt to a percentage of its full speed."""


@dataclasses.dataclass(slots=True)
class Lease:
    """The lease under which a target runs its attempts.

    clock_sample_ms is a reading of the target's clock, taken no later than
    sampled_at on this entry's clock; granted_from is the time on this entry's
    clock from which the leader counts the granted lease. Times are monotonic
    milliseconds.
    """

    duration_ms: int
    # Whether the target has answered a poll that extended its lease.
    is_held: bool = False
    clock_sample_ms: int | None = None
    sampled_at: int = 0
    granted_from: int | None = None

    def sample_clock(self, clock_ms: int, received_at: int) -> None:
        """Record a reading of the target's clock, taken from a reply."""
        self.clock_sample_ms = clock_ms
        self.sampled_at = received_at

    def clock_at(self, now: int) -> int | None:
        """Return the least that the target's clock shows, None if unknown."""
        if self.clock_sample_ms is None:
            return None
        kept_percent = _FULL_PERCENT - _CLOCK_DRIFT_PERCENT
        elapsed_ms = max(0, now - self.sampled_at)
        return self.clock_sample_ms + elapsed_ms * kept_percent // _FULL_PERCENT

    def longest_ms(self) -> int:
        """Return the length of a lease by a target's clock, at most."""
        most_percent = _FULL_PERCENT + _CLOCK_DRIFT_PERCENT
        return self.duration_ms * most_percent // _FULL_PERCENT

    def expires_at(self) -> int | None:
        """Return the lease end in ms on the target's clock, None if unknown.

        The target's clock may run slow and its reply may have been delayed;
        to allow for both, this is earlier than the expiry that the leader
        assumes.
        """
        if self.clock_sample_ms is None or self.granted_from is None:
            return None
        remaining = self.granted_from + self.duration_ms - self.sampled_at
        kept_percent = _FULL_PERCENT - _CLOCK_DRIFT_PERCENT
        return (
            self.clock_sample_ms
            + max(0, remaining) * kept_percent // _FULL_PERCENT
        )

    def remaining_ms(self, now: int) -> int:
        """Return the remaining time of the lease, zero if none is left."""
        if self.clock_sample_ms is None or self.granted_from is None:
            return 0
        return max(0, self.granted_from + self.duration_ms - now)
