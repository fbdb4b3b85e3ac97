"""Tests Raft under crashes, partitions, pauses and membership changes."""

import dataclasses
import itertools
import os

import msgspec
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from . import log, message, node, raft

TIMING = node.Timing(
    heartbeat_interval_ms=50, election_timeout_ms=200, clock_drift_ms=20
)
SOAK = bool(os.environ.get('MULBERRYWALK_SOAK'))
CHOICE = st.integers(min_value=0, max_value=999)


@dataclasses.dataclass
class Disk:
    """Simulates the disk of a replica.

    unsynced holds the writes that a crash loses, and outbox the messages to
    send after the next sync.
    """

    vote: node.SaveVote
    entries: list
    snapshot: message.Snapshot | None = None
    saved_commit_index: int = 0
    unsynced: list = dataclasses.field(default_factory=list)
    outbox: list = dataclasses.field(default_factory=list)

    def sync(self):
        for effect in self.unsynced:
            if isinstance(effect, node.SaveVote):
                self.vote = effect
            else:
                first = effect.entries[0].index
                kept = [entry for entry in self.entries if entry.index < first]
                self.entries = [*kept, *effect.entries]
        self.unsynced.clear()

    def log(self, founders):
        restored = log.Log(0, 0, founders)
        if self.snapshot:
            latest = self.snapshot
            restored = log.Log(latest.index, latest.term, latest.membership)
        for entry in self.entries:
            if entry.index > restored.snapshot_index:
                restored.append(entry)
        return restored


