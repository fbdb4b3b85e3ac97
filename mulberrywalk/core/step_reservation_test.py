"""Lasting tasks come back while shorter work keeps every target full."""

import itertools

import pytest

from . import cell_test, event, job, step_reservation, target, workflow_test

LASTING = 'f' * 16
TARGETS = 6
ALLOWED = frozenset(('t2', 't3'))
# Capacity of a target of the cell.
MILLICORES, SLOTS = 4000, 3
# Unlike each other, so that a target is never without short work.
SHORT_RUNS_MS = (700, 1900, 1100, 2300, 900, 1700, 1300)
PASS_MS = 100
LEASE_MS = 5500
# A lasting task counts as lost 6 s after its last run and 3 s of room more.
LOST_AFTER_MS = 9000


class BusyCell(cell_test.Cell):
    """A cell whose targets get a new short task for each one that ends."""

    def __init__(self, short_urgency):
        super().__init__()
        for number in range(TARGETS):
            announced = cell_test.announce(
                number, f'n{number}', lease_ms=LEASE_MS
            )
            self.apply(event.SessionOpened, announced)
        self.short_urgency = short_urgency
        self.ends_at = {}
        self.names = iter(f'{number:016x}' for number in range(10_000))
        self.requests = []
        # Tasks whose starts are not confirmed.
        self.unconfirmed = set()
        # The targets that steps may run on, ALLOWED for all others.
        self.allowed = {}
        self.runs_ms = itertools.cycle(SHORT_RUNS_MS)

    def pass_time(self, duration_ms):
        """Play the load; the adviser answers in the pass after a question."""
        for _ in range(duration_ms // PASS_MS):
            self.end_due()
            self.submit_short()
            for request in self.requests:
                self.answer(request)
            effects = self.dispatch(PASS_MS)
            self.requests = workflow_test.advice_requests(effects)
            for attempt in workflow_test.started_attempts(effects):
                if attempt.task not in self.unconfirmed:
                    self.start(attempt)
                self.ends_at[attempt.attempt] = self.now + next(self.runs_ms)
            for attempt in workflow_test.stopped_attempts(effects):
                self.ends_at[attempt.attempt] = self.now

    def end_due(self):
        for name, ends_at in list(self.ends_at.items()):
            attempt = self.tables.attempts[name]
            is_lasting = attempt.task.startswith('f')
            may_end = attempt.stopping is not None or not is_lasting
            if ends_at <= self.now and may_end:
                self.ends_at.pop(name)
                reason = job.EndReason.COMPLETED
                if attempt.stopping is not None:
                    reason = job.EndReason.STOPPED
                self.report(attempt, reason)

    def submit_short(self):
        waiting = sum(map(len, self.tables.waiting.steps.values()))
        for _ in range(TARGETS * SLOTS - waiting):
            name = next(self.names)
            self.submit(
                workflow_test.workflow(
                    cell_test.step(1),
                    job=name,
                    request_id=name,
                    urgency=self.short_urgency,
                )
            )

    def answer(self, request):
        everywhere = set(request.targets)
        allowed = sorted(self.allowed.get(request.step, ALLOWED) & everywhere)
        workflow_test.answer_advice(self, request, *allowed)

    def submit_lasting(self, count=1, advice=workflow_test.TERMS, name=LASTING):
        self.submit(
            workflow_test.workflow(
                cell_test.step(count, 3500, is_lasting=True),
                job=name,
                request_id=name,
                urgency=job.Urgency.HIGH,
                advice=advice,
            )
        )

    def lasting(self, number=0):
        return self.tables.tasks[f'{LASTING}.0.0.{number}']

    def is_quarantined(self, name):
        record = self.tables.targets[name]
        return record.health.until > self.now

    def lose_target(self, name):
        """End the session of a target, and with it all that runs there."""
        self.apply(event.SessionExpired, self.tables.targets[name].session)
        self.ends_at = {
            attempt: ends_at
            for attempt, ends_at in self.ends_at.items()
            if attempt in self.tables.attempts
        }


def lose_lasting_task(short_urgency):
    """Return a busy cell that has just lost the target of a lasting task."""
    cell = BusyCell(short_urgency)
    cell.submit_lasting()
    cell.pass_time(3000)
    assert cell.lasting().state is job.TaskState.RUNNING
    cell.lose_target(cell.tables.attempts[cell.lasting().attempt].target)
    assert cell.lasting().state is job.TaskState.WAITING
    return cell


@pytest.mark.parametrize(
    'short_urgency', [job.Urgency.CRITICAL, job.Urgency.HIGH, job.Urgency.LOW]
)
def test_lasting_task_returns_to_a_target_full_of_short_work(short_urgency):
    cell = lose_lasting_task(short_urgency)
    cell.pass_time(LOST_AFTER_MS)
    assert cell.lasting().state is job.TaskState.RUNNING


def test_less_urgent_work_that_runs_long_is_stopped_for_a_lasting_task():
    cell = lose_lasting_task(job.Urgency.LOW)
    cell.ends_at = dict.fromkeys(cell.ends_at, cell.now + 60_000)
    cell.pass_time(LOST_AFTER_MS)
    assert cell.lasting().state is job.TaskState.RUNNING


def test_more_urgent_work_is_not_stopped_for_a_lasting_task():
    cell = lose_lasting_task(job.Urgency.CRITICAL)
    cell.ends_at = dict.fromkeys(cell.ends_at, cell.now + 60_000)
    cell.pass_time(LOST_AFTER_MS)
    assert cell.lasting().state is job.TaskState.WAITING
    assert not any(one.stopping for one in cell.tables.attempts.values())


def test_reserved_room_is_released_after_the_pass():
    cell = lose_lasting_task(job.Urgency.CRITICAL)
    cell.pass_time(step_reservation.RESERVE_AFTER_MS + 2 * PASS_MS)
    for load in cell.tables.fleet.loads.values():
        attempts = [cell.tables.attempts[name] for name in load.attempts]
        used = sum(attempt.held.millicores for attempt in attempts)
        assert load.free.millicores == MILLICORES - used


def test_targets_on_which_lasting_work_may_not_run_keep_their_work():
    cell = BusyCell(job.Urgency.LOW)
    cell.submit_lasting(count=TARGETS)
    cell.pass_time(LOST_AFTER_MS)
    used = [
        one
        for one in cell.tables.attempts.values()
        if one.target not in ALLOWED
    ]
    assert len(used) == (TARGETS - len(ALLOWED)) * SLOTS


def test_much_waiting_lasting_work_reserves_a_limited_share():
    cell = BusyCell(job.Urgency.CRITICAL)
    cell.pass_time(500)
    cell.submit_lasting(count=TARGETS, advice=None)
    cell.pass_time(PASS_MS)
    cell.now += step_reservation.RESERVE_AFTER_MS
    cell.tables.time = cell.now
    reserved = step_reservation.reserve(cell.tables)
    step_reservation.release(cell.tables, reserved)
    assert len(reserved) == 1


def test_room_is_ready_when_the_lease_of_a_silent_target_expires():
    cell = BusyCell(job.Urgency.LOW)
    cell.submit_lasting()
    cell.pass_time(3000)
    cell.ends_at = dict.fromkeys(cell.ends_at, cell.now + 60_000)
    lost = cell.tables.attempts[cell.lasting().attempt]
    silent_ms = 1400
    cell.apply(event.SilenceNoted, lost.session, silent_ms)
    cell.pass_time(LEASE_MS + target.LEASE_MARGIN_MS - silent_ms)
    assert cell.lasting().attempt == lost.attempt
    cell.lose_target(lost.target)
    cell.pass_time(PASS_MS)
    assert cell.lasting().state is job.TaskState.RUNNING


def fail_all_on(cell, names):
    """Let short tasks fail on targets until these are in quarantine."""
    while not all(cell.is_quarantined(name) for name in names):
        for attempt in list(cell.tables.attempts.values()):
            if attempt.target in names:
                cell.ends_at.pop(attempt.attempt)
                cell.report(attempt, job.EndReason.FAILED)
        cell.pass_time(PASS_MS)


def test_lasting_task_does_not_wait_for_the_end_of_a_quarantine():
    cell = BusyCell(job.Urgency.LOW)
    cell.pass_time(500)
    fail_all_on(cell, ALLOWED)
    cell.submit_lasting()
    cell.pass_time(3000)
    assert all(cell.is_quarantined(name) for name in ALLOWED)
    assert cell.lasting().state is job.TaskState.RUNNING


def test_other_work_waits_for_the_end_of_a_quarantine():
    cell = BusyCell(job.Urgency.LOW)
    cell.pass_time(1000)
    fail_all_on(cell, ALLOWED)
    cell.pass_time(1000)
    assert not any(
        attempt.target in ALLOWED for attempt in cell.tables.attempts.values()
    )


@pytest.mark.parametrize('other_allowed', [{'t2', 't4'}, {'t2'}])
def test_lasting_task_moves_where_another_can_run_on_one_target_only(
    other_allowed,
):
    cell = BusyCell(job.Urgency.LOW)
    other = 'f0' * 8
    cell.allowed = {f'{other}.0.0': other_allowed, f'{LASTING}.0.0': {'t2'}}
    cell.submit_lasting(name=other)
    cell.pass_time(2000)
    first = cell.tables.tasks[f'{other}.0.0.0']
    assert first.state is job.TaskState.RUNNING
    cell.submit_lasting()
    cell.pass_time(6000)
    moved = cell.tables.tasks[f'{other}.0.0.0']
    assert moved.state is job.TaskState.RUNNING
    expected = job.TaskState.WAITING
    if len(other_allowed) > 1:
        expected = job.TaskState.RUNNING
    assert cell.lasting().state is expected
