"""The end of a step tells where its time was spent, by stages that add up."""

import msgspec

from . import cell_test, effect, event, job, snapshot, workflow_test

NAME = '0123456789abcdef'
STEP = f'{NAME}.0.0'
TERMS = job.AdviceSettings(decision_ms=20, per_target_us=300, valid_ms=2500)
WHOLE = 4000


def submit(cell, *steps, **more):
    steps = steps or (cell_test.step(),)
    cell.submit(
        cell_test.specify(1, job.Kind.WORKFLOW, steps=steps, job=NAME, **more)
    )


def find_ends(effects):
    return [
        one.detail
        for one in effects
        if isinstance(one, effect.Trace) and one.what == 'step ended'
    ]


def fields_of(line):
    """Return the numbers of a line by name."""
    pairs = [word.split('=') for word in line.split() if '=' in word]
    return {name: int(found) for name, found in pairs if found.isdecimal()}


def attempt_of(cell, number=0, step=STEP):
    task = cell.tables.tasks[f'{step}.{number}']
    return cell.tables.attempts[task.attempt]


def run(cell, number=0, step=STEP, elapsed_ms=100):
    """Start and complete a task; return the ends of steps."""
    cell.start(attempt_of(cell, number, step))
    cell.now += elapsed_ms
    effects = cell.report(
        attempt_of(cell, number, step), job.EndReason.COMPLETED
    )
    return find_ends(effects)


def answer(cell, *allowed, asked=('t0', 't1')):
    tickets = tuple((name, f'ticket of {name}') for name in allowed)
    cell.apply(event.AdviceReceived, STEP, asked, tickets, 0)


def stages_of(fields):
    names = ('advice_ms', 'first_place_ms', 'last_place_ms', 'after_ms')
    stages = [fields[name] for name in names]
    assert sum(stages) == fields['ms']
    return stages


def test_step_tells_its_stages_once():
    cell = cell_test.Cell(targets=1)
    submit(cell, cell_test.step(2, WHOLE))
    cell.dispatch(40)
    cell.now += 30
    assert not run(cell, 0)
    cell.dispatch(10)
    cell.now += 5
    line = cell_test.only(run(cell, 1))
    assert line == (
        f'{STEP}: completed queue= tasks=2 ms=285 advice_ms=0'
        ' first_place_ms=40 last_place_ms=140 after_ms=105 start_ms=35'
        ' run_ms=200 again_ms=0 attempts=2 uncompleted=0 questions=0'
        ' asking_ms=0'
    )


def test_wait_for_advice_is_told_apart_from_the_wait_for_room():
    cell = cell_test.Cell(targets=2)
    submit(cell, advice=TERMS)
    cell.dispatch(20)
    cell.now += 600
    answer(cell, asked=())
    cell.dispatch(250)
    cell.now += 700
    answer(cell, 't1')
    cell.dispatch(50)
    fields = fields_of(cell_test.only(run(cell)))
    assert stages_of(fields) == [1570, 50, 0, 100]
    assert (fields['questions'], fields['asking_ms']) == (2, 1300)


def test_lapsed_tickets_count_as_further_questions():
    cell = cell_test.Cell(targets=1)
    submit(cell, advice=TERMS)
    cell.dispatch()
    cell.now += 600
    answer(cell, 't0', asked=('t0',))
    cell.dispatch(TERMS.valid_ms)
    cell.now += 400
    answer(cell, 't0', asked=('t0',))
    cell.dispatch()
    fields = fields_of(cell_test.only(run(cell)))
    assert stages_of(fields) == [600, 2900, 0, 100]
    assert (fields['questions'], fields['asking_ms']) == (2, 1000)


def test_queue_of_a_step_is_told():
    cell = workflow_test.advised_cell()
    cell.submit(workflow_test.workflow(cell_test.step(), queue='q'))
    effects = cell.apply(event.JobCancelled, NAME)
    line = cell_test.only(find_ends(effects))
    assert line.startswith(f'{STEP}: cancelled queue=q tasks=1 ms=0 ')


def test_wait_for_earlier_steps_is_left_out():
    cell = cell_test.Cell(targets=1)
    submit(cell, cell_test.step(), cell_test.step(after=(0,)))
    cell.dispatch(1000)
    run(cell, elapsed_ms=3000)
    cell.dispatch(70)
    line = cell_test.only(run(cell, step=f'{NAME}.0.1'))
    assert stages_of(fields_of(line)) == [0, 70, 0, 100]


def test_repeated_attempts_are_added_up():
    cell = cell_test.Cell(targets=1)
    submit(cell)
    cell.dispatch(10)
    cell.now += 200
    cell.report(attempt_of(cell), job.EndReason.NEVER_STARTED)
    cell.dispatch(300)
    cell.now += 50
    cell.start(attempt_of(cell))
    cell.now += 1000
    cell.report(attempt_of(cell), job.EndReason.FAILED)
    cell.dispatch(30)
    fields = fields_of(cell_test.only(run(cell)))
    assert stages_of(fields) == [0, 10, 0, 1680]
    assert (fields['start_ms'], fields['run_ms']) == (250, 1100)
    assert fields['again_ms'] == 330
    assert (fields['attempts'], fields['uncompleted']) == (3, 2)


def test_step_that_was_not_all_placed_ends_with_its_job():
    cell = cell_test.Cell(targets=1)
    submit(cell, cell_test.step(2, WHOLE), cell_test.step(after=(0,)))
    cell.dispatch(40)
    cell.now += 500
    assert not find_ends(cell.apply(event.JobCancelled, NAME))
    effects = cell.report(attempt_of(cell), job.EndReason.NEVER_STARTED)
    line = cell_test.only(find_ends(effects))
    assert line.startswith(f'{STEP}: cancelled ')
    assert stages_of(fields_of(line)) == [0, 40, 500, 0]


def test_completed_step_of_a_cancelled_job_is_told_once():
    cell = cell_test.Cell(targets=1)
    submit(cell, cell_test.step(), cell_test.step(after=(0,)))
    cell.dispatch()
    assert len(run(cell)) == 1
    line = cell_test.only(find_ends(cell.apply(event.JobCancelled, NAME)))
    assert line.startswith(f'{NAME}.0.1: cancelled ')


def test_snapshot_keeps_the_times_of_a_step():
    cell = cell_test.Cell(targets=2)
    submit(cell, advice=TERMS)
    cell.dispatch(20)
    cell.now += 600
    answer(cell, 't1')
    cell.tables = snapshot.decode(snapshot.encode(cell.tables))
    cell.dispatch(50)
    fields = fields_of(cell_test.only(run(cell)))
    assert stages_of(fields) == [620, 50, 0, 100]
    assert (fields['questions'], fields['asking_ms']) == (1, 600)


def encode_as_before(step):
    """Encode a step without the fields that older programs don't know."""
    record = msgspec.to_builtins(step)
    for name in ('released_at', 'first_ticket_at', 'questions', 'asking_ms'):
        record.pop(name)
    return msgspec.msgpack.encode(record)


def test_step_of_an_older_program_tells_no_stages():
    cell = cell_test.Cell(targets=1)
    submit(cell)
    encoded = encode_as_before(cell.tables.steps[STEP])
    cell.tables.steps[STEP] = msgspec.msgpack.decode(encoded, type=job.Step)
    cell.dispatch(40)
    fields = fields_of(cell_test.only(run(cell)))
    assert 'ms' not in fields
    assert fields['run_ms'] == 100
