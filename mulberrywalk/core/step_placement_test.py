"""Steps are placed on steady targets where possible."""

from . import (
    cell_test,
    event,
    identity,
    job,
    step_placement,
    target,
    workflow,
    workflow_test,
)


def submit_lasting(cell, number):
    needs = cell_test.step(1, is_lasting=True)
    cell.submit(cell_test.specify(number, job.Kind.WORKFLOW, steps=(needs,)))
    cell.dispatch()
    return max(
        cell.tables.attempts.values(), key=lambda attempt: attempt.placed_at
    )


def go_silent_and_return(cell, name):
    session = cell.tables.targets[name].session
    for silent_ms in (1400, 0):
        cell.apply(event.SilenceNoted, session, silent_ms)


def test_unsteady_target_does_not_attract_lasting_work():
    cell = cell_test.Cell(targets=2)
    first = submit_lasting(cell, 1)
    steady, empty = first.target, cell_test.only({'t0', 't1'} - {first.target})
    go_silent_and_return(cell, empty)
    cell.dispatch(1000)
    assert submit_lasting(cell, 2).target == steady
    cell.dispatch(target.UNSTEADY_MS)
    assert submit_lasting(cell, 3).target == empty


def test_unsteady_target_is_used_when_no_other_has_room():
    cell = cell_test.Cell(targets=1)
    go_silent_and_return(cell, 't0')
    assert submit_lasting(cell, 1).target == 't0'


def test_late_lasting_work_is_not_put_back():
    cell = cell_test.Cell()
    needs = cell_test.step(1, is_lasting=True)
    cell.submit(
        cell_test.specify(1, job.Kind.WORKFLOW, steps=(needs,), job='0' * 16)
    )
    cell.dispatch(1_000_000)
    step = identity.StepId(f'{"0" * 16}.0.0')
    assert cell.now > cell.tables.steps[step].worthless_at
    assert not workflow.demote_if_worthless(cell.tables, step)
    assert cell.tables.steps[step].order < cell.tables.steps[step].worthless_at


def test_targets_are_not_listed_again_while_an_answer_is_awaited(monkeypatch):
    listed = []
    find = step_placement.find_eligible_targets

    def count_lists(tables, name, *more):
        listed.append(name)
        return find(tables, name, *more)

    monkeypatch.setattr(step_placement, 'find_eligible_targets', count_lists)
    cell = workflow_test.advised_cell(2)
    whole_target = cell_test.step(4, 4000)
    cell.submit(workflow_test.workflow(whole_target, queue='q'))
    request = cell_test.only(workflow_test.advice_requests(cell.dispatch()))
    cell.open_session(2)
    workflow_test.answer_advice(cell, request, 't0')
    listed.clear()
    passes = [
        workflow_test.advice_requests(cell.dispatch(10)) for _ in range(20)
    ]
    cell_test.only([requests for requests in passes if requests])
    assert len(listed) == 1
