"""Steps of guarantees.feature: faults over real processes."""

from __future__ import annotations

import pathlib
import re
import resource
import signal
import time

import httpx
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from demo import cell
from mulberrywalk.consensus import log, message, node
from mulberrywalk.storage import disk as storage
from tests import fault, harness, history, workload

scenarios('guarantees.feature')

NAMES = '|'.join(map(re.escape, fault.FAULTS))
# More than a replica keeps in its log behind a snapshot.
MISSED_CHANGES = 1500
REACH_S = 7
DISK_BYTES = 200_000


@pytest.fixture
def start_cluster(tmp_path):
    """Start scenes whose processes all end with the test."""
    started = []

    def start(**plan):
        started.append(harness.create_cluster(cell.Plan(tmp_path, **plan)))
        started[-1].running.start()
        return started[-1]

    yield start
    for cluster in started:
        cluster.close()


@given(
    parsers.re(
        r'a cell with (?P<entries>\d+) entries and '
        r'(?P<targets>\d+) targets(?P<more>.*)'
    ),
    target_fixture='cluster',
)
def create_cell(start_cluster, entries, targets, more):
    plan = {
        '': {},
        ' and 1 spare': {
            'spares': 1,
            'replica_options': ('--repair-after-ms', '3000'),
        },
        ' and snapshots every 100 entries': {
            'replica_options': ('--snapshot-entries', '100'),
        },
        ' that answer late or twice': {
            'behaviours': {0: 'late', 1: 'duplicate', 2: 'late'},
        },
        ' of which one fails everything': {'behaviours': {2: 'fail'}},
    }[more]
    # Small racks, so that there are targets in each data centre.
    return start_cluster(
        entries=int(entries), targets=int(targets), rack_size=2, **plan
    )


@given(
    parsers.re(
        r'(?P<manner>|cancelling |balanced )callers and operators at work '
        r'with seed (?P<seed>\d+)'
    )
)
def start_load(cluster, manner, seed):
    mix = {
        '': workload.Mix(),
        'cancelling ': workload.Mix(cancel_share=0.5),
        'balanced ': workload.Mix(is_balanced=True, operators=0),
    }[manner]
    cluster.start_work(mix, int(seed))


@when(parsers.re(f'(?P<name>{NAMES})'))
def inject(cluster, name):
    fault.inject(cluster, name)


@when(parsers.re(f'(?P<first>{NAMES}) and (?P<second>{NAMES}) at once'))
def inject_both(cluster, first, second):
    fault.inject(cluster, first, second)


@when(parsers.re(f'(?P<name>{NAMES}) twice'))
def inject_twice(cluster, name):
    fault.inject_twice(cluster, name)


@when('a follower misses hundreds of changes and the leader is killed')
def miss_changes(cluster):
    name = cluster.follower()
    cluster.process(name).kill()
    wait_for_changes(cluster, MISSED_CHANGES)
    cluster.process(name).start()
    harness.wait_until(
        lambda: lag_of(cluster, name) < 100, 'the replica did not catch up'
    )
    log_lines = cluster.process(name).log.read_text()
    assert 'snapshot installed' in log_lines
    fault.inject(cluster, 'the leader is killed')


def wait_for_changes(cluster, count):
    """Wait for a number of log entries, however slowly the disks sync.

    An entry holds what came during one sync, so that their rate is the
    disks'; a log that stands still is a failure.
    """
    index = commit_index(cluster)
    goal = index + count
    while index < goal:
        index = wait_for_growth(cluster, index)


def wait_for_growth(cluster, index):
    harness.wait_until(
        lambda: commit_index(cluster) > index, 'the log stands still'
    )
    return commit_index(cluster)


def commit_index(cluster):
    return harness.members(cluster)['commit_index']


def lag_of(cluster, name):
    members = harness.members(cluster)
    replica = next(
        one for one in members['replicas'] if one['identity'] == name
    )
    return members['commit_index'] - replica['match_index']


