"""Overdue lasting work does not stop, starve or cost more than it needs."""

import pytest

from . import (
    cell_test,
    event,
    fleet,
    job,
    reclaim,
    resource,
    step_reservation,
    step_reservation_test,
    workflow_test,
)

LONG_MS = 60_000
STOP_MS = 1500
OTHER = 'f0' * 8


class SlowStopCell(cell_test.Cell):
    """A cell whose tasks run until they are stopped, which takes a while."""

    def __init__(self, targets):
        super().__init__(targets=targets)
        self.ends_at = {}
        self.stop_count = 0

    def pass_time(self, duration_ms):
        for _ in range(duration_ms // step_reservation_test.PASS_MS):
            self.end_stopped()
            effects = self.dispatch(step_reservation_test.PASS_MS)
            for attempt in workflow_test.started_attempts(effects):
                self.start(attempt)
            for attempt in workflow_test.stopped_attempts(effects):
                self.stop_count += 1
                self.ends_at[attempt.attempt] = self.now + STOP_MS

    def end_stopped(self):
        for name, ends_at in list(self.ends_at.items()):
            if ends_at <= self.now:
                self.ends_at.pop(name)
                self.report(self.tables.attempts[name], job.EndReason.STOPPED)

    def submit_step(self, name, step, urgency=job.Urgency.LOW):
        self.submit(
            workflow_test.workflow(
                step, job=name, request_id=name, urgency=urgency
            )
        )

    def state_of(self, name):
        return self.tables.tasks[f'{name}.0.0.0'].state


def number_names(first, count):
    return [f'{number:016x}' for number in range(first, first + count)]


def keep_running(cell):
    """Let the work that runs on a cell run for a long time."""
    cell.ends_at = dict.fromkeys(cell.ends_at, cell.now + LONG_MS)


def stopping_on(cell):
    """Return the targets on which attempts are being stopped."""
    attempts = cell.tables.attempts.values()
    return {one.target for one in attempts if one.stopping is not None}


def allow(cell, step, *names):
    """Let a step run on more targets."""
    tickets = tuple((name, f'ticket of {name}') for name in names)
    cell.apply(event.AdviceReceived, step, names, tickets, 0)


def count_stopped(cell):
    history = (
        ended for task in cell.tables.tasks.values() for ended in task.history
    )
    return sum(ended.reason is job.EndReason.STOPPED for ended in history)


def test_two_overdue_steps_do_not_count_on_the_same_ending_work():
    # So many targets that two tasks are within the share to be reserved.
    targets = 20
    cell = SlowStopCell(targets=targets)
    for name in number_names(1, 3 * targets):
        cell.submit_step(name, cell_test.step(1, 1300))
    cell.pass_time(500)
    assert len(cell.tables.attempts) == 3 * targets
    for name in number_names(1 << 60, 2):
        cell.submit_step(name, cell_test.step(1, 3500, is_lasting=True))
    cell.pass_time(step_reservation.RESERVE_AFTER_MS + 300)
    assert len(stopping_on(cell)) == 2


def test_no_work_is_stopped_for_a_cancelled_task_on_a_silent_target():
    cell = step_reservation_test.BusyCell(job.Urgency.LOW)
    cell.submit_lasting()
    cell.pass_time(3000)
    keep_running(cell)
    lost = cell.tables.attempts[cell.lasting().attempt]
    stopped_before = count_stopped(cell)
    cell.apply(event.SilenceNoted, lost.session, 1400)
    cell.apply(event.JobCancelled, step_reservation_test.LASTING)
    cell.pass_time(4200)
    assert cell.lasting().attempt == lost.attempt
    assert count_stopped(cell) == stopped_before


def test_work_whose_end_frees_nothing_that_is_short_is_not_stopped():
    cell = SlowStopCell(targets=1)
    short, filler, lasting = number_names(1, 3)
    cell.submit_step(short, cell_test.step(1, 2000))
    cell.submit_step(filler, cell_test.step(1, 2000, is_filler=True))
    cell.pass_time(500)
    cell.submit_step(lasting, cell_test.step(1, 3500, is_lasting=True))
    cell.pass_time(1200)
    stopping = [
        one.task for one in cell.tables.attempts.values() if one.stopping
    ]
    assert stopping == [f'{short}.0.0.0']


def test_lasting_task_is_not_moved_to_a_target_full_of_urgent_work():
    cell = step_reservation_test.BusyCell(job.Urgency.CRITICAL)
    other = f'{OTHER}.0.0'
    lasting = f'{step_reservation_test.LASTING}.0.0'
    cell.allowed = {other: {'t2'}, lasting: {'t2'}}
    cell.submit_lasting(name=OTHER)
    cell.pass_time(5000)
    first = cell.tables.tasks[f'{other}.0']
    assert first.state is job.TaskState.RUNNING
    keep_running(cell)
    tickets = cell.tables.steps[other].tickets
    assert [one.target for one in tickets] == ['t2']
    allow(cell, other, 't4')
    cell.submit_lasting()
    cell.pass_time(4000)
    assert cell.tables.tasks[f'{other}.0'].attempt == first.attempt


def test_work_below_its_floor_gets_the_room_that_is_made_for_it():
    cell = SlowStopCell(targets=1)
    for name in number_names(1, 3):
        cell.submit_step(name, cell_test.step(1, 3500, is_lasting=True))
    cell.pass_time(2000)
    urgent = cell.submit(
        cell_test.specify(9, millicores=3500, urgency=job.Urgency.CRITICAL)
    )
    cell.pass_time(20_000)
    assert cell.stop_count == 1
    assert cell.task(urgent.job).state is job.TaskState.RUNNING


def test_least_urgent_lasting_work_leaves_room_for_the_most_urgent():
    cell = step_reservation_test.BusyCell(job.Urgency.CRITICAL)
    cell.pass_time(1000)
    cell.submit(
        workflow_test.workflow(
            cell_test.step(
                step_reservation_test.TARGETS, 3500, is_lasting=True
            ),
            job=OTHER,
            urgency=job.Urgency.LOW,
        )
    )
    cell.pass_time(20_000)
    running = cell.tables.attempts.values()
    assert any(not one.task.startswith(OTHER) for one in running)


@pytest.mark.parametrize('count', [15, 16])
def test_lasting_steps_that_fit_nowhere_do_not_keep_others_from_room(count):
    cell = step_reservation_test.BusyCell(job.Urgency.LOW)
    for name in number_names(1 << 60, count):
        cell.submit(
            workflow_test.workflow(
                cell_test.step(1, is_lasting=True, label='none'),
                job=name,
                request_id=name,
                urgency=job.Urgency.HIGH,
            )
        )
    cell.pass_time(1000)
    cell.submit_lasting()
    cell.pass_time(step_reservation_test.LOST_AFTER_MS)
    assert cell.lasting().state is job.TaskState.RUNNING


@pytest.mark.parametrize('targets', [10, 40])
def test_pass_with_a_cell_full_of_lasting_work_looks_at_few_options(
    monkeypatch, targets
):
    cell = SlowStopCell(targets=targets)
    for name in number_names(1, targets):
        cell.submit_step(name, cell_test.step(1, 3500, is_lasting=True))
    cell.pass_time(500)
    late = number_names(targets + 1, 1)[0]
    cell.submit_step(late, cell_test.step(1, 3500, is_lasting=True))
    cell.pass_time(2000)
    assert cell.state_of(late) is job.TaskState.WAITING
    looked_at = []
    find_option = reclaim.find_option

    def count(tables, task, load):
        looked_at.append(load.target)
        return find_option(tables, task, load)

    monkeypatch.setattr(reclaim, 'find_option', count)
    cell.dispatch(100)
    assert len(looked_at) <= 4 * targets


def test_wide_lasting_step_that_fits_reserves_nothing():
    cell = SlowStopCell(targets=150)
    name = number_names(1, 1)[0]
    cell.submit_step(name, cell_test.step(150, 3500, is_lasting=True))
    cell.tables.time += step_reservation.RESERVE_AFTER_MS
    reserved = step_reservation.reserve(cell.tables)
    step_reservation.release(cell.tables, reserved)
    assert not reserved


def test_lasting_step_that_is_not_overdue_looks_at_no_full_targets(monkeypatch):
    cell = SlowStopCell(targets=3)
    *running, waiting = number_names(1, 4)
    for name in running:
        cell.submit_step(name, cell_test.step(1, 3500, is_lasting=True))
    cell.pass_time(500)
    looked_at = []
    matches = fleet.TargetLoad.matches

    def count(load, pool, label):
        looked_at.append(load.target)
        return matches(load, pool, label)

    monkeypatch.setattr(fleet.TargetLoad, 'matches', count)
    cell.submit_step(waiting, cell_test.step(1, 3500, is_lasting=True))
    cell.pass_time(500)
    assert not looked_at


def test_room_made_for_a_lasting_task_is_kept_until_its_retry():
    cell = step_reservation_test.BusyCell(job.Urgency.LOW)
    cell.allowed = {f'{step_reservation_test.LASTING}.0.0': {'t2'}}
    cell.unconfirmed = {f'{step_reservation_test.LASTING}.0.0.0'}
    cell.pass_time(1000)
    cell.submit_lasting()
    while cell.lasting().attempt is None:
        cell.pass_time(step_reservation_test.PASS_MS)
    placed = cell.tables.attempts[cell.lasting().attempt]
    cell.ends_at.pop(placed.attempt)
    cell.report(placed, job.EndReason.REFUSED)
    keep_running(cell)
    cell.pass_time(step_reservation_test.PASS_MS)
    assert cell.lasting().attempt is None
    load = cell.tables.fleet.loads[placed.target]
    assert resource.fits(placed.held, load.free)


def stopped_for_lasting_task(needs):
    """Return the tasks stopped for a lasting one beside work on one target."""
    cell = SlowStopCell(targets=1)
    running, lasting = number_names(1, 2)
    cell.submit_step(running, needs)
    cell.pass_time(500)
    assert cell.state_of(running) is job.TaskState.RUNNING
    cell.submit_step(lasting, cell_test.step(1, 3500, is_lasting=True))
    cell.pass_time(1500)
    return [one.task for one in cell.tables.attempts.values() if one.stopping]


def test_work_without_a_gang_is_stopped_for_a_lasting_task():
    assert len(stopped_for_lasting_task(cell_test.step(2))) == 2


def test_gang_is_not_stopped_for_a_lasting_task():
    assert not stopped_for_lasting_task(cell_test.step(2, is_gang=True))


def test_least_urgent_work_is_stopped_first_for_a_lasting_task():
    cell = SlowStopCell(targets=1)
    first, second, lasting = number_names(1, 3)
    cell.submit_step(first, cell_test.step(1, 1500), job.Urgency.LOW)
    cell.pass_time(500)
    cell.submit_step(second, cell_test.step(1, 1500), job.Urgency.NORMAL)
    cell.pass_time(1000)
    cell.submit_step(
        lasting,
        cell_test.step(1, 2000, is_lasting=True),
        job.Urgency.NORMAL,
    )
    cell.pass_time(1500)
    stopping = [
        one.task for one in cell.tables.attempts.values() if one.stopping
    ]
    assert stopping == [f'{first}.0.0.0']


@pytest.mark.parametrize(
    ('urgency', 'planned_absences', 'is_moved'),
    [
        (job.Urgency.HIGH, 0, True),
        (job.Urgency.HIGH, 1, False),
        (job.Urgency.CRITICAL, 0, False),
    ],
)
def test_lasting_task_moves_only_if_no_rule_or_urgency_forbids_it(
    urgency, planned_absences, is_moved
):
    cell = step_reservation_test.BusyCell(job.Urgency.LOW)
    other = f'{OTHER}.0.0'
    cell.allowed = {
        other: {'t2', 't4'},
        f'{step_reservation_test.LASTING}.0.0': {'t2'},
    }
    needs = cell_test.step(
        1, 3500, is_lasting=True, planned_absences=planned_absences
    )
    cell.submit(
        workflow_test.workflow(
            needs,
            job=OTHER,
            request_id=OTHER,
            urgency=urgency,
            advice=workflow_test.TERMS,
        )
    )
    cell.pass_time(2000)
    first = cell.tables.tasks[f'{other}.0']
    assert cell.tables.attempts[first.attempt].target == 't2'
    cell.submit_lasting()
    cell.pass_time(4000)
    moved = cell.tables.tasks[f'{other}.0']
    assert (moved.attempt != first.attempt) is is_moved
