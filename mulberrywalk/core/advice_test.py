"""Requests for advice list only targets on which a step could run."""

import pytest

from . import cell_test, job, workflow_test

LIMITED = cell_test.step(3, is_lasting=True, per_target_limit=1)


def test_target_at_the_limit_of_a_step_is_not_asked_about():
    cell = workflow_test.advised_cell(2)
    cell.submit(workflow_test.workflow(LIMITED, queue='q'))
    request = cell_test.only(workflow_test.advice_requests(cell.dispatch()))
    workflow_test.answer_advice(cell, request, 't0', 't1')
    assert len(workflow_test.started_attempts(cell.dispatch())) == 2
    cell.open_session(2)
    effects = cell.dispatch(workflow_test.TERMS.valid_ms)
    repeated = cell_test.only(workflow_test.advice_requests(effects))
    assert repeated.targets == ('t2',)


def test_step_at_its_limit_on_every_target_sends_no_request():
    cell = workflow_test.advised_cell(2)
    cell.submit(workflow_test.workflow(LIMITED, queue='q'))
    request = cell_test.only(workflow_test.advice_requests(cell.dispatch()))
    workflow_test.answer_advice(cell, request, 't0', 't1')
    cell.dispatch()
    effects = cell.dispatch(workflow_test.TERMS.valid_ms)
    assert not workflow_test.advice_requests(effects)


def test_other_targets_are_asked_about_when_allowed_ones_lack_room():
    cell = workflow_test.advised_cell(1)
    steps = cell_test.step(8, 1000)
    cell.submit(workflow_test.workflow(steps, queue='q'))
    request = cell_test.only(workflow_test.advice_requests(cell.dispatch()))
    workflow_test.answer_advice(cell, request, 't0')
    placed = workflow_test.started_attempts(cell.dispatch())
    cell.open_session(1)
    cell.dispatch(workflow_test.TERMS.valid_ms)
    effects = cell.report(placed[0], job.EndReason.COMPLETED)
    requests = workflow_test.advice_requests([*effects, *cell.dispatch(5000)])
    assert cell_test.only(requests).targets == ('t0', 't1')


def test_room_of_allowed_targets_counts_up_to_the_limit_per_target():
    cell = workflow_test.advised_cell(2)
    needs = cell_test.step(2, is_lasting=True, per_target_limit=1)
    cell.submit(workflow_test.workflow(needs, queue='q'))
    request = cell_test.only(workflow_test.advice_requests(cell.dispatch()))
    workflow_test.answer_advice(cell, request, 't0')
    placed = cell_test.only(workflow_test.started_attempts(cell.dispatch()))
    cell.start(placed)
    cell.open_session(2)
    cell.open_session(3)
    cell.dispatch(workflow_test.TERMS.valid_ms)
    effects = cell.report(placed, job.EndReason.LEASE_LAPSED)
    requests = workflow_test.advice_requests([*effects, *cell.dispatch(5000)])
    assert set(cell_test.only(requests).targets) > {'t0'}


@pytest.mark.parametrize('is_lasting', [True, False])
def test_only_lasting_work_asks_while_no_target_has_room(is_lasting):
    cell = workflow_test.advised_cell(2)
    whole_target = cell_test.step(2, 4000)
    cell.submit(workflow_test.workflow(whole_target, job='0' * 16))
    assert len(workflow_test.started_attempts(cell.dispatch())) == 2
    needs = cell_test.step(1, is_lasting=is_lasting)
    cell.submit(workflow_test.workflow(needs, queue='q', request_id='other'))
    requests = workflow_test.advice_requests(cell.dispatch())
    asked = [request.targets for request in requests]
    expected = [('t0', 't1')] if is_lasting else []
    assert asked == expected
