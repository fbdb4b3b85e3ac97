"""Replicas are removed for good once they have successors: real processes."""

from __future__ import annotations

import signal
from types import MappingProxyType

import httpx
import pytest

from demo import cell
from tests import harness

FOUNDERS = ('replica-0', 'replica-1', 'replica-2')
JOB = MappingProxyType(
    {
        'team': 'counter',
        'kind': 'request',
        'urgency': 'critical',
        'tasks': [
            {
                'millicores': 500,
                'memory_bytes': 1_048_576,
                'payload': '{"run_ms": 50}',
            }
        ],
    }
)


@pytest.fixture
def replaced_cell(tmp_path):
    """Start a cell whose founders all have successors."""
    plan = cell.Plan(tmp_path, entries=1, targets=2, spares=3)
    running = cell.Cell(plan)
    running.start()
    harness.wait_until(
        lambda: count_voting_founders(running) == 2, 'too few successors vote'
    )
    yield running
    running.stop()


def count_voting_founders(running):
    """Return how many founders are among five voters."""
    replicas = running.get('/v1/members').get('replicas', ())
    voters = {one['identity'] for one in replicas if one['voter']}
    return len(voters.intersection(FOUNDERS)) if len(voters) == 5 else None


def submit(running, request):
    """Submit a job and return its name once it is accepted."""
    url = f'http://{running.entry_addresses[0]}/v1/jobs'
    body = {**JOB, 'request_id': request}
    return httpx.post(url, json=body, timeout=10).json()['job']


def is_known(running, job):
    try:
        return running.get(f'/v1/jobs/{job}').get('job') == job
    except httpx.HTTPError:
        return False


def wait_known(running, job):
    harness.wait_until(
        lambda: is_known(running, job), 'an accepted job is not known'
    )


def test_cell_outlives_founders_killed_together(replaced_cell):
    """Guards against a cell lost by the removal of replicas (LOST)."""
    job = submit(replaced_cell, 'before')
    for name in FOUNDERS:
        replaced_cell.processes[name].signal(signal.SIGKILL)
    wait_known(replaced_cell, job)
    wait_known(replaced_cell, submit(replaced_cell, 'after'))


def test_founders_that_end_give_up_their_votes(
    replaced_cell,
):
    """Guards against votes that those keep who have ended in order."""
    job = submit(replaced_cell, 'before')
    ending = [replaced_cell.processes[name] for name in FOUNDERS]
    for process in ending:
        process.signal(signal.SIGTERM)
    assert [process.running.wait(10) for process in ending] == [0, 0, 0]
    replaced_cell.processes['replica-5'].kill()
    wait_known(replaced_cell, job)
    wait_known(replaced_cell, submit(replaced_cell, 'after'))
