"""Lasting tasks that do not run appear in gauges and log lines."""

import pytest

from ..core import cell_test, event, job
from ..telemetry import journal, metric
from . import absence_monitor

JOB_NAME = '0123456789abcdef'
TASK = f'{JOB_NAME}.0.0.0'


class FakeEngine:
    """A state with two targets, and its clock."""

    def __init__(self):
        self.cell = cell_test.Cell(targets=2)

    @property
    def tables(self):
        return self.cell.tables

    def time(self):
        return self.cell.now


class Scene:
    """A monitor of a cell with one job of lasting tasks."""

    def __init__(self):
        self.engine = FakeEngine()
        self.cell = self.engine.cell
        self.logger = journal.Journal(journal.Origin('r1', 'dc0'))
        self.metrics = metric.Exposition(metric.NoMetrics())
        self.monitor = absence_monitor.AbsenceMonitor(
            self.engine, self.logger, self.metrics
        )

    def submit(self, count=1, **more):
        step = cell_test.step(count, 4000, is_lasting=True)
        more |= {'steps': (step,), 'job': JOB_NAME}
        self.cell.submit(cell_test.specify(1, job.Kind.WORKFLOW, **more))
        self.cell.dispatch()

    def attempt(self):
        task = self.cell.tables.tasks[TASK]
        return self.cell.tables.attempts[task.attempt]

    def report(self, elapsed_ms=0):
        """Return the log lines of one report."""
        self.cell.now += elapsed_ms
        known = len(self.logger.find(journal.Filter()))
        self.monitor.report()
        return self.logger.find(journal.Filter())[known:]

    def gauges(self):
        shown = dict(
            line.split() for line in self.metrics.render().splitlines()
        )
        names = ('', '_with_room', '_longest_ms')
        return [int(shown[f'lasting_absent{name}']) for name in names]

    def room_gauges(self):
        shown = dict(
            line.split() for line in self.metrics.render().splitlines()
        )
        names = ('_allowed_room', '_room_elsewhere')
        return [int(shown[f'lasting_absent{name}']) for name in names]


@pytest.fixture
def scene():
    return Scene()


def test_short_absence_is_not_reported(scene):
    scene.submit()
    assert not scene.report(2000)
    assert scene.gauges() == [0, 0, 0]


def test_absence_is_reported_with_its_stage_and_last_attempt(scene):
    scene.submit()
    scene.cell.now += 5000
    scene.cell.apply(event.SessionExpired, scene.attempt().session)
    scene.cell.dispatch(500)
    line = cell_test.only(scene.report(1500))
    attempt = scene.attempt()
    assert line == journal.Line(
        line.clock,
        'r1',
        'dc0',
        'lasting work absent',
        job=JOB_NAME,
        task=TASK,
        attempt=f'{TASK}/2',
        target=attempt.target,
        detail='start unconfirmed: ms=7000 stage_ms=1500 runs=2 unstarted=1'
        f' room=0 last=session_lost last_target=t{int(attempt.target == "t0")}'
        ' last_started=never last_held_ms=5000 place=1/1'
        ' sum_ms=7000 start_ms=6500 unseen_ms=500 unwatched_ms=7000'
        ' allowed=1 silent=0 closed=0 at_limit=0 full=1 no_ticket=0 free=0'
        ' barred_room=0 unknown_room=0 room_elsewhere=no',
    )
    assert scene.gauges() == [1, 0, 7000]


def test_absence_with_room_is_counted(scene):
    scene.submit()
    scene.cell.open_session(2)
    scene.cell.open_session(3)
    assert 'room=2' in cell_test.only(scene.report(3000)).detail
    assert scene.gauges() == [1, 1, 3000]


def test_room_that_no_allowed_target_has_is_told(scene):
    terms = job.AdviceSettings(decision_ms=20, per_target_us=1, valid_ms=9000)
    scene.submit(advice=terms)
    asked = ('t0', 't1')
    step = f'{JOB_NAME}.0.0'
    scene.cell.apply(event.AdviceReceived, step, asked, (), 0)
    line = cell_test.only(scene.report(3000))
    assert 'allowed=0 ' in line.detail
    assert line.detail.endswith(
        'barred_room=2 unknown_room=0 room_elsewhere=yes'
    )
    assert scene.room_gauges() == [0, 1]
    scene.monitor.clear()
    assert scene.room_gauges() == [0, 0]


def test_number_of_log_lines_is_limited(scene):
    scene.submit(count=40)
    assert len(scene.report(3000)) == 3
    assert scene.gauges() == [40, 0, 3000]


def test_task_that_runs_again_is_no_longer_absent(scene):
    scene.submit()
    assert scene.report(3000)
    scene.cell.start(scene.attempt())
    lines = scene.report(3000)
    assert [line.what for line in lines] == ['lasting work runs again']
    assert not scene.report(3000)
    assert scene.gauges() == [0, 0, 0]


def test_end_of_a_reported_absence_tells_its_stages(scene):
    scene.submit()
    scene.report()
    scene.report(3000)
    scene.cell.now += 400
    scene.cell.start(scene.attempt())
    line = cell_test.only(scene.report(600))
    assert line == journal.Line(
        line.clock,
        'r1',
        'dc0',
        'lasting work runs again',
        job=JOB_NAME,
        task=TASK,
        attempt=f'{TASK}/1',
        target='t0',
        detail='ms=3400 runs=1 sum_ms=3400 start_ms=3400',
    )


def test_end_of_a_short_absence_is_not_reported(scene):
    scene.submit()
    assert not scene.report(2000)
    scene.cell.start(scene.attempt())
    assert not scene.report(1000)


def test_former_leader_forgets_the_stages(scene):
    scene.submit()
    scene.report(3000)
    scene.monitor.clear()
    scene.cell.start(scene.attempt())
    assert not scene.report(1000)


def test_former_leader_reports_no_absence(scene):
    scene.submit()
    assert scene.report(3000)
    scene.monitor.clear()
    assert scene.gauges() == [0, 0, 0]
