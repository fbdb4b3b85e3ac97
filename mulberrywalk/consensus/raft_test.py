"""Drives replicas through crashes, cuts, pauses and membership changes."""

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
    """What survives a crash, and what was not yet synced."""

    vote: node.SaveVote
    entries: list
    snapshot: message.Snapshot | None = None
    saved_commit_index: int = 0
    unsynced: list = dataclasses.field(default_factory=list)
    held: list = dataclasses.field(default_factory=list)

    def sync(self):
        for saved in self.unsynced:
            if isinstance(saved, node.SaveVote):
                self.vote = saved
            else:
                first = saved.entries[0].index
                kept = [one for one in self.entries if one.index < first]
                self.entries = [*kept, *saved.entries]
        self.unsynced.clear()

    def log(self, founders):
        base = log.Log(0, 0, founders)
        if self.snapshot:
            taken = self.snapshot
            base = log.Log(taken.index, taken.term, taken.membership)
        for entry in self.entries:
            if entry.index > base.snapshot_index:
                base.append(entry)
        return base


class World:
    """Replicas, their disks and the messages between them."""

    def __init__(self, count):
        names = [message.ReplicaId(f'n{place}') for place in range(count)]
        self.founders = message.Membership(
            tuple(message.Member(name, name, 'dc', True) for name in names)
        )
        self.now = 1000
        self.nodes = {}
        self.disks = {}
        self.network = []
        self.cuts = set()
        self.paused = set()
        self.applied = {}
        self.committed = {}
        self.leaders = {}
        self.count = itertools.count(1)
        self.boots = itertools.count(1)
        for name in names:
            self.disks[name] = Disk(node.SaveVote(0, None), [])
            self.start(name)

    def start(self, name):
        disk = self.disks[name]
        disk.unsynced.clear()
        disk.held.clear()
        state = raft.create(
            name,
            disk.log(self.founders),
            TIMING,
            vote=disk.vote,
            saved_commit_index=disk.saved_commit_index,
            now=self.now,
            boot_id=next(self.boots),
        )
        self.nodes[name] = state
        held = disk.snapshot.payload if disk.snapshot else b'[]'
        self.applied[name] = msgspec.json.decode(held)
        for entry in state.log.entries:
            if entry.index <= state.applied_index:
                self.apply(name, node.Apply(entry))

    def step(self, name, entered):
        if name not in self.paused:
            self.carry_out(name, raft.step(self.nodes[name], entered))

    def carry_out(self, name, effects):
        takers = {
            node.Send: self.send,
            node.SaveVote: self.save,
            node.SaveEntries: self.save,
            node.Apply: self.apply,
            node.SendSnapshot: self.send_snapshot,
            node.InstallSnapshot: self.install,
            node.RoleChanged: self.note_role,
        }
        for effect in effects:
            takers[type(effect)](name, effect)

    def send(self, name, effect):
        packet = (name, effect.receiver, effect.body)
        if effect.is_after_sync:
            self.disks[name].held.append(packet)
        else:
            self.network.append(packet)

    def save(self, name, effect):
        self.disks[name].unsynced.append(effect)

    def note_role(self, name, effect):
        if effect.role is node.Role.LEADER:
            other = self.leaders.setdefault(effect.term, name)
            assert other == name, f'two leaders in term {effect.term}'

    def send_snapshot(self, name, effect):
        held = self.disks[name].snapshot
        if held is not None:
            body = message.SnapshotRequest(effect.term, held, effect.sent_at)
            self.network.append((name, effect.receiver, body))

    def apply(self, name, effect):
        entry = effect.entry
        known = self.committed.setdefault(entry.index, entry)
        assert known == entry, f'another entry committed at {entry.index}'
        self.applied[name].append(entry.payload.decode('latin-1'))

    def install(self, name, effect):
        taken = effect.snapshot
        disk = self.disks[name]
        disk.sync()
        disk.snapshot = taken
        disk.entries = [one for one in disk.entries if one.index > taken.index]
        self.applied[name] = msgspec.json.decode(taken.payload)

    def sync(self, name):
        if name in self.paused:
            return
        disk = self.disks[name]
        disk.sync()
        state = self.nodes[name]
        disk.saved_commit_index = max(
            disk.saved_commit_index, state.commit_index
        )
        self.network.extend(disk.held)
        disk.held.clear()
        self.step(
            name, node.Synced(state.log.last_index(), state.log.last_term())
        )

    def deliver(self, packet):
        sender, receiver, body = packet
        is_cut = (sender, receiver) in self.cuts
        is_up = receiver in self.nodes and receiver not in self.paused
        if is_up and not is_cut:
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
        """Let everything that is not cut work for a while."""
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
        leased = [one for one in states if node.holds_lease(one, self.now)]
        assert len(leased) <= 1, 'two leader leases at once'
        for state in self.nodes.values():
            for entry in state.log.entries:
                if entry.index <= state.applied_index:
                    known = self.committed.get(entry.index, entry)
                    assert known == entry, 'a committed entry has changed'
        for left, right in itertools.combinations(states, 2):
            check_logs_match(left.log, right.log)
        shortest = sorted(self.applied.values(), key=len)
        for shorter, longer in itertools.pairwise(shortest):
            assert longer[: len(shorter)] == shorter, 'applied states differ'