class Cluster:
    """Simulates replicas, their disks and the network between them."""

    def __init__(self, count):
        names = [message.ReplicaId(f'n{number}') for number in range(count)]
        self.founders = message.Membership(
            tuple(message.Member(name, name, 'dc', True) for name in names)
        )
        self.now = 1000
        self.nodes = {}
        self.disks = {}
        self.network = []
        self.blocked_links = set()
        self.paused = set()
        self.applied = {}
        self.committed = {}
        self.leaders = {}
        self.payload_numbers = itertools.count(1)
        self.boot_ids = itertools.count(1)
        for name in names:
            self.disks[name] = Disk(node.SaveVote(0, None), [])
            self.start(name)

    def start(self, name):
        disk = self.disks[name]
        disk.unsynced.clear()
        disk.outbox.clear()
        state = raft.create(
            name,
            disk.log(self.founders),
            TIMING,
            vote=disk.vote,
            saved_commit_index=disk.saved_commit_index,
            now=self.now,
            boot_id=next(self.boot_ids),
        )
        self.nodes[name] = state
        saved_state = disk.snapshot.payload if disk.snapshot else b'[]'
        self.applied[name] = msgspec.json.decode(saved_state)
        for entry in state.log.entries:
            if entry.index <= state.applied_index:
                self.apply(name, node.Apply(entry))

    def step(self, name, event):
        if name not in self.paused:
            self.execute(name, raft.step(self.nodes[name], event))

    def execute(self, name, effects):
        handlers = {
            node.Send: self.send,
            node.SaveVote: self.save,
            node.SaveEntries: self.save,
            node.Apply: self.apply,
            node.SendSnapshot: self.send_snapshot,
            node.InstallSnapshot: self.install,
            node.RoleChanged: self.record_role,
        }
        for effect in effects:
            handlers[type(effect)](name, effect)

    def send(self, name, effect):
        packet = (name, effect.receiver, effect.body)
        if effect.is_after_sync:
            self.disks[name].outbox.append(packet)
        else:
            self.network.append(packet)

    def save(self, name, effect):
        self.disks[name].unsynced.append(effect)

    def record_role(self, name, effect):
        if effect.role is node.Role.LEADER:
            other = self.leaders.setdefault(effect.term, name)
            assert other == name, f'two leaders in term {effect.term}'

    def send_snapshot(self, name, effect):
        latest = self.disks[name].snapshot
        if latest is not None:
            body = message.SnapshotRequest(effect.term, latest, effect.sent_at)
            self.network.append((name, effect.receiver, body))

    def apply(self, name, effect):
        entry = effect.entry
        committed_entry = self.committed.setdefault(entry.index, entry)
        assert committed_entry == entry, (
            f'two entries committed at index {entry.index}'
        )
        self.applied[name].append(entry.payload.decode('latin-1'))

    def install(self, name, effect):
        installed = effect.snapshot
        disk = self.disks[name]
        disk.sync()
        disk.snapshot = installed
        disk.entries = [
            entry for entry in disk.entries if entry.index > installed.index
        ]
        self.applied[name] = msgspec.json.decode(installed.payload)

    def sync(self, name):
        if name in self.paused:
            return
        disk = self.disks[name]
        disk.sync()
        state = self.nodes[name]
        disk.saved_commit_index = max(
            disk.saved_commit_index, state.commit_index
        )
        self.network.extend(disk.outbox)
        disk.outbox.clear()
        self.step(
            name, node.Synced(state.log.last_index(), state.log.last_term())
        )

    def deliver(self, packet):
        sender, receiver, body = packet
        is_blocked = (sender, receiver) in self.blocked_links
        is_up = receiver in self.nodes and receiver not in self.paused
        if is_up and not is_blocked:
            self.step(receiver, node.Received(sender, body))

    def compact(self, name):
        state = self.nodes[name]
        applied = state.applied_index
        if name in self.paused or applied <= state.log.snapshot_index:
            return
        self.disks[name].snapshot = message.Snapshot(
            applied,
            state.log.term_at(applied),
            state.log.membership_at(applied),
            msgspec.json.encode(self.applied[name]),
        )
        self.step(name, node.Compacted(applied))

    def run(self, milliseconds):
        """Run all replicas that are not paused for a simulated time."""
        for _ in range(milliseconds // 10):
            self.now += 10
            for name in list(self.nodes):
                self.step(name, node.Tick(self.now))
                self.sync(name)
            packets = self.network
            self.network = []
            for packet in packets:
                self.deliver(packet)

    def leader(self):
        return next(
            name
            for name, state in self.nodes.items()
            if node.holds_lease(state, self.now)
        )

    def check(self):
        states = self.nodes.values()
        leased = [
            replica for replica in states if node.holds_lease(replica, self.now)
        ]
        assert len(leased) <= 1, 'two replicas hold a leader lease'
        for state in self.nodes.values():
            for entry in state.log.entries:
                if entry.index <= state.applied_index:
                    committed_entry = self.committed.get(entry.index, entry)
                    assert committed_entry == entry, (
                        'a committed entry has changed'
                    )
        for left, right in itertools.combinations(states, 2):
            check_logs_match(left.log, right.log)
        by_length = sorted(self.applied.values(), key=len)
        for shorter, longer in itertools.pairwise(by_length):
            assert longer[: len(shorter)] == shorter, 'applied states differ'


def check_logs_match(left, right):
    """Check the log matching property.

    If two logs have an entry of the same index and term, they are equal up to
    that entry.
    """
    first = max(left.snapshot_index, right.snapshot_index) + 1
    last = min(left.last_index(), right.last_index())
    matching = [
        index
        for index in range(first, last + 1)
        if left.term_at(index) == right.term_at(index)
    ]
    for index in range(first, max(matching, default=0) + 1):
        assert left.slice(index, 1) == right.slice(index, 1), 'logs differ'


class ReplicaMachine(RuleBasedStateMachine):
    """Applies random steps to a cluster of three to five replicas."""

    @initialize(count=st.integers(min_value=3, max_value=5))
    def create(self, count):
        self.cluster = Cluster(count)
        self.cluster.run(600)

    def pick_name(self, choice):
        names = sorted(self.cluster.nodes)
        return names[choice % len(names)]

    @rule(milliseconds=st.sampled_from((10, 30, 100, 400)), choice=CHOICE)
    def tick(self, milliseconds, choice):
        self.cluster.now += milliseconds
        self.cluster.step(self.pick_name(choice), node.Tick(self.cluster.now))

    @rule(milliseconds=st.sampled_from((50, 300, 1000)))
    def run_all(self, milliseconds):
        self.cluster.run(milliseconds)

    @rule(choice=CHOICE)
    def sync(self, choice):
        self.cluster.sync(self.pick_name(choice))

    @precondition(lambda machine: machine.cluster.network)
    @rule(choice=CHOICE, is_duplicated=st.booleans())
    def deliver(self, choice, is_duplicated):
        position = choice % len(self.cluster.network)
        packet = self.cluster.network[position]
        if not is_duplicated:
            self.cluster.network.pop(position)
        self.cluster.deliver(packet)

    @precondition(lambda machine: machine.cluster.network)
    @rule(choice=CHOICE)
    def drop(self, choice):
        self.cluster.network.pop(choice % len(self.cluster.network))

    @rule(choice=CHOICE)
    def propose(self, choice):
        payload = f'c{next(self.cluster.payload_numbers)}'.encode()
        self.cluster.step(self.pick_name(choice), node.Proposed((payload,)))

    @rule(choice=CHOICE)
    def crash(self, choice):
        name = self.pick_name(choice)
        self.cluster.paused.discard(name)
        self.cluster.start(name)

    @rule(choice=CHOICE)
    def pause_or_resume(self, choice):
        self.cluster.paused ^= {self.pick_name(choice)}

    @rule(left=CHOICE, right=CHOICE, is_bidirectional=st.booleans())
    def block(self, left, right, is_bidirectional):
        pair = (self.pick_name(left), self.pick_name(right))
        self.cluster.blocked_links.add(pair)
        if is_bidirectional:
            self.cluster.blocked_links.add((pair[1], pair[0]))

    @rule()
    def heal(self):
        self.cluster.blocked_links.clear()

    @rule(choice=CHOICE)
    def compact(self, choice):
        self.cluster.compact(self.pick_name(choice))

    @rule(choice=CHOICE)
    def hand_over(self, choice):
        self.cluster.step(self.pick_name(choice), node.HandoverProposed())

    @rule(choice=CHOICE, changed=CHOICE)
    def change_membership(self, choice, changed):
        name = self.pick_name(choice)
        state = self.cluster.nodes[name]
        member = self.cluster.founders.members[
            changed % len(self.cluster.founders.members)
        ]
        if state.membership.find(member.identity) is None:
            planned = state.membership.replace(member)
        elif len(state.membership.voters()) > 2:
            planned = state.membership.remove(member.identity)
        else:
            return
        self.cluster.step(name, node.MembershipProposed(planned))

    @invariant()
    def check(self):
        self.cluster.check()


def test_replicas_agree_under_faults():
    run_state_machine_as_test(
        ReplicaMachine,
        settings=settings(
            max_examples=2000 if SOAK else 60,
            stateful_step_count=120 if SOAK else 60,
            deadline=None,
            derandomize=not SOAK,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


@pytest.fixture
def cluster():
    created = Cluster(3)
    created.run(1500)
    return created


def test_create_elects_one_leader(cluster):
    leaders = [
        state
        for state in cluster.nodes.values()
        if state.role is node.Role.LEADER
    ]
    assert len(leaders) == 1


def test_commands_are_applied_on_all_replicas(cluster):
    cluster.step(cluster.leader(), node.Proposed((b'a', b'b')))
    cluster.run(300)
    for applied in cluster.applied.values():
        assert applied[-2:] == ['a', 'b']


def test_deposed_leader_holds_no_lease(cluster):
    old = cluster.leader()
    others = [name for name in cluster.nodes if name != old]
    cluster.blocked_links = {(old, other) for other in others}
    cluster.blocked_links |= {(other, old) for other in others}
    cluster.run(2000)
    assert cluster.leader() in others
    assert not node.holds_lease(cluster.nodes[old], cluster.now)
    cluster.step(cluster.leader(), node.Proposed((b'new',)))
    cluster.step(old, node.Proposed((b'old',)))
    cluster.blocked_links.clear()
    cluster.run(1500)
    assert all(applied[-1] == 'new' for applied in cluster.applied.values())


def test_crash_loses_no_committed_entry(cluster):
    for number in range(20):
        cluster.step(cluster.leader(), node.Proposed((str(number).encode(),)))
        cluster.run(100)
        cluster.start(cluster.leader())
        cluster.run(1500)
    expected = [str(index) for index in range(20)]
    for applied in cluster.applied.values():
        assert [payload for payload in applied if payload] == expected


def test_unsynced_entry_is_not_counted(cluster):
    leader = cluster.leader()
    others = [name for name in cluster.nodes if name != leader]
    cluster.blocked_links = {(other, leader) for other in others}
    cluster.step(leader, node.Proposed((b'lost',)))
    cluster.sync(leader)
    assert cluster.applied[leader][-1:] != ['lost']


def test_lagging_replica_catches_up_by_snapshot(cluster):
    leader = cluster.leader()
    lagging = next(name for name in cluster.nodes if name != leader)
    cluster.paused.add(lagging)
    for number in range(300):
        cluster.step(leader, node.Proposed((str(number).encode(),)))
        cluster.run(20)
    cluster.compact(leader)
    cluster.paused.discard(lagging)
    cluster.run(3000)
    assert cluster.nodes[lagging].log.snapshot_index > 0
    assert cluster.applied[lagging] == cluster.applied[leader]


def test_handover_moves_the_leader(cluster):
    old = cluster.leader()
    cluster.step(old, node.HandoverProposed())
    cluster.run(200)
    assert cluster.leader() != old


def test_handover_prefers_newer_voters_and_avoids_those_that_end(cluster):
    """Guards against leadership that goes to and fro between those that end."""
    cluster.run(1000)
    leader = cluster.leader()
    others = [name for name in cluster.nodes if name != leader]
    assert hand_over_from(cluster, leader) == others[-1]


def test_handover_avoids_a_voter_that_ends_or_is_silent(cluster):
    cluster.run(1000)
    leader = cluster.leader()
    others = [name for name in cluster.nodes if name != leader]
    assert hand_over_from(cluster, leader, others[-1]) == others[0]
    cluster.paused.add(others[-1])
    cluster.run(700)
    assert hand_over_from(cluster, cluster.leader()) == leader


def hand_over_from(cluster, leader, *avoided):
    """Let a leader hand over; return the next one."""
    cluster.step(leader, node.HandoverProposed(frozenset(avoided)))
    cluster.run(300)
    assert cluster.leader() != leader
    return cluster.leader()


def test_candidate_with_a_lower_term_can_win(cluster):
    """The replica with the longest log has the lowest term.

    It can win only after it learns the higher term from a refused pre-vote.
    """
    leader = cluster.leader()
    others = [name for name in cluster.nodes if name != leader]
    cluster.step(leader, node.Proposed((b'only here',)))
    cluster.sync(leader)
    for name in others:
        cluster.nodes[name].term += 2
        cluster.disks[name].vote = node.SaveVote(cluster.nodes[name].term, None)
    cluster.run(4000)
    assert cluster.leader()


def create_replica(name, members, term=0):
    """Return one replica of a cluster whose other replicas do not run."""
    founders = message.Membership(
        tuple(
            message.Member(message.ReplicaId(voter), voter, 'dc', True)
            for voter in members
        )
    )
    return raft.create(
        message.ReplicaId(name),
        log.Log(0, 0, founders),
        TIMING,
        vote=node.SaveVote(term, None),
        now=0,
    )


def entry(index, term):
    return message.LogEntry(
        index, term, message.EntryKind.COMMAND, b'%d' % index
    )


def sends(effects):
    return [effect for effect in effects if isinstance(effect, node.Send)]


def test_vote_is_saved_before_it_is_sent():
    state = create_replica('a', 'abc')
    raft.step(state, node.Tick(1000))
    request = message.VoteRequest(7, 0, 0, handover=False)
    effects = raft.step(state, node.Received('b', request))
    assert node.SaveVote(7, 'b') in effects
    assert [sent.is_after_sync for sent in sends(effects)] == [True]
    second_request = message.VoteRequest(7, 0, 0, handover=False)
    refused = raft.step(state, node.Received('c', second_request))
    assert not sends(refused)[-1].body.granted


def test_append_is_acknowledged_after_the_sync():
    state = create_replica('a', 'abc')
    request = message.AppendRequest(1, 0, 0, (entry(1, 1),), 0, 5)
    effects = raft.step(state, node.Received('b', request))
    reply = sends(effects)[-1]
    assert reply.body.succeeded
    assert reply.is_after_sync


def test_restarted_voter_respects_the_lease_that_it_granted(cluster):
    leader = cluster.leader()
    others = [name for name in cluster.nodes if name != leader]
    cluster.blocked_links = {(leader, other) for other in others}
    for name in others:
        cluster.start(name)
    for _ in range(TIMING.election_timeout_ms // 10 - 2):
        cluster.run(10)
        cluster.check()
    request = message.VoteRequest(9, 99, 9, handover=False)
    cluster.step(others[0], node.Received(others[1], request))
    assert cluster.nodes[others[0]].term < 9


def test_earlier_term_is_committed_only_with_the_current_term():
    """The scenario of figure 8 in the Raft paper."""
    state = create_replica('a', 'abcde')
    state.log.append(entry(1, 1))
    state.log.append(entry(2, 2))
    state.synced_index = 2
    state.term = 3
    raft.step(state, node.Tick(1000))
    for sender in 'bc':
        reply = message.PreVoteReply(4, granted=True)
        raft.step(state, node.Received(sender, reply))
    for sender in 'bc':
        vote = message.VoteReply(4, granted=True)
        raft.step(state, node.Received(sender, vote))
    assert state.role is node.Role.LEADER
    for sender in 'bc':
        reply = message.AppendReply(4, succeeded=True, match=2, sent_at=1000)
        raft.step(state, node.Received(sender, reply))
    assert state.commit_index == 0
    for sender in 'bc':
        reply = message.AppendReply(4, succeeded=True, match=3, sent_at=1000)
        raft.step(state, node.Received(sender, reply))
    raft.step(state, node.Synced(3, 4))
    assert state.commit_index == 3


def test_candidate_with_a_shorter_log_gets_no_vote():
    state = create_replica('a', 'abc')
    request = message.AppendRequest(1, 0, 0, (entry(1, 1),), 0, 5)
    raft.step(state, node.Received('b', request))
    raft.step(state, node.Tick(5000))
    vote_request = message.VoteRequest(9, 0, 0, handover=False)
    effects = raft.step(state, node.Received('c', vote_request))
    assert not sends(effects)[-1].body.granted


def test_leader_lease_ends_with_a_handover(cluster):
    leader = cluster.leader()
    assert node.holds_lease(cluster.nodes[leader], cluster.now)
    cluster.step(leader, node.HandoverProposed())
    assert not node.holds_lease(cluster.nodes[leader], cluster.now)


def test_own_entries_count_only_when_synced():
    state = create_replica('a', 'a')
    raft.step(state, node.Tick(5000))
    assert state.role is node.Role.LEADER
    raft.step(state, node.Proposed((b'x',)))
    assert state.commit_index == 0
    raft.step(state, node.Synced(2, state.term))
    assert state.commit_index == 2


def test_membership_changes_one_at_a_time(cluster):
    leader = cluster.leader()
    state = cluster.nodes[leader]
    others = [name for name in cluster.nodes if name != leader]
    cluster.blocked_links = {(other, leader) for other in others}
    first = state.membership.remove(others[0])
    cluster.step(leader, node.MembershipProposed(first))
    assert state.membership == first
    second = first.remove(others[1])
    cluster.step(leader, node.MembershipProposed(second))
    assert state.membership == first


def test_membership_changes_by_one_voter(cluster):
    leader = cluster.leader()
    state = cluster.nodes[leader]
    before = state.membership
    smaller = before
    for name in list(cluster.nodes):
        if name != leader:
            smaller = smaller.remove(name)
    cluster.step(leader, node.MembershipProposed(smaller))
    assert state.membership == before


def test_voters_that_all_restart_do_not_wait_for_a_lease(cluster):
    before = cluster.leader()
    for name in list(cluster.nodes):
        cluster.start(name)
    cluster.run(TIMING.election_timeout_ms - 20)
    assert cluster.leader()
    cluster.check()
    assert before in cluster.nodes


def test_voter_that_has_seen_a_leader_sends_no_boot_id(cluster):
    leader = cluster.leader()
    others = [name for name in cluster.nodes if name != leader]
    cluster.start(others[0])
    cluster.run(20)
    request = message.PreVoteRequest(99, 99, 99, cluster.now)
    for name in (leader, others[1]):
        effects = raft.step(
            cluster.nodes[name], node.Received(others[0], request)
        )
        assert sends(effects)[-1].body.boot == 0


def test_restart_proof_is_valid_only_for_the_current_process():
    state = create_replica('a', 'abc')
    state.boot_id = 7
    proof = (('a', 7), ('b', 8), ('c', 9))
    older = (('a', 6), ('b', 8), ('c', 9))
    for restarted, is_accepted in (
        (older, False),
        (proof[:2], False),
        (proof, True),
    ):
        request = message.VoteRequest(
            5, 0, 0, handover=False, restarted=restarted
        )
        raft.step(state, node.Received('b', request))
        assert (state.term == 5) == is_accepted


def test_reply_of_a_voter_started_after_the_request_is_ignored():
    state = create_replica('a', 'abc')
    state.boot_id = 7
    raft.step(state, node.Tick(2 * TIMING.election_timeout_ms))
    raft.step(state, node.Tick(state.now + 100))
    reply = message.PreVoteReply(0, False, 8, 100, state.pre_vote_sent_at)
    raft.step(state, node.Received('b', reply))
    assert set(state.restarted_voters) == {'a'}
    reply = message.PreVoteReply(0, False, 8, 900, state.pre_vote_sent_at)
    raft.step(state, node.Received('b', reply))
    assert set(state.restarted_voters) == {'a', 'b'}


def test_voter_with_the_longer_log_starts_an_election_at_once():
    state = create_replica('a', 'abc')
    state.log.append(entry(1, 1))
    before = raft.step(state, node.Tick(TIMING.election_timeout_ms + 1))
    state.election_due_at = 10 * TIMING.election_timeout_ms
    assert not sends(before)
    request = message.PreVoteRequest(5, 0, 0)
    refused = raft.step(state, node.Received('b', request))
    assert not sends(refused)[-1].body.granted
    started = raft.step(state, node.Tick(state.now + 1))
    assert any(
        isinstance(sent.body, message.PreVoteRequest) for sent in sends(started)
    )


def test_refused_pre_vote_carries_the_current_term():
    state = create_replica('a', 'abc', term=5)
    raft.step(state, node.Tick(100))
    request = message.PreVoteRequest(2, 9, 1)
    effects = raft.step(state, node.Received('b', request))
    assert sends(effects)[-1].body == message.PreVoteReply(5, granted=False)


def test_new_replica_gets_the_log_from_the_first_entry(cluster):
    cluster.run(3000)
    leader = cluster.leader()
    state = cluster.nodes[leader]
    new_member = message.Member(message.ReplicaId('new'), 'new', 'dc', False)
    larger = state.membership.replace(new_member)
    effects = raft.step(state, node.MembershipProposed(larger))
    effects.extend(raft.step(state, node.Tick(state.now + 200)))
    appends = [
        effect.body
        for effect in sends(effects)
        if effect.receiver == new_member.identity
    ]
    assert appends
    assert appends[0].previous_index == 0
    assert appends[0].entries[0].index == 1
