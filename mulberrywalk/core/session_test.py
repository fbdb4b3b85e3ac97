"""Sessions of targets that join, leave or fall silent."""

from . import cell_test, effect, event, job


def test_leaving_target_gets_nothing_and_recalls_starts():
    cell = cell_test.Cell(targets=1)
    cell.submit(cell_test.specify(1))
    effects = cell.dispatch()
    attempt = next(iter(cell.tables.attempts.values()))
    effects = cell.apply(event.DepartureAnnounced, attempt.session)
    assert any(isinstance(one, effect.StopAttempt) for one in effects)
    cell.submit(cell_test.specify(2))
    assert not any(
        isinstance(one, effect.StartAttempt) for one in cell.dispatch(1000)
    )


def test_task_is_set_aside_when_no_kind_of_target_fits():
    cell = cell_test.Cell()
    accepted = cell.submit(cell_test.specify(1, millicores=50_000))
    assert not cell.tables.waiting.infeasible
    cell.open_session(0)
    assert set(cell.tables.waiting.infeasible) == {job.task_id(accepted.job, 0)}


def test_impossible_job_blocks_nobody():
    cell = cell_test.Cell(targets=1)
    for number in range(30):
        cell.submit(cell_test.specify(number, millicores=50_000))
    fitting = cell.submit(cell_test.specify(99))
    cell.dispatch()
    assert cell.task(fitting.job).state is job.TaskState.PLACED


def test_silent_target_gets_no_new_work_until_it_is_heard():
    cell = cell_test.Cell(targets=1)
    session = cell_test.only(cell.tables.sessions)
    cell.apply(event.SilenceNoted, session, 1200)
    cell.submit(cell_test.specify(1))
    cell.dispatch()
    assert not cell.tables.attempts
    cell.apply(event.SilenceNoted, session, 0)
    cell.dispatch()
    assert len(cell.tables.attempts) == 1


def test_new_session_of_a_silent_target_gets_work():
    cell = cell_test.Cell(targets=1)
    session = cell_test.only(cell.tables.sessions)
    cell.apply(event.SilenceNoted, session, 1200)
    cell.open_session(0, ended=session)
    cell.submit(cell_test.specify(1))
    cell.dispatch()
    assert len(cell.tables.attempts) == 1
