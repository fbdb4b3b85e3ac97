"""The stages of an absence add up to all of it, whatever happens meanwhile."""

import random

import pytest

from ..core import absence, cell_test, event, job
from . import absence_watch

JOB_NAME = '0123456789abcdef'
TASK = f'{JOB_NAME}.0.0.0'
STAGES = absence.Stage


class Scene:
    """A watch of a cell with a job of lasting tasks."""

    def __init__(self, targets=2):
        self.cell = cell_test.Cell(targets=targets)
        self.watch = absence_watch.AbsenceWatch()
        self.look()

    def submit(self, count=1):
        step = cell_test.step(count, 4000, is_lasting=True)
        self.cell.submit(
            cell_test.specify(1, job.Kind.WORKFLOW, steps=(step,), job=JOB_NAME)
        )

    def attempt(self):
        task = self.cell.tables.tasks[TASK]
        return self.cell.tables.attempts[task.attempt]

    def find(self):
        return absence.find_absences(self.cell.tables, self.cell.now, 0)

    def look(self, elapsed_ms=0):
        """Return the absences that have ended since the last look."""
        self.cell.now += elapsed_ms
        return self.watch.look(self.cell.tables, self.find(), self.cell.now)

    def times(self):
        """Return the stages of the only absence, without those of no time."""
        times = self.watch.times_of(cell_test.only(self.find()))
        return {stage: spent for stage, spent in times.items() if spent}

    def start_first_run(self):
        self.submit()
        self.cell.dispatch()
        self.cell.start(self.attempt())
        self.look()

    def lose_run(self, silent_ms):
        """Let the target fall silent; its session expires after a look."""
        session = self.attempt().session
        self.cell.apply(event.SilenceNoted, session, 1)
        self.look(silent_ms)
        self.cell.apply(event.SessionExpired, session)


@pytest.fixture
def scene():
    return Scene()


def lose_run_and_start(scene):
    """Lose a run for 5000 ms and confirm the start of the next one."""
    scene.start_first_run()
    scene.cell.now += 1000
    scene.lose_run(5000)
    scene.cell.dispatch(300)
    scene.cell.now += 200
    scene.cell.start(scene.attempt())


def test_stages_of_one_recovery_add_up(scene):
    scene.start_first_run()
    scene.cell.now += 1000
    scene.lose_run(5800)
    scene.cell.dispatch(300)
    scene.look(700)
    scene.cell.report(scene.attempt(), job.EndReason.NEVER_STARTED)
    scene.look(150)
    assert scene.times() == {
        STAGES.TARGET_SILENT: 5801,
        None: 300,
        STAGES.START_UNCONFIRMED: 700,
        STAGES.RETRY_DELAYED: 150,
    }


def test_wait_counts_for_the_stage_of_the_look_before_its_end(scene):
    scene.start_first_run()
    scene.cell.now += 1000
    scene.lose_run(4000)
    scene.look(900)
    scene.cell.dispatch(300)
    scene.look(100)
    assert scene.times() == {
        STAGES.TARGET_SILENT: 4001,
        STAGES.QUEUED: 1200,
        STAGES.START_UNCONFIRMED: 100,
    }


def test_new_leader_says_what_it_could_not_see():
    scene = Scene()
    scene.start_first_run()
    scene.cell.now += 1000
    scene.lose_run(4000)
    scene.cell.now += 2500
    scene.watch = absence_watch.AbsenceWatch()
    scene.look()
    scene.look(1000)
    assert scene.times() == {
        STAGES.TARGET_SILENT: 4001,
        None: 2500,
        STAGES.QUEUED: 1000,
    }
    assert scene.watch.unwatched_ms(cell_test.only(scene.find())) == 6501


def test_end_of_an_absence_tells_all_of_its_stages(scene):
    lose_run_and_start(scene)
    ended = cell_test.only(scene.look(400))
    assert (ended.ms, ended.is_reported) == (5501, True)
    assert ended.run.attempt == f'{TASK}/2'
    assert ended.times == {
        STAGES.TARGET_SILENT: 5001,
        None: 300,
        STAGES.START_UNCONFIRMED: 200,
    }


