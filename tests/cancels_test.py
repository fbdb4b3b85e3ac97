"""A short soak of cancelled jobs beside trouble, and the checks of the soak."""

from __future__ import annotations

import pytest

from tests import cancels, platform_fakes, platform_troubled

SECONDS = 30
SEED = 30
TASK = 'j.0.0.0'
CANCELLED_AT = 100
BOUND = CANCELLED_AT + cancels.CANCEL_S + cancels.STOP_S
CONTACT_S = platform_troubled.CONTACT_S


class FakeWorker:
    """A worker with one run from 99 s on, and what else it has seen."""

    def __init__(self, ended_at, outcome='stopped', *, is_late=False):
        run = platform_fakes.Run(TASK, 1, 99, 20, ended_at, outcome)
        self.runs = [run]
        self.troubles = []
        self.acknowledged = [run]
        self.late = {(TASK, 1)} if is_late else set()

    def history(self):
        return self.runs


def record(worker, *spans):
    jobs = [cancels.Job('j', is_cancelled=True, cancelled_at=CANCELLED_AT)]
    return cancels.Record(jobs, [worker], list(spans))


@pytest.mark.parametrize(
    ('spans', 'allowed_until'),
    [
        ([], BOUND),
        ([(90, 95)], BOUND),
        ([(101, 102)], 102 + CONTACT_S),
        ([(101, 102), (104, 106)], 106 + CONTACT_S),
        ([(101, 102), (106, 107)], 102 + CONTACT_S),
    ],
)
def test_run_outlasts_bound_beside_trouble_only(spans, allowed_until):
    for past_s, count in ((-0.01, 0), (0.01, 1)):
        worker = FakeWorker(allowed_until + past_s)
        assert len(record(worker, *spans).find_outlasting()) == count


def test_bound_of_late_run_counts_from_its_start():
    worker = FakeWorker(108.9, is_late=True)
    worker.runs[0].started_at = 106
    assert not record(worker).find_outlasting()
    worker.late.clear()
    assert record(worker).find_outlasting()


@pytest.mark.parametrize(
    ('outcome', 'started_at', 'count'),
    [('lapsed', 105, 1), ('lapsed', 106, 0), ('done', 106, 1)],
)
def test_task_running_twice_or_again_is_found(outcome, started_at, count):
    worker = FakeWorker(105.5, outcome)
    worker.runs.append(platform_fakes.Run(TASK, 2, started_at, 20, 107))
    assert len(record(worker).find_repeated()) == count


def test_cancelled_work_ends_beside_trouble(tmp_path):
    assert not cancels.soak(tmp_path, SECONDS, SEED)
