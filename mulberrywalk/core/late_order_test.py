"""Orders that are executed late, twice or not at all, and lost answers.

Each of them makes a run that the leader counts as ended and the target does
not, or the other way round, until a report tells which.
"""

import pytest

from . import cell_test, confirmation, event, job, outcome, workflow_test

HELD_MILLICORES = 1000
FULL_MILLICORES = cell_test.CAPACITY.millicores
TICKET_MS = workflow_test.TERMS.valid_ms


class Scene:
    """A cell of two targets with one lasting task, placed on the first."""

    def __init__(self):
        self.cell = workflow_test.advised_cell(2)
        needs = cell_test.step(1, HELD_MILLICORES, is_lasting=True)
        self.cell.submit(workflow_test.workflow(needs, queue='q'))
        self.advise(workflow_test.advice_requests(self.cell.dispatch()))
        self.cell.dispatch()
        self.first = self.attempt()

    @property
    def tables(self):
        return self.cell.tables

    def advise(self, requests):
        for request in requests:
            workflow_test.answer_advice(self.cell, request, *request.targets)

    def attempt(self):
        return cell_test.only(self.tables.attempts.values())

    def free(self, target):
        load = self.tables.fleet.loads[target]
        return load.free.millicores

    def tickets(self):
        step = cell_test.only(self.tables.steps.values())
        return {ticket.target: ticket.ticket for ticket in step.tickets}

    def place_again(self):
        """Let the retry delay pass and answer the questions meanwhile."""
        for _ in range(4):
            self.advise(workflow_test.advice_requests(self.cell.dispatch(250)))
        self.cell.dispatch(250)
        return self.attempt()

    def stop_unconfirmed(self):
        self.cell.dispatch(confirmation.START_TIMEOUT_MS)
        assert self.attempt().stopping is job.StopReason.UNCONFIRMED


def test_capacity_is_held_until_an_ignored_start_has_expired():
    scene = Scene()
    target = scene.first.target
    scene.cell.dispatch(1500)
    assert scene.free(target) == FULL_MILLICORES - HELD_MILLICORES
    scene.cell.report(scene.first, job.EndReason.START_EXPIRED)
    assert scene.free(target) == FULL_MILLICORES
    assert target not in scene.tickets()
    assert scene.place_again().target != target


def test_ignored_stop_holds_capacity_until_the_start_has_expired():
    scene = Scene()
    scene.stop_unconfirmed()
    scene.cell.dispatch(1000)
    assert scene.attempt().attempt == scene.first.attempt
    assert scene.free(scene.first.target) == FULL_MILLICORES - HELD_MILLICORES
    scene.cell.report(scene.first, job.EndReason.START_EXPIRED)
    assert scene.free(scene.first.target) == FULL_MILLICORES
    assert scene.place_again().target != scene.first.target


def test_start_executed_after_its_stop_was_sent_holds_capacity():
    scene = Scene()
    scene.stop_unconfirmed()
    scene.cell.start(scene.first)
    scene.cell.dispatch(1000)
    assert scene.attempt().stopping is job.StopReason.UNCONFIRMED
    assert scene.free(scene.first.target) == FULL_MILLICORES - HELD_MILLICORES
    scene.cell.report(scene.first, job.EndReason.STOPPED)
    assert scene.free(scene.first.target) == FULL_MILLICORES


def test_target_that_starts_after_the_stop_is_not_used_again_at_once():
    scene = Scene()
    scene.stop_unconfirmed()
    scene.cell.start(scene.first)
    scene.cell.report(scene.first, job.EndReason.STOPPED)
    assert scene.place_again().target != scene.first.target


@pytest.mark.parametrize(
    'reason',
    [
        job.EndReason.STOPPED,
        job.EndReason.NEVER_STARTED,
        job.EndReason.START_EXPIRED,
        job.EndReason.LEASE_LAPSED,
    ],
)
def test_late_end_of_an_earlier_run_leaves_the_newer_run_alone(reason):
    scene = Scene()
    scene.cell.report(scene.first, job.EndReason.START_EXPIRED)
    newer = scene.place_again()
    scene.cell.start(newer)
    tickets = scene.tickets()
    scene.cell.report(scene.first, reason)
    task = cell_test.only(scene.tables.tasks.values())
    assert task.attempt == newer.attempt
    assert task.state is job.TaskState.RUNNING
    assert scene.tickets() == tickets
    assert scene.free(newer.target) == FULL_MILLICORES - HELD_MILLICORES
    assert scene.free(scene.first.target) == FULL_MILLICORES


def test_late_start_of_an_ended_run_does_not_count_as_running():
    scene = Scene()
    scene.cell.report(scene.first, job.EndReason.START_EXPIRED)
    scene.cell.start(scene.first)
    task = cell_test.only(scene.tables.tasks.values())
    assert task.state is job.TaskState.WAITING
    assert task.task in scene.tables.absent
    assert scene.place_again().number == 2


def test_end_reported_twice_frees_capacity_once():
    scene = Scene()
    scene.cell.start(scene.first)
    for _ in range(2):
        scene.cell.report(scene.first, job.EndReason.LEASE_LAPSED)
    assert scene.free(scene.first.target) == FULL_MILLICORES
    assert scene.place_again().number == 2


def test_start_confirmed_twice_changes_nothing():
    scene = Scene()
    scene.cell.start(scene.first)
    running = scene.attempt()
    scene.cell.now += 100
    scene.cell.start(scene.first)
    assert scene.attempt() == running
    assert scene.free(running.target) == FULL_MILLICORES - HELD_MILLICORES


def test_target_whose_answers_are_lost_keeps_its_task_until_the_lease_ends():
    scene = Scene()
    target = scene.first.target
    scene.cell.apply(event.SilenceNoted, scene.first.session, 1400)
    scene.advise(workflow_test.advice_requests(scene.cell.dispatch(4000)))
    assert scene.attempt().attempt == scene.first.attempt
    assert scene.free(target) == FULL_MILLICORES - HELD_MILLICORES
    scene.cell.apply(event.SessionExpired, scene.first.session)
    assert target not in scene.tables.fleet.loads
    assert scene.place_again().target != target


def test_report_after_the_lease_has_ended_is_refused():
    scene = Scene()
    scene.cell.apply(event.SessionExpired, scene.first.session)
    effects = scene.cell.start(scene.first)
    refused = effects[0].outcome
    assert refused.reason is outcome.RefusalReason.SESSION_GONE
    newer = scene.place_again()
    assert newer.number == 2
    assert not newer.started_at


def test_late_end_of_a_start_keeps_a_ticket_granted_since():
    scene = Scene()
    target = scene.first.target
    step = cell_test.only(scene.tables.steps)
    scene.cell.now += TICKET_MS
    granted = ((target, 'newer ticket'),)
    scene.cell.apply(event.AdviceReceived, step, (target,), granted, 0)
    scene.cell.report(scene.first, job.EndReason.START_EXPIRED)
    assert scene.tickets()[target] == 'newer ticket'
