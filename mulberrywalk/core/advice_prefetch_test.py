"""Advice for work on a silent target is requested before the work is lost."""

import pytest

from . import cell_test, event, snapshot, workflow_test

LEASE_MS = 5500
SILENT_MS = 1400
UNTIL_EXPIRY_MS = LEASE_MS + 300 - SILENT_MS


def announce(cell, number):
    announced = cell_test.announce(number, f'n{number}', lease_ms=LEASE_MS)
    cell.apply(event.SessionOpened, announced)


def submit(cell, **more):
    needs = cell_test.step(1, **more)
    cell.submit(workflow_test.workflow(needs, queue='q'))
    question = cell_test.only(workflow_test.advice_requests(cell.dispatch()))
    workflow_test.answer_advice(cell, question, *question.targets)
    return cell_test.only(workflow_test.started_attempts(cell.dispatch()))


@pytest.fixture
def cell():
    cell = workflow_test.advised_cell(0)
    for number in range(2):
        announce(cell, number)
    return cell


def fall_silent(cell, attempt):
    cell.start(attempt)
    cell.now += 10_000
    cell.apply(event.SilenceNoted, attempt.session, SILENT_MS)


def test_work_lost_with_a_silent_target_does_not_wait_for_advice(cell):
    attempt = submit(cell, is_lasting=True)
    fall_silent(cell, attempt)
    assert not workflow_test.advice_requests(
        cell.dispatch(UNTIL_EXPIRY_MS - 1000)
    )
    asked = workflow_test.advice_requests(cell.dispatch(800))
    question = cell_test.only(asked)
    assert attempt.target not in question.targets
    workflow_test.answer_advice(cell, question, *question.targets)
    assert not workflow_test.advice_requests(cell.dispatch(100))
    cell.apply(event.SessionExpired, attempt.session)
    again = cell_test.only(workflow_test.started_attempts(cell.dispatch(100)))
    assert again.target != attempt.target


def test_no_advice_is_requested_for_work_that_ends_by_itself(cell):
    attempt = submit(cell)
    fall_silent(cell, attempt)
    assert not workflow_test.advice_requests(
        cell.dispatch(UNTIL_EXPIRY_MS - 200)
    )


def test_no_advice_is_requested_for_a_target_that_is_heard_again(cell):
    attempt = submit(cell, is_lasting=True)
    fall_silent(cell, attempt)
    cell.apply(event.SilenceNoted, attempt.session, 0)
    assert not workflow_test.advice_requests(
        cell.dispatch(UNTIL_EXPIRY_MS - 200)
    )


def test_restored_state_knows_which_targets_are_silent(cell):
    attempt = submit(cell, is_lasting=True)
    fall_silent(cell, attempt)
    restored = snapshot.decode(snapshot.encode(cell.tables))
    assert restored.silent == cell.tables.silent == {attempt.target}
    cell.apply(event.SessionExpired, attempt.session)
    assert not cell.tables.silent