def test_run_between_two_looks_ends_an_absence(scene):
    lose_run_and_start(scene)
    scene.cell.report(scene.attempt(), job.EndReason.FAILED)
    ended = cell_test.only(scene.look(400))
    assert (ended.ms, ended.run.attempt) == (5501, f'{TASK}/2')
    assert sum(scene.times().values()) == 400


def test_absence_ends_when_the_target_is_heard_again(scene):
    scene.start_first_run()
    scene.cell.now += 3000
    session = scene.attempt().session
    scene.cell.apply(event.SilenceNoted, session, 1200)
    scene.look(1000)
    scene.cell.now += 300
    scene.cell.apply(event.SilenceNoted, session, 0)
    ended = cell_test.only(scene.look(600))
    assert ended.times == {STAGES.TARGET_SILENT: 2500}
    assert (ended.ms, ended.run.attempt) == (2500, f'{TASK}/1')


def test_silence_that_is_noted_again_is_no_run(scene):
    scene.start_first_run()
    scene.cell.now += 9000
    session = scene.attempt().session
    for quiet_ms in (1200, 2100):
        scene.cell.apply(event.SilenceNoted, session, quiet_ms)
        assert not scene.look(1000)
    assert scene.times() == {STAGES.TARGET_SILENT: 3100}


def test_stages_go_on_when_the_history_forgets_the_last_run(scene):
    scene.start_first_run()
    began_at = scene.cell.now
    scene.cell.report(scene.attempt(), job.EndReason.FAILED)
    for _ in range(30):
        scene.cell.dispatch(1000)
        scene.cell.report(scene.attempt(), job.EndReason.NEVER_STARTED)
        assert not scene.look()
    assert cell_test.only(scene.find()).since > began_at
    assert sum(scene.times().values()) == scene.cell.now - began_at


def test_absence_of_a_cancelled_job_does_not_end_with_a_run(scene):
    scene.start_first_run()
    scene.cell.now += 1000
    scene.lose_run(5000)
    scene.cell.apply(event.JobCancelled, JOB_NAME)
    assert not scene.look(1000)
    assert not scene.find()


class Walk:
    """Random events on the tasks of a scene."""

    def __init__(self, scene, seed):
        self.scene = scene
        self.cell = scene.cell
        self.drawn = random.Random(seed)

    def advance(self):
        self.cell.dispatch(self.drawn.randrange(400))
        attempts = sorted(self.cell.tables.attempts)
        if attempts:
            name = self.drawn.choice(attempts)
            change = self.drawn.choice(
                (self.start, self.end, self.silence, self.hear, self.expire)
            )
            change(self.cell.tables.attempts[name])

    def start(self, attempt):
        self.cell.start(attempt)

    def end(self, attempt):
        reasons = (job.EndReason.FAILED, job.EndReason.NEVER_STARTED)
        self.cell.report(attempt, self.drawn.choice(reasons))

    def silence(self, attempt):
        quiet_ms = self.drawn.randrange(1, 1500)
        self.cell.apply(event.SilenceNoted, attempt.session, quiet_ms)

    def hear(self, attempt):
        self.cell.apply(event.SilenceNoted, attempt.session, 0)

    def expire(self, attempt):
        self.cell.apply(event.SessionExpired, attempt.session)
        self.cell.open_session(int(attempt.target[1:]))


@pytest.mark.parametrize('seed', range(20))
def test_stages_add_up_after_random_events(seed):
    scene = Scene(targets=3)
    scene.submit(count=4)
    walk = Walk(scene, seed)
    for _ in range(200):
        for _ in range(walk.drawn.randrange(6)):
            walk.advance()
        for ended in scene.look():
            assert ended.times.total() == ended.ms
            assert min(ended.times.values()) >= 0
        for absent in scene.find():
            times = scene.watch.times_of(absent)
            since = scene.cell.now - times.total()
            is_forgotten = absent.unstarted_count == len(absent.task.history)
            assert since == absent.since or is_forgotten
            assert min(times.values(), default=0) >= 0
