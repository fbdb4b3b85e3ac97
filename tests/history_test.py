"""Each check reports a history that contains its violation."""

import json

from demo import audit
from tests import history


def make_run(attempt, target, started_at, ended_at, label='', millicores=1000):
    return audit.Run(
        attempt, target, started_at, ended_at, millicores, 1, label
    )


def make_submission(outcome, *, label='r1', **changes):
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


def make_patch(request_id, base_version, version, began_at, ended_at):
    return history.Patch(
        request_id, base_version, 'patch_accepted', version, began_at, ended_at
    )


def test_check_overlaps():
    first = make_run('j1.0/1', 'a', 1, 5)
    sequential = [first, make_run('j1.0/2', 'b', 5, 9)]
    overlapping = [first, make_run('j1.0/2', 'b', 4, 9)]
    repeated = [first, make_run('j1.0/1', 'a', 6, 9)]
    assert not audit.check_overlaps(sequential)
    assert audit.check_overlaps(overlapping)
    assert audit.check_overlaps(repeated)


def test_check_capacity():
    capacity = audit.Capacity(1500, 2, 100)
    sequential = [make_run('j1.0/1', 'a', 1, 5), make_run('j2.0/1', 'a', 5, 9)]
    overlapping = [make_run('j1.0/1', 'a', 1, 5), make_run('j2.0/1', 'a', 4, 9)]
    assert not audit.check_capacity(sequential, capacity)
    assert audit.check_capacity(overlapping, capacity)


def test_check_single_runs():
    first = make_run('j1.0/1', 'a', 1, 2, 'r1')
    runs = [first, make_run('j1.0/2', 'a', 3, 4, 'r1')]
    single = make_submission('completed', is_idempotent=False)
    assert history.check_single_runs([single], runs)
    assert not history.check_single_runs([single], runs[:1])


def test_check_refusals():
    refused = [make_submission('not_run')]
    assert history.check_refusals(
        refused, [make_run('j1.0/1', 'a', 1, 2, 'r1')]
    )
    assert not history.check_refusals(refused, [])


def test_check_answers():
    assert history.check_answers([make_submission('completed', label='r2')])
    assert not history.check_answers([make_submission('completed')])


def test_check_outcomes():
    assert history.check_outcomes([make_submission('unknown')])
    assert history.check_outcomes([make_submission('failed')])
    assert history.check_outcomes([make_submission('cancelled')])
    assert not history.check_outcomes(
        [make_submission('cancelled', is_cancelled=True)]
    )
    assert not history.check_outcomes(
        [make_submission('unknown', is_idempotent=False)]
    )


def test_check_interruptions():
    assert history.check_interruptions(
        [make_submission('completed', is_interrupted=True)]
    )
    assert not history.check_interruptions([make_submission('completed')])


def test_check_versions():
    valid = history.History(
        patches=[make_patch('a', 1, 2, 0, 1), make_patch('b', 2, 3, 2, 3)],
        reads=[
            history.ConfigurationRead(2, 1.5, 1.8),
            history.ConfigurationRead(3, 4, 5),
        ],
    )
    skipped = history.History(patches=[make_patch('a', 1, 3, 0, 1)])
    duplicated = history.History(
        patches=[make_patch('a', 1, 2, 0, 1), make_patch('b', 1, 2, 0, 1)]
    )
    reverted = history.History(
        patches=[make_patch('a', 1, 2, 0, 1)],
        reads=[history.ConfigurationRead(1, 2, 3)],
    )
    assert not history.check_versions(valid)
    assert history.check_versions(skipped)
    assert history.check_versions(duplicated)
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