def check_logs_match(left, right):
    """Equal index and term mean equal entries up to there."""
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
    """Random steps over three to five replicas."""

    @initialize(count=st.integers(min_value=3, max_value=5))
    def create(self, count):
        self.world = World(count)
        self.world.run(600)

    def pick(self, choice):
        names = sorted(self.world.nodes)
        return names[choice % len(names)]

    @rule(milliseconds=st.sampled_from((10, 30, 100, 400)), choice=CHOICE)
    def tick(self, milliseconds, choice):
        self.world.now += milliseconds
        self.world.step(self.pick(choice), node.Tick(self.world.now))

    @rule(milliseconds=st.sampled_from((50, 300, 1000)))
    def run_all(self, milliseconds):
        self.world.run(milliseconds)

    @rule(choice=CHOICE)
    def sync(self, choice):
        self.world.sync(self.pick(choice))

    @precondition(lambda machine: machine.world.network)
    @rule(choice=CHOICE, is_kept=st.booleans())
    def deliver(self, choice, is_kept):
        place = choice % len(self.world.network)
        packet = self.world.network[place]
        if not is_kept:
            self.world.network.pop(place)
        self.world.deliver(packet)

    @precondition(lambda machine: machine.world.network)
    @rule(choice=CHOICE)
    def drop(self, choice):
        self.world.network.pop(choice % len(self.world.network))

    @rule(choice=CHOICE)
    def propose(self, choice):
        payload = f'c{next(self.world.count)}'.encode()
        self.world.step(self.pick(choice), node.Proposed((payload,)))

    @rule(choice=CHOICE)
    def crash(self, choice):
        name = self.pick(choice)
        self.world.paused.discard(name)
        self.world.start(name)

    @rule(choice=CHOICE)
    def pause_or_resume(self, choice):
        self.world.paused ^= {self.pick(choice)}

    @rule(left=CHOICE, right=CHOICE, is_both=st.booleans())
    def cut(self, left, right, is_both):
        pair = (self.pick(left), self.pick(right))
        self.world.cuts.add(pair)
        if is_both:
            self.world.cuts.add((pair[1], pair[0]))

    @rule()
    def heal(self):
        self.world.cuts.clear()

    @rule(choice=CHOICE)
    def compact(self, choice):
        self.world.compact(self.pick(choice))

    @rule(choice=CHOICE)
    def hand_over(self, choice):
        self.world.step(self.pick(choice), node.HandoverProposed())

    @rule(choice=CHOICE, changed=CHOICE)
    def change_membership(self, choice, changed):
        name = self.pick(choice)
        state = self.world.nodes[name]
        member = self.world.founders.members[
            changed % len(self.world.founders.members)
        ]
        if state.membership.find(member.identity) is None:
            planned = state.membership.replace(member)
        elif len(state.membership.voters()) > 2:
            planned = state.membership.remove(member.identity)
        else:
            return
        self.world.step(name, node.MembershipProposed(planned))

    @invariant()
    def check(self):
        self.world.check()


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
def world():
    created = World(3)
    created.run(1500)
    return created


def test_create_elects_one_leader(world):
    leaders = [
        state
        for state in world.nodes.values()
        if state.role is node.Role.LEADER
    ]
    assert len(leaders) == 1


def test_step_commits_on_all(world):
    world.step(world.leader(), node.Proposed((b'a', b'b')))
    world.run(300)
    for applied in world.applied.values():
        assert applied[-2:] == ['a', 'b']


def test_deposed_leader_does_not_serve(world):
    old = world.leader()
    others = [name for name in world.nodes if name != old]
    world.cuts = {(old, other) for other in others}
    world.cuts |= {(other, old) for other in others}
    world.run(2000)
    assert world.leader() in others
    assert not node.holds_lease(world.nodes[old], world.now)
    world.step(world.leader(), node.Proposed((b'new',)))
    world.step(old, node.Proposed((b'old',)))
    world.cuts.clear()
    world.run(1500)
    assert all(applied[-1] == 'new' for applied in world.applied.values())


