"""How long a wait for room near the data pays, by expected value.

Pure functions over amounts and times: near_room.py describes the room, and
locality.py applies the decisions. All times are milliseconds since 1970.
"""

from __future__ import annotations

import dataclasses
import enum
import heapq
import itertools
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from . import resource

# The duration of a task away from its data, in permille of that near it, where
# there is no difference.
NO_SLOWDOWN = 1000
# Ends that are looked at for one decision, to bound its cost.
_MAX_ENDS = 256
_MAX_FITTING = 10_000


class Reason(enum.StrEnum):
    """Why a step waits for near room, or does not."""

    PAYS = 'pays'
    # Near room is expected to come too late for what it saves.
    NO_GAIN = 'no_gain'
    # Even a near start would miss the objective.
    OBJECTIVE = 'objective'
    # The step has waited for as long as it pays.
    EXPIRED = 'expired'
    # No near target is expected to have room.
    NO_ROOM = 'no_room'


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Amounts that are expected to become free at a time."""

    at: int
    amount: resource.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class NearTarget:
    """A near target: what is free, what will be, and how slow it is.

    slowness is in permille of the average; max_tasks is how many more tasks of
    the step it may take; answer_ms how long the adviser takes to allow a start
    there, zero if it is allowed.
    """

    free: resource.Resources
    releases: tuple[Release, ...] = ()
    slowness: int = 1000
    max_tasks: int = _MAX_FITTING
    answer_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Equal tasks that want near room; duration_ms is for average speed."""

    demand: resource.Resources
    count: int
    duration_ms: int


