"""The targets of an absent task are counted by what keeps it from them."""

import pytest

from . import absence, absence_target, cell_test, event, job

NAME = '0123456789abcdef'
STEP = f'{NAME}.0.0'
TERMS = job.AdviceSettings(decision_ms=20, per_target_us=300, valid_ms=2500)
STATES = absence_target.TargetState
# Each target of the cell holds one such task.
WHOLE = 4000


def submit(cell, *steps, **more):
    cell.submit(
        cell_test.specify(1, job.Kind.WORKFLOW, steps=steps, job=NAME, **more)
    )


def ask(cell, asked, allowed, **fields):
    """Submit an advised step and let the adviser answer its question."""
    step = cell_test.step(1, WHOLE, is_lasting=True, **fields)
    submit(cell, step, advice=TERMS)
    cell.dispatch()
    tickets = tuple((name, f'ticket of {name}') for name in allowed)
    cell.apply(event.AdviceReceived, STEP, asked, tickets, 0)


def fill(cell, count=1):
    """Run other work on as many targets as it has tasks."""
    cell.submit(cell_test.specify(9, count=count, millicores=WHOLE))
    cell.dispatch()


def count(cell, number=0):
    task = cell.tables.tasks[f'{STEP}.{number}']
    return absence_target.count_targets(cell.tables, task)


def states(cell, number=0):
    """Return the states of the allowed targets, without those of none."""
    counts = count(cell, number)
    assert counts.allowed == sum(counts.by_state.values())
    return {one: times for one, times in counts.by_state.items() if times}


def test_full_and_silent_targets_are_told_apart():
    cell = cell_test.Cell(targets=3)
    fill(cell, 2)
    submit(cell, cell_test.step(1, WHOLE, is_lasting=True))
    assert states(cell) == {STATES.FULL: 2, STATES.FREE: 1}
    full = next(iter(cell.tables.attempts.values()))
    cell.apply(event.SilenceNoted, full.session, 1200)
    assert states(cell) == {STATES.SILENT: 1, STATES.FULL: 1, STATES.FREE: 1}


def test_draining_target_counts_as_closed():
    cell = cell_test.Cell(targets=2)
    submit(cell, cell_test.step(1, WHOLE, is_lasting=True))
    session = cell.tables.targets['t0'].session
    cell.apply(event.DepartureAnnounced, session)
    assert states(cell) == {STATES.CLOSED: 1, STATES.FREE: 1}


def test_limit_per_target_is_not_told_as_full():
    cell = cell_test.Cell(targets=2)
    step = cell_test.step(3, 100, is_lasting=True, per_target_limit=1)
    submit(cell, step)
    cell.dispatch()
    assert states(cell, 2) == {STATES.AT_LIMIT: 2}


def test_other_pools_and_labels_do_not_count():
    cell = cell_test.Cell()
    for number, (pool, labels) in enumerate(
        [('north', ()), ('south', ('ssd',)), ('north', ('ssd',))]
    ):
        announced = cell_test.announce(number, 'n', pool=pool, labels=labels)
        cell.apply(event.SessionOpened, announced)
    step = cell_test.step(label='ssd', is_lasting=True)
    submit(cell, step, pool='north')
    assert states(cell) == {STATES.FREE: 1}


def test_target_that_never_holds_a_task_does_not_count():
    cell = cell_test.Cell(targets=2)
    submit(cell, cell_test.step(1, WHOLE + 1, is_lasting=True))
    assert not states(cell)


def test_room_on_barred_and_unknown_targets_is_told_apart():
    cell = cell_test.Cell(targets=4)
    ask(cell, ('t0', 't1', 't2'), ('t0',))
    assert states(cell) == {STATES.FREE: 1}
    counts = count(cell)
    assert (counts.barred_room, counts.unknown_room) == (2, 1)
    assert find_absence(cell).allowed_room == 1


def test_ticket_that_has_lapsed_is_told():
    cell = cell_test.Cell(targets=2)
    ask(cell, ('t0', 't1'), ('t0', 't1'))
    cell.now += TERMS.valid_ms
    cell.apply(event.SilenceNoted, cell.tables.targets['t0'].session, 1200)
    assert states(cell) == {STATES.SILENT: 1, STATES.NO_TICKET: 1}
    assert find_absence(cell).allowed_room == 1


def test_target_is_known_to_be_allowed_once_the_task_was_there():
    cell = cell_test.Cell(targets=1)
    ask(cell, ('t0',), ('t0',))
    cell.dispatch()
    attempt = cell_test.only(list(cell.tables.attempts.values()))
    cell.report(attempt, job.EndReason.NEVER_STARTED)
    assert not cell.tables.steps[STEP].tickets
    assert states(cell) == {STATES.NO_TICKET: 1}


def test_allowed_target_that_is_gone_counts_as_closed():
    cell = cell_test.Cell(targets=2)
    ask(cell, ('t0', 't1'), ('t0',))
    cell.apply(event.SessionExpired, cell.tables.targets['t0'].session)
    assert states(cell) == {STATES.CLOSED: 1}


def find_absence(cell):
    return cell_test.only(absence.find_absences(cell.tables, cell.now, -1))


@pytest.mark.parametrize(
    ('allowed', 'is_elsewhere'),
    [((), True), (('t0',), True), (('t0', 't2'), False)],
)
def test_room_that_the_adviser_does_not_allow_is_told(allowed, is_elsewhere):
    cell = cell_test.Cell(targets=3)
    fill(cell)
    full = cell_test.only(cell.tables.attempts.values()).target
    assert full == 't0'
    ask(cell, ('t0', 't1', 't2'), allowed)
    found = find_absence(cell)
    assert found.has_room()
    assert found.is_room_elsewhere() == is_elsewhere
