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
from tests import fault, history, scene
from tests import load as work_load

scenarios('guarantees.feature')

NAMES = '|'.join(map(re.escape, fault.FAULTS))
# More than a replica keeps in its log behind a snapshot.
MISSED_CHANGES = 1500
REACH_S = 7
DISK_BYTES = 200_000


@pytest.fixture
def start_bench(tmp_path):
    """Start scenes whose processes all end with the test."""
    started = []

    def start(**plan):
        started.append(scene.prepare(cell.Plan(tmp_path, **plan)))
        started[-1].running.start()
        return started[-1]

    yield start
    for bench in started:
        bench.close()


@given(
    parsers.re(
        r'a cell with (?P<entries>\d+) entries and '
        r'(?P<targets>\d+) targets(?P<more>.*)'
    ),
    target_fixture='bench',
)
def start_cell(start_bench, entries, targets, more):
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
    return start_bench(
        entries=int(entries), targets=int(targets), rack_size=2, **plan
    )


@given(
    parsers.re(
        r'(?P<manner>|cancelling |balanced )callers and operators at work '
        r'with seed (?P<seed>\d+)'
    )
)
def start_load(bench, manner, seed):
    mix = {
        '': work_load.Mix(),
        'cancelling ': work_load.Mix(cancel_share=0.5),
        'balanced ': work_load.Mix(is_balanced=True, operators=0),
    }[manner]
    bench.start_work(mix, int(seed))


@when(parsers.re(f'(?P<name>{NAMES})'))
def suffer(bench, name):
    fault.suffer(bench, name)


@when(parsers.re(f'(?P<first>{NAMES}) and (?P<second>{NAMES}) at once'))
def suffer_both(bench, first, second):
    fault.suffer(bench, first, second)


@when(parsers.re(f'(?P<name>{NAMES}) twice'))
def suffer_twice(bench, name):
    fault.suffer_twice(bench, name)


@when('a follower misses hundreds of changes and the leader is killed')
def miss_changes(bench):
    name = bench.follower()
    bench.process(name).kill()
    wait_for_changes(bench, MISSED_CHANGES)
    bench.process(name).start()
    scene.wait_until(
        lambda: lag_of(bench, name) < 100, 'the replica did not catch up'
    )
    log_lines = bench.process(name).log.read_text()
    assert 'snapshot installed' in log_lines
    fault.suffer(bench, 'the leader is killed')


def wait_for_changes(bench, count):
    """Wait for a number of log entries, however slowly the disks sync.

    An entry holds what came during one sync, so that their rate is the
    disks'; a log that stands still is a failure.
    """
    index = commit_index(bench)
    goal = index + count
    while index < goal:
        index = wait_for_growth(bench, index)


def wait_for_growth(bench, index):
    scene.wait_until(
        lambda: commit_index(bench) > index, 'the log stands still'
    )
    return commit_index(bench)


def commit_index(bench):
    return scene.members(bench)['commit_index']


def lag_of(bench, name):
    members = scene.members(bench)
    replica = next(
        one for one in members['replicas'] if one['identity'] == name
    )
    return members['commit_index'] - replica['match_index']


@when('a follower loses its disk and comes back')
def lose_disk(bench):
    name = bench.follower()
    bench.process(name).kill()
    scene.clear(bench.running.plan.folder / name)
    bench.process(name).start()


@when('the replaced voter is repaired and another follower is killed')
def repair_and_kill(bench):
    scene.wait_until(lambda: has_new_voter(bench), 'no spare became a voter')
    bench.process(bench.follower()).kill()
    scene.settle()


def has_new_voter(bench):
    members = scene.members(bench)
    voters = [
        replica for replica in members.get('replicas', ()) if replica['voter']
    ]
    return len(voters) == 3 and any(
        replica['identity'].count('-') > 1 for replica in voters
    )


@when('every process in turn is stopped and started again')
def stop_in_turn(bench):
    for name, process in bench.running.processes.items():
        assert process.stop(seconds=40) == 0, f'{name} did not stop'
        process.start()
        time.sleep(2)
    scene.settle()


@when(parsers.parse('{seconds:d} seconds pass'))
def let_pass(seconds):
    time.sleep(seconds)


@then('no promise was broken')
def check_promises(bench):
    assert not scene.find_violations(bench)


@then('no request was cut off')
def check_cut_off(bench):
    assert not history.check_cut_off(bench.seen.submissions)


@then('the failing target is in quarantine')
def check_quarantine(bench):
    shown = bench.running.get('/v1/targets')['targets']
    failing = next(one for one in shown if one['target'] == 'target-2')
    assert failing['quarantined_until']


@when('an entry is isolated and a patch is accepted', target_fixture='version')
def patch_around_isolated(bench):
    bench.network.isolate('entry-2')
    body = {
        'request_id': 'p1',
        'version': 1,
        'changes': {'max_failures': 4},
    }
    address = bench.running.entry_addresses[0]
    url = f'http://{address}/v1/configuration'
    answered = httpx.patch(url, json=body, timeout=15).json()
    assert answered['outcome'] == 'patch_accepted'
    return answered['version']


@then('within 7 seconds each entry has the version or takes no work')
def check_reach(bench, version):
    time.sleep(REACH_S)
    reach = bench.running.get('/v1/configuration')['reach']
    assert reach['entry-0'] == version
    assert reach['entry-1'] == version
    body = {
        'request_id': 'late-1',
        'team': 'counter',
        'kind': 'request',
        'tasks': [{'millicores': 100, 'memory_bytes': 1}],
    }
    address = bench.running.entry_addresses[2]
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