class _Change(NamedTuple):
    """The targets, by number, that have more room from a time on."""

    at: int
    targets: list[int]


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What bounds the wait of a step.

    saving_ms is how much sooner a task ends near its data than away from it.
    latest_start is the latest start that meets the objective. until is when
    the wait that has begun ends, zero while none has.
    """

    now: int
    saving_ms: int
    latest_start: int
    until: int = 0

    def end(self) -> int:
        """Return the time from which a wait does not pay any more."""
        if self.until:
            return self.until
        return min(self.now + self.saving_ms, self.latest_start)


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """How many tasks wait, until when it pays, when they should start, why.

    rack is the one that should have room first.
    """

    count: int
    until: int
    expected_at: int
    reason: Reason
    rack: str = ''


def slowdown_ms(duration_ms: int, remote_permille: int) -> int:
    """Return how much longer a task takes away from its data, in ms."""
    return duration_ms * (remote_permille - NO_SLOWDOWN) // NO_SLOWDOWN


def decide_each(
    terms: Terms, count: int, starts: Sequence[int], rack: str = ''
) -> Decision:
    """Decide how many of a number of tasks wait.

    starts are the expected near starts in order of time. Tasks beyond those
    that start in time do not wait.
    """
    in_time = [start for start in starts[:count] if start < terms.end()]
    if in_time:
        return Decision(
            len(in_time), terms.end(), in_time[-1], Reason.PAYS, rack
        )
    return _refuse(terms, starts[0] if starts else None)


def decide_whole(
    terms: Terms, count: int, start: int | None, rack: str = ''
) -> Decision:
    """Decide whether tasks that need near room at the same time wait for it."""
    if start is not None and start < terms.end():
        return Decision(count, terms.end(), start, Reason.PAYS, rack)
    return _refuse(terms, start)


def expect_starts(
    near: Sequence[NearTarget],
    ahead: Sequence[Claim],
    own: Claim,
    now: int,
    horizon: int,
) -> list[int]:
    """Return when the tasks of a claim are expected to start, up to a time.

    Claims ahead take room first. What starts frees its room again.
    """
    starts: list[int] = []
    room = _Room(near, (*ahead, own), now, horizon, own_position=len(ahead))
    for at, changed in room.advance():
        started = room.start_claims(at, changed)
        starts.extend(itertools.repeat(at, started))
        if len(starts) >= own.count:
            break
    return starts[: own.count]


def expect_whole_start(
    near: Sequence[NearTarget],
    ahead: Sequence[Claim],
    own: Claim,
    now: int,
    horizon: int,
) -> int | None:
    """Return when all tasks of a claim are expected to fit at once, or None."""
    room = _Room(near, ahead, now, horizon)
    for at, changed in room.advance():
        room.start_claims(at, changed)
        if room.count_fitting(own.demand) >= own.count:
            return at
    return None


def _refuse(terms: Terms, start: int | None) -> Decision:
    reason = Reason.NO_GAIN
    if terms.now >= terms.latest_start:
        reason = Reason.OBJECTIVE
    elif terms.now >= terms.end():
        reason = Reason.EXPIRED
    elif start is None:
        reason = Reason.NO_ROOM
    elif start >= terms.latest_start:
        reason = Reason.OBJECTIVE
    return Decision(0, terms.now, start or 0, reason)


class _Room:
    """The room of near targets over time, as claims take it in their order."""

    def __init__(
        self,
        near: Sequence[NearTarget],
        claims: Sequence[Claim],
        now: int,
        horizon: int,
        *,
        own_position: int | None = None,
    ) -> None:
        self._own_position = own_position
        self._near = near
        self._claims = claims
        self._horizon = horizon
        self._unstarted = [claim.count for claim in claims]
        self._allowed = [target.max_tasks for target in near]
        self._free = [resource.NOTHING for _ in near]
        # Number of the target in the order of ends, so that ties have an order.
        self._ends: list[tuple[int, int, resource.Resources]] = []
        for number, target in enumerate(near):
            self._add_end(now + target.answer_ms, number, target.free)
            for release in target.releases:
                at = max(release.at, now) + target.answer_ms
                self._add_end(at, number, release.amount)

    def advance(self) -> Iterator[_Change]:
        """Yield times at which room becomes free, and the targets."""
        for _ in range(_MAX_ENDS):
            if not self._ends:
                return
            at = self._ends[0][0]
            changed: list[int] = []
            while self._ends and self._ends[0][0] == at:
                _, number, amount = heapq.heappop(self._ends)
                self._free[number] = resource.add(self._free[number], amount)
                if number not in changed:
                    changed.append(number)
            yield _Change(at, changed)

    def start_claims(self, at: int, changed: list[int]) -> int:
        """Start what fits on targets that have more room than before.

        Returns how many tasks of the step's own claim started.
        """
        started = 0
        for position, claim in enumerate(self._claims):
            if not self._unstarted[position]:
                continue
            fitting = [
                number
                for number in changed
                if resource.fits(claim.demand, self._free[number])
            ]
            count = sum(self._start(at, position, number) for number in fitting)
            if position == self._own_position:
                started = count
        return started

    def count_fitting(self, demand: resource.Resources) -> int:
        """Return how many tasks fit now on all targets together."""
        return sum(
            _count(demand, free, target.max_tasks)
            for free, target in zip(self._free, self._near, strict=True)
        )

    def _start(self, at: int, position: int, number: int) -> int:
        """Start tasks of a claim on a target; return how many fit."""
        claim = self._claims[position]
        limit = self._unstarted[position]
        is_own = position == self._own_position
        if is_own:
            limit = min(limit, self._allowed[number])
        count = _count(claim.demand, self._free[number], limit)
        if not count:
            return 0
        self._unstarted[position] -= count
        if is_own:
            self._allowed[number] -= count
        taken = resource.multiply(claim.demand, count)
        self._free[number] = resource.subtract(self._free[number], taken)
        slowness = self._near[number].slowness
        duration_ms = max(1, claim.duration_ms * slowness // NO_SLOWDOWN)
        self._add_end(at + duration_ms, number, taken)
        return count

    def _add_end(
        self, at: int, number: int, amount: resource.Resources
    ) -> None:
        if at <= self._horizon:
            heapq.heappush(self._ends, (at, number, amount))


def _count(
    demand: resource.Resources, free: resource.Resources, limit: int
) -> int:
    if limit <= 0 or not resource.fits(demand, free):
        return 0
    return min(resource.count_fitting(demand, free, limit), limit)