def test_crash_loses_nothing_committed(world):
    for number in range(20):
        world.step(world.leader(), node.Proposed((str(number).encode(),)))
        world.run(100)
        world.start(world.leader())
        world.run(1500)
    expected = [str(place) for place in range(20)]
    for applied in world.applied.values():
        assert [one for one in applied if one] == expected


def test_unsynced_entry_is_not_counted(world):
    leader = world.leader()
    others = [name for name in world.nodes if name != leader]
    world.cuts = {(other, leader) for other in others}
    world.step(leader, node.Proposed((b'lost',)))
    world.sync(leader)
    assert world.applied[leader][-1:] != ['lost']


def test_replica_behind_catches_up_by_snapshot(world):
    leader = world.leader()
    behind = next(name for name in world.nodes if name != leader)
    world.paused.add(behind)
    for number in range(300):
        world.step(leader, node.Proposed((str(number).encode(),)))
        world.run(20)
    world.compact(leader)
    world.paused.discard(behind)
    world.run(3000)
    assert world.nodes[behind].log.snapshot_index > 0
    assert world.applied[behind] == world.applied[leader]


def test_handover_moves_the_leader(world):
    old = world.leader()
    world.step(old, node.HandoverProposed())
    world.run(200)
    assert world.leader() != old


def test_candidate_behind_in_term_still_wins(world):
    """Found by reasoning: the longest log with the lowest term."""
    leader = world.leader()
    others = [name for name in world.nodes if name != leader]
    world.step(leader, node.Proposed((b'only here',)))
    world.sync(leader)
    for name in others:
        world.nodes[name].term += 2
        world.disks[name].vote = node.SaveVote(world.nodes[name].term, None)
    world.run(4000)
    assert world.leader()


