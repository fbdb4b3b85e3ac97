"""Steps of guarantees.feature: faults over real processes."""

from __future__ import annotations

import dataclasses
import pathlib
import resource
import signal
import time

import httpx
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from demo import audit, cell
from mulberrywalk.consensus import log, message, node
from mulberrywalk.storage import disk as storage
from tests import history, relay
from tests import load as work_load

scenarios('guarantees.feature')

SETTLE_S = 8
WORK_S = 3
PAUSE_S = 8
RECOVERY_S = 40
# More than a replica keeps in its log behind a snapshot.
MISSED_CHANGES = 1500
REACH_S = 7
DISK_BYTES = 200_000


@dataclasses.dataclass
class Bench:
    """A running cell, the network between its processes, and the load."""

    running: cell.Cell
    network: relay.Network
    work: work_load.Load | None = None
    seen: history.History | None = None

    def process(self, name):
        return self.running.processes[name]

    def follower(self):
        leader = self.running.leader()
        return next(
            name
            for name in self.running.processes
            if name.startswith('replica') and name != leader
        )


@pytest.fixture
def start_bench(tmp_path):
    """Start benches whose processes all end with the test."""
    started = []

    def start(**plan):
        running = cell.Cell(cell.Plan(tmp_path, **plan))
        network = relay.Network(lambda: pids_of(running))
        put_relays(running, network)
        started.append(Bench(running, network))
        running.start()
        return started[-1]

    yield start
    for bench in started:
        bench.running.stop()
        bench.network.stop()


def settle():
    time.sleep(SETTLE_S)


def pids_of(running):
    return {
        name: process.running.pid
        for name, process in running.processes.items()
        if process.running is not None
    }


def put_relays(running, network):
    count = len(running.replica_addresses) + len(running.entry_addresses)
    ports = iter(cell.free_ports(count))
    running.dialled_replicas = [
        network.relay(f'replica-{number}', address, next(ports))
        for number, address in enumerate(running.replica_addresses)
    ]
    running.dialled_entries = [
        network.relay(f'entry-{number}', address, next(ports))
        for number, address in enumerate(running.entry_addresses)
    ]


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
    return start_bench(entries=int(entries), targets=int(targets), **plan)


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
    bench.work = work_load.Load(bench.running, mix, int(seed))
    bench.work.start()
    time.sleep(WORK_S)


@when('the leader is killed')
def kill_leader(bench):
    name = bench.running.leader()
    bench.process(name).kill()
    settle()
    bench.process(name).start()


@when('the leader is killed twice')
def kill_leader_twice(bench):
    kill_leader(bench)
    time.sleep(WORK_S)
    kill_leader(bench)


@when('an entry is killed and started again')
def kill_entry(bench):
    bench.process('entry-0').kill()
    time.sleep(WORK_S)
    bench.process('entry-0').start()
    settle()


@when('two targets are killed')
def kill_targets(bench):
    bench.process('target-0').kill()
    time.sleep(1)
    bench.process('target-1').kill()
    settle()


@when('the leader is paused past every lease')
def pause_leader(bench):
    pause(bench.process(bench.running.leader()))


@when('a target is paused past its lease')
def pause_target(bench):
    pause(bench.process('target-0'))


@when('an entry is paused past every lease')
def pause_entry(bench):
    pause(bench.process('entry-1'))


def pause(process):
    process.signal(signal.SIGSTOP)
    time.sleep(PAUSE_S)
    process.signal(signal.SIGCONT)
    settle()


@when('the leader is isolated for 12 seconds')
def isolate_leader(bench):
    bench.network.isolate(bench.running.leader())
    time.sleep(12)
    bench.network.heal()
    settle()


@when('the leader is heard but hears nothing for 12 seconds')
def deafen_leader(bench):
    bench.network.deafen(bench.running.leader())
    time.sleep(12)
    bench.network.heal()
    settle()


@when('all connections of the leader fall silent')
def silence_leader(bench):
    bench.network.silence(bench.running.leader())
    settle()


@when('all connections of an entry fall silent')
def silence_entry(bench):
    bench.network.silence('entry-0')
    settle()


@when('the leader and a target are killed at once')
def kill_leader_and_target(bench):
    bench.process('target-0').kill()
    kill_leader(bench)


@when('an entry is isolated and the leader is killed')
def isolate_entry_and_kill_leader(bench):
    leader = bench.running.leader()
    bench.network.isolate('entry-1')
    bench.process(leader).kill()
    settle()
    bench.network.heal()
    bench.process(leader).start()
    settle()


@when('all replicas are killed and started again')
def kill_replicas(bench):
    replicas = [
        process
        for name, process in bench.running.processes.items()
        if name.startswith('replica')
    ]
    for killed in replicas:
        killed.kill()
    for started in replicas:
        started.start()
    settle()


@when('a follower misses hundreds of changes and the leader is killed')
def miss_changes(bench):
    name = bench.follower()
    bench.process(name).kill()
    wait_for_changes(bench, MISSED_CHANGES)
    bench.process(name).start()
    wait_until(
        lambda: lag_of(bench, name) < 100, 'the replica did not catch up'
    )
    log_lines = bench.process(name).log.read_text()
    assert 'snapshot installed' in log_lines
    kill_leader(bench)


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
    wait_until(lambda: commit_index(bench) > index, 'the log stands still')
    return commit_index(bench)


def commit_index(bench):
    return bench.running.get('/v1/members')['commit_index']


def lag_of(bench, name):
    members = bench.running.get('/v1/members')
    replica = next(
        one for one in members['replicas'] if one['identity'] == name
    )
    return members['commit_index'] - replica['match_index']


@when('a follower loses its disk and comes back')
def lose_disk(bench):
    name = bench.follower()
    bench.process(name).kill()
    folder = bench.running.plan.folder / name
    for path in folder.iterdir():
        path.unlink()
    bench.process(name).start()


@when('the replaced voter is repaired and another follower is killed')
def repair_and_kill(bench):
    wait_until(lambda: has_new_voter(bench), 'no spare became a voter')
    bench.process(bench.follower()).kill()
    settle()


def has_new_voter(bench):
    members = bench.running.get('/v1/members')
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
    settle()


@when(parsers.parse('{seconds:d} seconds pass'))
def let_pass(seconds):
    time.sleep(seconds)


@then('no promise was broken')
def check_promises(bench):
    bench.seen = bench.work.stop()
    killed = {
        name: process.killed_at
        for name, process in bench.running.processes.items()
        if process.killed_at
    }
    runs = audit.read(bench.running.history, killed)
    submissions = bench.seen.submissions
    assert len(submissions) > 20, 'too little was submitted to tell anything'
    faults = [
        *bench.work.errors,
        *audit.check_overlaps(runs),
        *audit.check_capacity(runs, cell.CAPACITY),
        *history.check_single_runs(submissions, runs),
        *history.check_refusals(submissions, runs),
        *history.check_answers(submissions),
        *history.check_ends(submissions),
        *history.check_versions(bench.seen),
        *history.check_departures(bench.running.history),
    ]
    assert not faults


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


def wait_until(is_done, complaint):
    deadline = time.monotonic() + RECOVERY_S
    while not is_done():
        assert time.monotonic() < deadline, complaint
        time.sleep(0.3)


@given('a replica with a small disk', target_fixture='folder')
def found_replica(tmp_path):
    member = message.Member(message.ReplicaId('a'), 'a:1', 'dc', voter=True)
    storage.found(tmp_path, message.Membership((member,)), 'a')
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