@when('a follower loses its disk and comes back')
def lose_disk(cluster):
    name = cluster.follower()
    cluster.process(name).kill()
    harness.clear_folder(cluster.running_cell.plan.folder / name)
    cluster.process(name).start()


@when('the replaced voter is repaired and another follower is killed')
def repair_and_kill(cluster):
    harness.wait_until(
        lambda: has_new_voter(cluster), 'no spare became a voter'
    )
    cluster.process(cluster.follower()).kill()
    harness.settle()


def has_new_voter(cluster):
    members = harness.members(cluster)
    voters = [
        replica for replica in members.get('replicas', ()) if replica['voter']
    ]
    return len(voters) == 3 and any(
        replica['identity'].count('-') > 1 for replica in voters
    )


@when('every process in turn is stopped and started again')
def stop_in_turn(cluster):
    for name, process in cluster.running_cell.processes.items():
        assert process.stop(seconds=40) == 0, f'{name} did not stop'
        process.start()
        time.sleep(2)
    harness.settle()


@when(parsers.parse('{seconds:d} seconds pass'))
def let_pass(seconds):
    time.sleep(seconds)


@then('no promise was broken')
def check_promises(cluster):
    assert not harness.find_violations(cluster)


@then('no request was cut off')
def check_interruptions(cluster):
    assert not history.check_interruptions(cluster.recorded.submissions)


@then('the failing target is in quarantine')
def check_quarantine(cluster):
    shown = cluster.running_cell.get('/v1/targets')['targets']
    failing = next(one for one in shown if one['target'] == 'target-2')
    assert failing['quarantined_until']


@when('an entry is isolated and a patch is accepted', target_fixture='version')
def patch_around_isolated(cluster):
    cluster.network.isolate('entry-2')
    body = {
        'request_id': 'p1',
        'version': 1,
        'changes': {'max_failures': 4},
    }
    address = cluster.running_cell.entry_addresses[0]
    url = f'http://{address}/v1/configuration'
    answered = httpx.patch(url, json=body, timeout=15).json()
    assert answered['outcome'] == 'patch_accepted'
    return answered['version']


@then('within 7 seconds each entry has the version or takes no work')
def check_reach(cluster, version):
    time.sleep(REACH_S)
    reach = cluster.running_cell.get('/v1/configuration')['reach']
    assert reach['entry-0'] == version
    assert reach['entry-1'] == version
    body = {
        'request_id': 'late-1',
        'team': 'counter',
        'kind': 'request',
        'tasks': [{'millicores': 100, 'memory_bytes': 1}],
    }
    address = cluster.running_cell.entry_addresses[2]
    answered = httpx.post(f'http://{address}/v1/jobs', json=body, timeout=15)
    assert answered.json()['reason'] == 'not_ready'


@given('a replica with a small disk', target_fixture='folder')
def found_replica(tmp_path):
    member = message.Member(message.ReplicaId('a'), 'a:1', 'dc', voter=True)
    storage.create_identity(tmp_path, message.Membership((member,)), 'a')
    return tmp_path


@when('entries are written until the disk is full', target_fixture='written')
def fill_disk(folder):
    opened = storage.Disk(folder, storage.load(folder, 'a'))
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    before = signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_FSIZE, (DISK_BYTES, hard))
    acknowledged = 0
    try:
        while True:
            entry = message.LogEntry(
                acknowledged + 1, 1, message.EntryKind.COMMAND, b'x' * 999
            )
            opened.write([node.SaveEntries((entry,))])
            acknowledged += 1
    except storage.StorageError:
        return acknowledged
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))
        signal.signal(signal.SIGXFSZ, before)


@then('every acknowledged entry is read back')
def read_back(folder: pathlib.Path, written):
    loaded = storage.load(folder, 'a').log
    assert isinstance(loaded, log.Log)
    assert written > 100
    assert loaded.last_index() == written