def lonely(name, members, term=0):
    """Return one replica of several, with no others running."""
    founders = message.Membership(
        tuple(
            message.Member(message.ReplicaId(one), one, 'dc', True)
            for one in members
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
    return [one for one in effects if isinstance(one, node.Send)]


def test_vote_is_saved_before_it_leaves():
    state = lonely('a', 'abc')
    raft.step(state, node.Tick(1000))
    asked = message.VoteRequest(7, 0, 0, handover=False)
    effects = raft.step(state, node.Received('b', asked))
    assert node.SaveVote(7, 'b') in effects
    assert [one.is_after_sync for one in sends(effects)] == [True]
    again = message.VoteRequest(7, 0, 0, handover=False)
    refused = raft.step(state, node.Received('c', again))
    assert not sends(refused)[-1].body.granted


def test_append_is_acknowledged_after_the_sync():
    state = lonely('a', 'abc')
    request = message.AppendRequest(1, 0, 0, (entry(1, 1),), 0, 5)
    effects = raft.step(state, node.Received('b', request))
    reply = sends(effects)[-1]
    assert reply.body.succeeded
    assert reply.is_after_sync


def test_restarted_voter_keeps_the_lease_that_it_granted(world):
    leader = world.leader()
    others = [name for name in world.nodes if name != leader]
    world.cuts = {(leader, other) for other in others}
    for name in others:
        world.start(name)
    for _ in range(TIMING.election_timeout_ms // 10 - 2):
        world.run(10)
        world.check()
    asked = message.VoteRequest(9, 99, 9, handover=False)
    world.step(others[0], node.Received(others[1], asked))
    assert world.nodes[others[0]].term < 9


def test_earlier_term_is_committed_only_with_the_own_term():
    """The case of figure 8 of the Raft paper."""
    state = lonely('a', 'abcde')
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


def test_candidate_that_is_behind_gets_no_vote():
    state = lonely('a', 'abc')
    request = message.AppendRequest(1, 0, 0, (entry(1, 1),), 0, 5)
    raft.step(state, node.Received('b', request))
    raft.step(state, node.Tick(5000))
    asked = message.VoteRequest(9, 0, 0, handover=False)
    effects = raft.step(state, node.Received('c', asked))
    assert not sends(effects)[-1].body.granted


def test_leader_lease_ends_with_a_handover(world):
    leader = world.leader()
    assert node.holds_lease(world.nodes[leader], world.now)
    world.step(leader, node.HandoverProposed())
    assert not node.holds_lease(world.nodes[leader], world.now)


def test_own_entries_count_only_when_synced():
    state = lonely('a', 'a')
    raft.step(state, node.Tick(5000))
    assert state.role is node.Role.LEADER
    raft.step(state, node.Proposed((b'x',)))
    assert state.commit_index == 0
    raft.step(state, node.Synced(2, state.term))
    assert state.commit_index == 2


def test_membership_changes_one_at_a_time(world):
    leader = world.leader()
    state = world.nodes[leader]
    others = [name for name in world.nodes if name != leader]
    world.cuts = {(other, leader) for other in others}
    first = state.membership.remove(others[0])
    world.step(leader, node.MembershipProposed(first))
    assert state.membership == first
    second = first.remove(others[1])
    world.step(leader, node.MembershipProposed(second))
    assert state.membership == first


def test_membership_changes_by_one_voter(world):
    leader = world.leader()
    state = world.nodes[leader]
    before = state.membership
    smaller = before
    for name in list(world.nodes):
        if name != leader:
            smaller = smaller.remove(name)
    world.step(leader, node.MembershipProposed(smaller))
    assert state.membership == before


def test_voters_that_all_start_anew_wait_for_no_lease(world):
    before = world.leader()
    for name in list(world.nodes):
        world.start(name)
    world.run(TIMING.election_timeout_ms - 20)
    assert world.leader()
    world.check()
    assert before in world.nodes


def test_a_voter_that_has_heard_a_leader_proves_nothing(world):
    leader = world.leader()
    others = [name for name in world.nodes if name != leader]
    world.start(others[0])
    world.run(20)
    asked = message.PreVoteRequest(99, 99, 99, world.now)
    for name in (leader, others[1]):
        effects = raft.step(world.nodes[name], node.Received(others[0], asked))
        assert sends(effects)[-1].body.boot == 0


def test_a_proof_holds_only_for_the_process_that_gave_it():
    state = lonely('a', 'abc')
    state.boot_id = 7
    proof = (('a', 7), ('b', 8), ('c', 9))
    older = (('a', 6), ('b', 8), ('c', 9))
    for restarted, is_taken in (
        (older, False),
        (proof[:2], False),
        (proof, True),
    ):
        asked = message.VoteRequest(
            5, 0, 0, handover=False, restarted=restarted
        )
        raft.step(state, node.Received('b', asked))
        assert (state.term == 5) == is_taken


def test_an_answer_of_a_voter_that_was_not_up_when_asked_does_not_count():
    state = lonely('a', 'abc')
    state.boot_id = 7
    raft.step(state, node.Tick(2 * TIMING.election_timeout_ms))
    raft.step(state, node.Tick(state.now + 100))
    reply = message.PreVoteReply(0, False, 8, 100, state.pre_vote_sent_at)
    raft.step(state, node.Received('b', reply))
    assert set(state.restarted_voters) == {'a'}
    reply = message.PreVoteReply(0, False, 8, 900, state.pre_vote_sent_at)
    raft.step(state, node.Received('b', reply))
    assert set(state.restarted_voters) == {'a', 'b'}


def test_voter_with_the_longer_log_stands_at_once():
    state = lonely('a', 'abc')
    state.log.append(entry(1, 1))
    before = raft.step(state, node.Tick(TIMING.election_timeout_ms + 1))
    state.election_due_at = 10 * TIMING.election_timeout_ms
    assert not sends(before)
    asked = message.PreVoteRequest(5, 0, 0)
    refused = raft.step(state, node.Received('b', asked))
    assert not sends(refused)[-1].body.granted
    stood = raft.step(state, node.Tick(state.now + 1))
    assert any(
        isinstance(one.body, message.PreVoteRequest) for one in sends(stood)
    )


def test_refused_pre_vote_tells_the_term():
    state = lonely('a', 'abc', term=5)
    raft.step(state, node.Tick(100))
    asked = message.PreVoteRequest(2, 9, 1)
    effects = raft.step(state, node.Received('b', asked))
    assert sends(effects)[-1].body == message.PreVoteReply(5, granted=False)


def test_newcomer_gets_the_log_from_its_first_entry_on(world):
    world.run(3000)
    leader = world.leader()
    state = world.nodes[leader]
    newcomer = message.Member(message.ReplicaId('new'), 'new', 'dc', False)
    larger = state.membership.replace(newcomer)
    effects = raft.step(state, node.MembershipProposed(larger))
    effects.extend(raft.step(state, node.Tick(state.now + 200)))
    appends = [
        effect.body
        for effect in sends(effects)
        if effect.receiver == newcomer.identity
    ]
    assert appends
    assert appends[0].previous_index == 0
    assert appends[0].entries[0].index == 1
