"""Sessions of targets that are called, instead of dialling in.

Orders go out as calls. What runs and what has ended is learned by looks,
which also extend the lease. A call that got no answer may have been carried
out, or may be later; only a look tells.
"""

from __future__ import annotations

import contextlib

import anyio
from anyio.abc import TaskGroup

from ..core import event, identity
from ..telemetry import clock, journal
from ..transport import wire
from . import filler, reporting, session, target_client, upstream

_MS_PER_S = 1000
# A start is sent only with so much of the lease left.
_LEAST_LEASE_MS = 300
_LOOK_MS = 500
_IDLE_LOOK_MS = 1000
# How often an order without an answer is given before the leader is left to
# give it again.
_TRIES = 3
_PACED_LOOK_MS = 400
_UNANSWERED_S = 0.2
_SETTLE_S = 0.3
_GATHER_S = 0.004
_READY_S = 1.5
_CALLS_AT_ONCE = 16


# Answers after which the attempt is barred and then known not to run.
_REFUSALS = frozenset(
    (
        target_client.CallResult.NO_CAPACITY,
        target_client.CallResult.NO_TICKET,
        target_client.CallResult.UNHEALTHY,
        target_client.CallResult.INVALID,
    )
)


class PolledSession(session.TargetSession):
    """The session of one target that this entry calls."""

    def __init__(
        self,
        assigned: wire.Assignment,
        caller: target_client.TargetClient,
        leader: upstream.Upstream,
        sessions: session.Sessions,
        lines: journal.Journal,
    ) -> None:
        """Prepare; run makes the looks."""
        self.assigned = assigned
        self._destination = target_client.Destination(
            assigned.target, assigned.address
        )
        self._caller = caller
        self._leader = leader
        self._sessions = sessions
        self._journal = lines
        self._lease = target_client.Lease(assigned.lease_ms)
        self._term = assigned.term
        self._ready = anyio.Event()
        self._settled = anyio.Event()
        self._limit = anyio.CapacityLimiter(_CALLS_AT_ONCE)
        self._group: TaskGroup | None = None
        self._fillers = filler.FillerPacer(assigned.shares)
        self._listing = reporting.ReportBuilder(assigned.session)
        # Orders that came with the assignment, before the session runs.
        self._early: list[wire.Commands] = []
        self._is_over = False

    def is_polled(self) -> bool:
        """Return that this entry calls the target."""
        return True

    def update_assignment(self, assigned: wire.Assignment) -> None:
        """Call the target for a later leader.

        What was reported to the earlier one may not have been committed, so
        all of it is reported again. The lease that was granted holds.
        """
        self.assigned = assigned
        self._term = assigned.term
        self._fillers = filler.FillerPacer(assigned.shares)
        self._listing.reset_reports()

    async def run(self) -> None:
        """Look at the target until the session is over."""
        if self._is_over:
            return
        with contextlib.ExitStack() as stack:
            # No order is taken once there is no group to carry it out.
            stack.callback(setattr, self, '_is_over', True)
            async with anyio.create_task_group() as group:
                self._group = group
                for commands in self._early:
                    self.command(commands)
                await self._look_on()

    def command(self, commands: wire.Commands) -> None:
        """Carry out what the leader wants, each order by a call."""
        if self._is_over or commands.term < self._term:
            return
        if self._group is None:
            self._early.append(commands)
            return
        self._term = commands.term
        for start in commands.start:
            self._fillers.add(start)
            self._group.start_soon(self._start, start, commands.term)
        for stop in commands.stop:
            self._group.start_soon(self._stop, stop.attempt, commands.term)
        self._listing.ends.acknowledge(commands.acknowledge)
        if commands.acknowledge and self._listing.ends.is_acknowledged():
            self._settled.set()

    def renew(self, sequence: int) -> None:
        """Count the lease from when the answered renewal was asked for."""
        self._lease.granted_from = max(
            sequence, self._lease.granted_from or sequence
        )
        self._ready.set()

    def end(self) -> None:
        """Make no more calls."""
        self._sessions.remove(self.assigned.session, self)
        self._is_over = True
        if self._group is not None:
            self._group.cancel_scope.cancel()

    def relocate(self) -> None:
        """Go on until the leader has given the target to another entry."""

    async def _look_on(self) -> None:
        wait_ms = 0
        while True:
            is_seen = await self._look(wait_ms)
            if not is_seen:
                await anyio.sleep(_UNANSWERED_S)
            elif not self._listing.ends.is_acknowledged():
                await self._settle()
            wait_ms = self._next_wait()

    def _next_wait(self) -> int:
        if self._lease.granted_from is None:
            return 0
        if self._fillers.is_idle():
            return _IDLE_LOOK_MS
        return _PACED_LOOK_MS if self._fillers.has_filler() else _LOOK_MS

    async def _settle(self) -> None:
        """Wait until the ends that were seen are committed, or for long."""
        self._settled = anyio.Event()
        with anyio.move_on_after(_SETTLE_S):
            await self._settled.wait()
        await anyio.sleep(_GATHER_S)

    async def _look(self, wait_ms: int) -> bool:
        barred = self._listing.snapshot_barred()
        sent_at = clock.monotonic_ms()
        glance = target_client.PollRequest(
            self._term,
            self._lease.expires_at(),
            self._listing.ends.acknowledged,
            wait_ms,
        )
        seen = await self._caller.poll(self._destination, glance)
        if isinstance(seen, target_client.CallResult):
            self._note(f'look: {seen.value}')
            if seen is target_client.CallResult.FENCED:
                # The entry that a later leader has chosen calls the target.
                self.end()
            return False
        if seen.born_at != self.assigned.born_at:
            self._journal.record(
                'look: another life',
                f'of {seen.born_at}',
                target=self._destination.target,
            )
            return False
        self._lease.sample_clock(seen.clock_ms, clock.monotonic_ms())
        self._sessions.request_renewal(self.assigned.session, sent_at)
        self._report(seen, barred)
        self._pace(seen)
        return True

    def _report(
        self,
        seen: target_client.PollResult,
        barred: dict[identity.AttemptId, target_client.CallResult],
    ) -> None:
        report = self._listing.build(seen, barred, clock.monotonic_ms())
        for listed in seen.ended:
            self._fillers.forget(listed.attempt)
        if report is None:
            return
        for ended in report.ended:
            self._fillers.forget(ended.attempt)
        self._leader.send(report)

    async def _start(self, command: wire.StartCommand, term: int) -> None:
        with anyio.move_on_after(_READY_S):
            await self._ready.wait()
        answer = target_client.CallResult.NO_REPLY
        for _ in range(_TRIES):
            until = self._lease.expires_at()
            left_ms = self._lease.remaining_ms(clock.monotonic_ms())
            if until is None or left_ms < _LEAST_LEASE_MS:
                # The leader sends the start again.
                self._note('start held: no lease', command.attempt)
                return
            async with self._limit:
                answer = await self._caller.start(
                    self._destination, command, until, term
                )
            self._note(f'start: {answer.value}', command.attempt)
            if answer is not target_client.CallResult.NO_REPLY:
                break
        await self._take_answer(command, answer, term)

    async def _take_answer(
        self,
        command: wire.StartCommand,
        answer: target_client.CallResult,
        term: int,
    ) -> None:
        if answer is target_client.CallResult.DONE:
            self._confirm(command.attempt)
        elif answer is target_client.CallResult.BARRED:
            self._note_barred(command.attempt, answer)
        elif answer in _REFUSALS:
            await self._refuse(command.attempt, answer, term)

    def _confirm(self, attempt: identity.AttemptId) -> None:
        self._listing.confirm(attempt)
        started = event.AttemptStart(attempt, clock.monotonic_ms())
        self._leader.send(
            wire.Report(self.assigned.session, started=(started,))
        )

    async def _refuse(
        self,
        attempt: identity.AttemptId,
        answer: target_client.CallResult,
        term: int,
    ) -> None:
        """Bar a refused attempt: a copy of its start may still arrive."""
        async with self._limit:
            stopped = await self._caller.stop(self._destination, attempt, term)
        if stopped in {
            target_client.CallResult.DONE,
            target_client.CallResult.BARRED,
        }:
            self._note_barred(attempt, answer)

    async def _stop(self, attempt: identity.AttemptId, term: int) -> None:
        answer = target_client.CallResult.NO_REPLY
        for _ in range(_TRIES):
            async with self._limit:
                answer = await self._caller.stop(
                    self._destination, attempt, term
                )
            self._note(f'stop: {answer.value}', attempt)
            if answer is not target_client.CallResult.NO_REPLY:
                break
        if answer in {
            target_client.CallResult.DONE,
            target_client.CallResult.BARRED,
        }:
            self._note_barred(attempt, answer)

    def _note_barred(
        self, attempt: identity.AttemptId, answer: target_client.CallResult
    ) -> None:
        """Let a look tell whether the attempt is there after all."""
        is_first = self._listing.add_barred(attempt, answer)
        if is_first and self._group is not None:
            self._group.start_soon(self._look_soon)

    async def _look_soon(self) -> None:
        await anyio.sleep(_GATHER_S)
        await self._look(0)

    def _pace(self, seen: target_client.PollResult) -> None:
        told = self._fillers.decide(seen.running, clock.monotonic_ms())
        for attempt, percent in told:
            if self._group is not None:
                self._group.start_soon(self._pace_one, attempt, percent)

    async def _pace_one(
        self, attempt: identity.AttemptId, percent: int
    ) -> None:
        async with self._limit:
            answer = await self._caller.pace(
                self._destination, attempt, percent, self._term
            )
        if answer is not target_client.CallResult.DONE:
            self._fillers.forget_pace(attempt)

    def _note(self, what: str, attempt: str = '') -> None:
        self._journal.record(
            what,
            attempt=attempt,
            job=attempt.split('.', maxsplit=1)[0],
            target=self._destination.target,
        )


