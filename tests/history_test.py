"""Each checker rejects a history with its violation planted."""

import json

from demo import audit
from tests import history


def run(attempt, target, started_at, ended_at, label='', millicores=1000):
    return audit.Run(
        attempt, target, started_at, ended_at, millicores, 1, label
    )


def submission(outcome, *, label='r1', **changes):
    answer = json.dumps({'label': label})
    return history.Submission(
        **{
            'request_id': 'r1',
            'is_idempotent': True,
            'is_cancelled': False,
            'outcome': outcome,
            'job': 'j1',
            'body': {'tasks': [{'answer': answer}]},
            **changes,
        }
    )


def patch(request_id, base_version, version, began_at, ended_at):
    return history.Patch(
        request_id, base_version, 'patch_accepted', version, began_at, ended_at
    )


def test_check_overlaps():
    first = run('j1.0/1', 'a', 1, 5)
    apart = [first, run('j1.0/2', 'b', 5, 9)]
    at_once = [first, run('j1.0/2', 'b', 4, 9)]
    twice = [first, run('j1.0/1', 'a', 6, 9)]
    assert not audit.check_overlaps(apart)
    assert audit.check_overlaps(at_once)
    assert audit.check_overlaps(twice)


def test_check_capacity():
    capacity = audit.Capacity(1500, 2, 100)
    apart = [run('j1.0/1', 'a', 1, 5), run('j2.0/1', 'a', 5, 9)]
    at_once = [run('j1.0/1', 'a', 1, 5), run('j2.0/1', 'a', 4, 9)]
    assert not audit.check_capacity(apart, capacity)
    assert audit.check_capacity(at_once, capacity)


def test_check_single_runs():
    first = run('j1.0/1', 'a', 1, 2, 'r1')
    runs = [first, run('j1.0/2', 'a', 3, 4, 'r1')]
    single = submission('completed', is_idempotent=False)
    assert history.check_single_runs([single], runs)
    assert not history.check_single_runs([single], runs[:1])


def test_check_refusals():
    refused = [submission('not_run')]
    assert history.check_refusals(refused, [run('j1.0/1', 'a', 1, 2, 'r1')])
    assert not history.check_refusals(refused, [])


def test_check_answers():
    assert history.check_answers([submission('completed', label='r2')])
    assert not history.check_answers([submission('completed')])


def test_check_outcomes():
    assert history.check_outcomes([submission('unknown')])
    assert history.check_outcomes([submission('failed')])
    assert history.check_outcomes([submission('cancelled')])
    assert not history.check_outcomes(
        [submission('cancelled', is_cancelled=True)]
    )
    assert not history.check_outcomes(
        [submission('unknown', is_idempotent=False)]
    )


def test_check_interruptions():
    assert history.check_interruptions(
        [submission('completed', is_interrupted=True)]
    )
    assert not history.check_interruptions([submission('completed')])


def test_check_versions():
    good = history.History(
        patches=[patch('a', 1, 2, 0, 1), patch('b', 2, 3, 2, 3)],
        reads=[
            history.ConfigurationRead(2, 1.5, 1.8),
            history.ConfigurationRead(3, 4, 5),
        ],
    )
    skipped = history.History(patches=[patch('a', 1, 3, 0, 1)])
    doubled = history.History(
        patches=[patch('a', 1, 2, 0, 1), patch('b', 1, 2, 0, 1)]
    )
    reverted = history.History(
        patches=[patch('a', 1, 2, 0, 1)],
        reads=[history.ConfigurationRead(1, 2, 3)],
    )
    assert not history.check_versions(good)
    assert history.check_versions(skipped)
    assert history.check_versions(doubled)
    assert history.check_versions(reverted)


def test_check_departures(tmp_path):
    path = tmp_path / 'history.jsonl'
    leave = {'what': 'leave', 'target': 'a', 'at': 1000, 'attempt': ''}
    late = {'what': 'start', 'target': 'a', 'at': 4001, 'attempt': 'j1.0/1'}
    early = {**late, 'at': 4000}
    path.write_text(f'{json.dumps(leave)}\n{json.dumps(early)}\n')
    assert not history.check_departures(path)
    path.write_text(f'{json.dumps(leave)}\n{json.dumps(late)}\n')
    assert history.check_departures(path)
    join = {**leave, 'what': 'join', 'at': 2000}
    lines = '\n'.join(json.dumps(line) for line in (leave, join, late))
    path.write_text(lines)
    assert not history.check_departures(path)
