"""Sessions of polled targets, which this entry calls.

Commands are sent as calls. Polls show which attempts run and which have ended,
and extend the lease. A call without a reply may have taken effect or may still
do so; only a poll shows which.
"""

from __future__ import annotations

import contextlib

import anyio
from anyio.abc import TaskGroup

from ..core import event, identity, job
from ..telemetry import clock, journal
from ..transport import wire
from . import (
    call_log,
    filler,
    pending_stop,
    reporting,
    session,
    start_deadline,
    target_client,
    upstream,
)

_MS_PER_S = 1000
_POLL_WAIT_MS = 500
_IDLE_POLL_WAIT_MS = 1000
# A start without a reply is repeated until its deadline, after which no copy
# may be sent; then the leader resends it.
_MAX_START_TRIES = 5
_PACED_POLL_WAIT_MS = 400
_FAILED_POLL_DELAY_S = 0.2
_COMMIT_TIMEOUT_S = 0.3
_BATCH_DELAY_S = 0.004
_FIRST_LEASE_TIMEOUT_S = 1.5
_MAX_CONCURRENT_CALLS = 16


# Results of a start after which the attempt is stopped, so that a delayed copy
# of the start cannot run it.
_REFUSALS = frozenset(
    (
        target_client.CallResult.NO_CAPACITY,
        target_client.CallResult.NO_TICKET,
        target_client.CallResult.UNHEALTHY,
        target_client.CallResult.INVALID,
    )
)