class PolledTargets:
    """The targets that the leader has assigned to this entry."""

    def __init__(
        self,
        caller: target_client.TargetClient,
        leader: upstream.Upstream,
        sessions: session.Sessions,
        lines: journal.Journal,
    ) -> None:
        """Take over assignments from the leader."""
        self._caller = caller
        self._leader = leader
        self._sessions = sessions
        self._journal = lines
        self._group: TaskGroup | None = None
        leader.on_assignment = self.assign

    async def run(self) -> None:
        """Keep the sessions going for ever."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    def assign(self, assigned: wire.Assignment) -> None:
        """Call the target of a session from now on, or go on with it."""
        if self._group is None:
            return
        present = self._sessions.open.get(assigned.session)
        if isinstance(present, PolledSession):
            present.update_assignment(assigned)
            return
        called = PolledSession(
            assigned,
            self._caller,
            self._leader,
            self._sessions,
            self._journal,
        )
        self._sessions.add(assigned.session, called)
        self._group.start_soon(self._carry, called)

    async def _carry(self, carried: PolledSession) -> None:
        """Run a session; one that fails ends by itself.

        The leader gives its target to another entry once it is unanswered.
        """
        try:
            await carried.run()
        except Exception as error:
            cause = _find_cause(error)
            self._journal.record(
                'session failed',
                f'{type(cause).__name__}: {cause}',
                target=carried.assigned.target,
            )
            carried.end()


def _find_cause(error: BaseException) -> BaseException:
    """Return the first error within groups of errors."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
