"""Cancelled work is stopped though stops are lost: real processes."""

from __future__ import annotations

import time

import pytest

from tests import platform_test

# cancel_ms and stopMs of the platform's rules.
CANCEL_S = 3.0
STOP_S = 0.2


@pytest.fixture
def cluster(tmp_path):
    """Start a cluster whose tasks take a minute."""
    started = platform_test.PlatformCluster(tmp_path, run_s=60)
    yield started
    started.close()


def run_and_cancel(cluster, name):
    """Run a job of one task, cancel it, and return the task's worker."""
    cluster.submit(name, count=1)
    cluster.wait(cluster.runs, 'no task started')
    assert cluster.call('DELETE', f'/jobs/{name}').status_code == 200
    worker = next(one for one in cluster.workers if one.runs)
    cluster.wait(lambda: not worker.active_runs(), 'the task still runs', 5)
    return worker


@pytest.mark.parametrize('lost_stops', [0, 3, 6])
def test_late_run_is_stopped_after_lost_stops(cluster, lost_stops):
    name = '00000000000000ad'
    worker = run_and_cancel(cluster, name)
    worker.stops_to_ignore = lost_stops
    # The leader knows of no second run.
    worker.execute_late_start(f'{name}.0.0.0', 2)
    started_at = time.monotonic()
    cluster.wait(lambda: not worker.active_runs(), 'the late run goes on', 15)
    assert time.monotonic() - started_at <= CANCEL_S + STOP_S
    assert [run.outcome for run in worker.runs] == ['stopped', 'stopped']


def test_answered_cancel_has_stopped_its_tasks(cluster):
    """Its first stops are lost; the leader may be lost before the next one."""
    name = '00000000000000ae'
    cluster.submit(name, count=1)
    cluster.wait(cluster.runs, 'no task started')
    worker = next(one for one in cluster.workers if one.runs)
    worker.stops_to_ignore = 3
    assert cluster.call('DELETE', f'/jobs/{name}').status_code == 200
    assert not worker.active_runs()
    assert cluster.state(name) == 'cancelled'