class PolledSession(session.TargetSession):
    """The session of one target that this entry polls."""

    def __init__(
        self,
        assigned: wire.Assignment,
        client: target_client.TargetClient,
        leader: upstream.Upstream,
        sessions: session.Sessions,
        event_log: journal.Journal,
    ) -> None:
        """Set up the state; run polls the target."""
        self.assigned = assigned
        self._destination = target_client.Destination(
            assigned.target, assigned.address, assigned.born_at
        )
        self._client = client
        self._leader = leader
        self._sessions = sessions
        self._call_log = call_log.CallLog(event_log, assigned.target)
        self._lease = target_client.Lease(assigned.lease_ms)
        self._term = assigned.term
        self._lease_granted = anyio.Event()
        self._lease_held = anyio.Event()
        self._start_deadlines = start_deadline.StartDeadlines(self._lease)
        self._committed = anyio.Event()
        self._call_limit = anyio.CapacityLimiter(_MAX_CONCURRENT_CALLS)
        self._group: TaskGroup | None = None
        self._pacer = filler.FillerPacer(assigned.shares)
        self._reports = reporting.ReportBuilder(assigned.session)
        self._stops = pending_stop.PendingStops(
            client, self._destination, self._call_limit, self._call_log
        )
        # Commands received with the assignment, before the session runs.
        self._early_commands: list[wire.Commands] = []
        self._has_ended = False

    def is_polled(self) -> bool:
        """Return True, as this entry polls the target."""
        return True

    def update_assignment(self, assigned: wire.Assignment) -> None:
        """Continue the session under a new leader.

        Reports to the previous leader may not have been committed, so all of
        them are sent again. The granted lease stays valid.
        """
        self.assigned = assigned
        self._term = assigned.term
        self._pacer = filler.FillerPacer(assigned.shares)
        self._start_deadlines.reset_others()
        self._reports.reset_reports()

    async def run(self) -> None:
        """Poll the target until the session ends."""
        if self._has_ended:
            return
        with contextlib.ExitStack() as stack:
            # No command is accepted once there is no task group to run it.
            stack.callback(setattr, self, '_has_ended', True)
            async with anyio.create_task_group() as group:
                self._group = group
                for commands in self._early_commands:
                    self.command(commands)
                await self._poll_loop()

    def command(self, commands: wire.Commands) -> None:
        """Send each of the leader's commands as a call."""
        if self._has_ended:
            self._call_log.record_dropped(commands, 'the session has ended')
            return
        if commands.term < self._term:
            reason = f'of term {commands.term} in term {self._term}'
            self._call_log.record_dropped(commands, reason)
            return
        if self._group is None:
            self._early_commands.append(commands)
            return
        self._term = commands.term
        self._start_calls(commands, self._group)
        self._reports.ends.acknowledge(commands.acknowledge)
        for acknowledged in commands.acknowledge:
            self._start_deadlines.remove(acknowledged)
            self._stops.remove(acknowledged)
        if commands.acknowledge and self._reports.ends.is_acknowledged():
            self._committed.set()

    def renew(self, sequence: int) -> None:
        """Start the lease at the time when its renewal was requested."""
        self._lease.granted_from = max(
            sequence, self._lease.granted_from or sequence
        )
        self._lease_granted.set()

    def end(self) -> None:
        """End the session and cancel its calls."""
        self._sessions.remove(self.assigned.session, self)
        self._has_ended = True
        if self._group is not None:
            self._group.cancel_scope.cancel()

    def relocate(self) -> None:
        """Do nothing: poll until the leader reassigns the target."""

    def _start_calls(self, commands: wire.Commands, group: TaskGroup) -> None:
        for start in commands.start:
            self._pacer.add(start)
            self._start_deadlines.add_start(start.attempt)
            group.start_soon(self._start, start, commands.term)
        for stop in commands.stop:
            self._start_deadlines.add_stop(stop.attempt)
            if self._stops.add(stop.attempt):
                group.start_soon(self._stop, stop.attempt)

    async def _poll_loop(self) -> None:
        wait_ms = 0
        while True:
            has_result = await self._poll(wait_ms)
            if not has_result:
                await anyio.sleep(_FAILED_POLL_DELAY_S)
            elif not self._lease_granted.is_set():
                with anyio.move_on_after(_FAILED_POLL_DELAY_S):
                    await self._lease_granted.wait()
            elif not self._reports.ends.is_acknowledged():
                await self._wait_for_commit()
            wait_ms = self._next_wait()

    def _next_wait(self) -> int:
        if not self._lease.is_held:
            return 0
        wait_ms = _usual_wait_ms(self._pacer)
        expiry_ms = self._start_deadlines.wait_ms(clock.monotonic_ms())
        return wait_ms if expiry_ms is None else min(wait_ms, expiry_ms)

    async def _wait_for_commit(self) -> None:
        """Wait for the listed ends to be committed, up to a timeout."""
        self._committed = anyio.Event()
        with anyio.move_on_after(_COMMIT_TIMEOUT_S):
            await self._committed.wait()
        await anyio.sleep(_BATCH_DELAY_S)

    async def _poll(self, wait_ms: int) -> bool:
        barred = self._reports.snapshot_barred()
        expired = self._start_deadlines.find_expired()
        assigned = self.assigned
        sent_at = clock.monotonic_ms()
        request = target_client.PollRequest(
            self._term,
            self._lease.expires_at(),
            self._reports.ends.acknowledged,
            wait_ms,
        )
        poll_result = await self._client.poll(self._destination, request)
        if isinstance(poll_result, target_client.CallResult):
            self._call_log.record(f'look: {poll_result.value}')
            is_fenced = poll_result is target_client.CallResult.FENCED
            if is_fenced and request.term >= self._term:
                # The entry that a later leader has assigned polls the target.
                self.end()
            return False
        if poll_result.born_at != self.assigned.born_at:
            self._call_log.record(
                'look: other incarnation',
                detail=f'born at {poll_result.born_at}',
            )
            return False
        self._lease.sample_clock(poll_result.clock_ms, clock.monotonic_ms())
        if request.lease_until_ms is not None:
            self._lease.is_held = True
            self._lease_held.set()
        if assigned is self.assigned:
            self._start_deadlines.update_others(
                poll_result.clock_ms, is_first=assigned.is_first
            )
        self._sessions.request_renewal(
            self.assigned.session, sent_at, is_urgent=not self._lease.is_held
        )
        self._report(poll_result, barred)
        self._report_expired(expired, poll_result, assigned)
        self._update_pace(poll_result)
        return True

    def _report(
        self,
        poll_result: target_client.PollResult,
        barred: dict[identity.AttemptId, target_client.CallResult],
    ) -> None:
        report = self._reports.build(poll_result, barred, clock.monotonic_ms())
        for listed in poll_result.ended:
            self._pacer.remove(listed.attempt)
        if report is None:
            return
        for ended in report.ended:
            self._pacer.remove(ended.attempt)
        self._leader.send(report)

    def _report_expired(
        self,
        expired: frozenset[identity.AttemptId],
        poll_result: target_client.PollResult,
        assigned: wire.Assignment,
    ) -> None:
        """Report expired starts that a poll sent since then does not show.

        A stop is sent as well, which bars them at a target that executes it.
        """
        for attempt in self._start_deadlines.find_contradictions(poll_result):
            self._call_log.record('expired start has run', attempt)
        absent = self._start_deadlines.take_absent(expired, poll_result)
        now = clock.monotonic_ms()
        if not absent or self._group is None:
            return
        for attempt in absent:
            self._call_log.record('start expired', attempt)
            self._pacer.remove(attempt)
            self._group.start_soon(
                self._client.stop, self._destination, attempt, self._term
            )
        self._leader.send(
            wire.Report(
                assigned.session,
                expired=tuple(
                    event.AttemptEnd(one, job.EndReason.START_EXPIRED, now)
                    for one in absent
                ),
                assignment=(assigned.term, assigned.number),
            )
        )

    async def _start(self, command: wire.StartCommand, term: int) -> None:
        with anyio.move_on_after(_FIRST_LEASE_TIMEOUT_S):
            await self._lease_held.wait()
        call_result = target_client.CallResult.NO_REPLY
        received_at = clock.monotonic_ms()
        for _ in range(_MAX_START_TRIES):
            async with self._call_limit:
                deadline_ms = self._start_deadlines.next_deadline(
                    command.attempt, clock.monotonic_ms()
                )
                if deadline_ms is None:
                    self._call_log.record(
                        'start not sent: no valid lease or deadline',
                        command.attempt,
                    )
                    return
                call_result = await self._client.start(
                    self._destination, command, deadline_ms, term
                )
            self._call_log.record_call(
                'start', call_result, command.attempt, received_at
            )
            if call_result is not target_client.CallResult.NO_REPLY:
                break
        await self._handle_start_result(command, call_result, term)

    async def _handle_start_result(
        self,
        command: wire.StartCommand,
        call_result: target_client.CallResult,
        term: int,
    ) -> None:
        if call_result is target_client.CallResult.DONE:
            self._confirm(command.attempt)
        elif call_result is target_client.CallResult.BARRED:
            self._add_barred(command.attempt, call_result)
        elif call_result in _REFUSALS:
            await self._bar_refused(command.attempt, call_result, term)

    def _confirm(self, attempt: identity.AttemptId) -> None:
        self._reports.confirm(attempt)
        self._start_deadlines.remove(attempt)
        started = event.AttemptStart(attempt, clock.monotonic_ms())
        self._leader.send(
            wire.Report(self.assigned.session, started=(started,))
        )

    async def _bar_refused(
        self,
        attempt: identity.AttemptId,
        call_result: target_client.CallResult,
        term: int,
    ) -> None:
        """Stop a refused attempt: a copy of its start may still arrive."""
        async with self._call_limit:
            stopped = await self._client.stop(self._destination, attempt, term)
        if stopped in {
            target_client.CallResult.DONE,
            target_client.CallResult.BARRED,
        }:
            self._add_barred(attempt, call_result)

    async def _stop(self, attempt: identity.AttemptId) -> None:
        call_result = await self._stops.send(attempt, lambda: self._term)
        if call_result in {
            target_client.CallResult.DONE,
            target_client.CallResult.BARRED,
        }:
            self._add_barred(attempt, call_result)

    def _add_barred(
        self, attempt: identity.AttemptId, call_result: target_client.CallResult
    ) -> None:
        """Poll soon to check that the attempt is not on the target."""
        self._start_deadlines.remove(attempt)
        is_first = self._reports.add_barred(attempt, call_result)
        if is_first and self._group is not None:
            self._group.start_soon(self._poll_soon)

    async def _poll_soon(self) -> None:
        await anyio.sleep(_BATCH_DELAY_S)
        await self._poll(0)

    def _update_pace(self, poll_result: target_client.PollResult) -> None:
        changes = self._pacer.decide(poll_result.running, clock.monotonic_ms())
        for attempt, percent in changes:
            if self._group is not None:
                self._group.start_soon(self._send_pace, attempt, percent)

    async def _send_pace(
        self, attempt: identity.AttemptId, percent: int
    ) -> None:
        async with self._call_limit:
            call_result = await self._client.pace(
                self._destination, attempt, percent, self._term
            )
        if call_result is not target_client.CallResult.DONE:
            self._pacer.forget_pace(attempt)


def _usual_wait_ms(pacer: filler.FillerPacer) -> int:
    if pacer.is_idle():
        return _IDLE_POLL_WAIT_MS
    return _PACED_POLL_WAIT_MS if pacer.has_filler() else _POLL_WAIT_MS
