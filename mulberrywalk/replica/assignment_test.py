"""Which entry calls which target, when entries come, stop and fall silent."""

import collections
import dataclasses

import anyio

from ..core import cell_test, event
from ..telemetry import journal
from ..transport import wire
from . import assignment, delivery, lease, link


class FakeLinks:
    """The links that are open, by process."""

    def __init__(self, *entries):
        self.open = {one.process: one for one in entries}

    def send(self, process, message):
        entry = self.open.get(process)
        if entry is not None:
            entry.send(message)


@dataclasses.dataclass
class FakeNode:
    term: int = 3


class FakeEngine:
    """A state with called targets, and a term."""

    def __init__(self, targets=1):
        self.cell = cell_test.Cell()
        self.node = FakeNode()
        self.sessions = [self.open_session(one) for one in range(targets)]
        self.session = self.sessions[0]

    def open_session(self, number):
        announced = cell_test.announce(
            number, '100', born_at=100, address=f'a:{number}', lease_ms=8000
        )
        effects = self.cell.apply(event.SessionOpened, announced)
        return effects[0].outcome.session

    @property
    def tables(self):
        return self.cell.tables


class Scene:
    """A leader's assignments over some entries."""

    def __init__(self, *places, targets=1):
        self.engine = FakeEngine(targets)
        self.entries = [
            link.Link(f'e{number}', place)
            for number, place in enumerate(places)
        ]
        self.links = FakeLinks(*self.entries)
        self.leases = lease.Leases(0)
        commands = delivery.Delivery(self.engine, self.links, self.leases)
        self.lines = journal.Journal(journal.Origin('r', 'dc0'))
        self.assignments = assignment.Assignments(
            self.engine, self.links, self.leases, commands, self.lines, 0
        )

    def rebalance(self, now=assignment.CLAIM_GRACE_MS):
        self.assignments.rebalance(now)
        return self.leases.entry_of(self.engine.session)

    def counts(self):
        entries = map(self.leases.entry_of, self.engine.sessions)
        return collections.Counter(entries)

    def link(self, number):
        entry = self.entries[number]
        self.links.open[entry.process] = entry

    def assigned(self, number):
        sent = anyio.run(self.entries[number].outbox.take, 0)
        return [one for one in sent if isinstance(one, wire.Assignment)]


def test_target_goes_to_an_entry_of_its_data_centre():
    scene = Scene('dc1', 'dc0')
    assert scene.rebalance() == 'e1'
    told = cell_test.only(scene.assigned(1))
    assert (told.address, told.born_at, told.term) == ('a:0', 100, 3)


def test_the_log_says_how_many_targets_an_entry_is_given():
    scene = Scene('dc0', targets=3)
    scene.rebalance()
    scene.rebalance(700)
    told = cell_test.only(scene.lines.find(journal.Filter()))
    assert told.what == 'targets assigned'
    assert told.detail == '3 to e0, 3 now'


def test_target_stays_where_it_answers():
    scene = Scene('dc0', 'dc0')
    first = scene.rebalance()
    scene.leases.renew(scene.engine.session, first, 3000)
    assert scene.rebalance(5000) == first


def test_target_that_falls_silent_is_given_to_another_entry():
    scene = Scene('dc0', 'dc0')
    first = scene.rebalance()
    assert scene.rebalance(4000) != first


def test_target_of_a_stopping_or_lost_entry_is_given_to_another():
    scene = Scene('dc0', 'dc1')
    assert scene.rebalance() == 'e0'
    scene.entries[0].is_stopping = True
    assert scene.rebalance(610) == 'e1'
    scene.entries[0].is_stopping = False
    scene.links.open.pop('e1')
    assert scene.rebalance(620) == 'e0'


def test_an_entry_stops_looking_at_what_was_given_away():
    scene = Scene('dc0', 'dc0')
    scene.entries[1].is_stopping = True
    assert scene.rebalance() == 'e0'
    scene.entries[1].is_stopping = False
    assert scene.rebalance(4000) == 'e1'
    sent = anyio.run(scene.entries[0].outbox.take, 0)
    gone = [one for one in sent if isinstance(one, wire.EndedSessions)]
    assert gone == [wire.EndedSessions((scene.engine.session,))]


def test_only_the_assigned_entry_may_renew():
    scene = Scene('dc0', 'dc1')
    scene.rebalance()
    session = scene.engine.session
    assert scene.assignments.may_renew(session, 'e0')
    assert not scene.assignments.may_renew(session, 'e1')


def test_the_first_entry_to_reach_a_new_leader_is_not_given_every_target():
    scene = Scene('dc0', 'dc0', 'dc1', 'dc1', targets=12)
    for number in (1, 2, 3):
        scene.links.open.pop(f'e{number}')
    scene.rebalance(0)
    for number in (1, 2, 3):
        scene.link(number)
    for now in range(100, 2000, 100):
        scene.rebalance(now)
    assert sum(scene.counts().values()) == 12
    assert max(scene.counts().values()) <= 6, scene.counts()


def test_an_entry_goes_on_with_what_it_carries_under_a_new_leader():
    scene = Scene('dc1', 'dc0', targets=2)
    kept, orphan = scene.engine.sessions
    assert scene.assignments.accept_claim(kept, scene.entries[0], 10)
    told = cell_test.only(scene.assigned(0))
    assert (told.session, told.term) == (kept, 3)
    scene.rebalance(100)
    assert scene.leases.entry_of(orphan) == ''
    scene.rebalance(assignment.CLAIM_GRACE_MS)
    assert scene.leases.entry_of(kept) == 'e0'
    assert scene.leases.entry_of(orphan)


def test_an_entry_does_not_take_back_what_was_given_to_another():
    scene = Scene('dc0', 'dc1')
    scene.rebalance()
    assert not scene.assignments.accept_claim(
        scene.engine.session, scene.entries[1], 700
    )
    assert not scene.assignments.accept_claim('s99', scene.entries[1], 700)


def test_a_stopping_entry_keeps_nothing_under_a_new_leader():
    scene = Scene('dc0')
    scene.entries[0].is_stopping = True
    assert not scene.assignments.accept_claim(
        scene.engine.session, scene.entries[0], 10
    )


def test_a_target_that_is_new_to_a_leader_is_assigned_at_once():
    scene = Scene('dc0')
    session = scene.engine.open_session(1)
    scene.rebalance(100)
    assert scene.leases.entry_of(session) == 'e0'


def test_targets_move_from_an_entry_that_has_far_more_than_its_share():
    scene = Scene('dc0', 'dc0', 'dc0', targets=12)
    for number in (1, 2):
        scene.links.open.pop(f'e{number}')
    scene.rebalance()
    assert scene.counts() == {'e0': 12}
    scene.link(1)
    scene.link(2)
    scene.rebalance(700)
    assert max(scene.counts().values()) <= 8
    before = scene.counts()
    scene.rebalance(800)
    assert scene.counts() == before


def test_an_entry_that_links_again_to_one_leader_keeps_its_targets():
    scene = Scene('dc0', 'dc0')
    first = scene.rebalance()
    entry = scene.links.open.pop(first)
    again = link.Link(first, entry.data_centre)
    scene.links.open[first] = again
    assert scene.assignments.accept_claim(scene.engine.session, again, 700)
    sent = anyio.run(again.outbox.take, 0)
    told = [one for one in sent if isinstance(one, wire.Assignment)]
    assert cell_test.only(told).session == scene.engine.session


def test_targets_outlast_a_leader_that_all_entries_lose_for_a_moment():
    scene = Scene('dc0')
    assert scene.rebalance() == 'e0'
    entry = scene.links.open.pop('e0')
    scene.rebalance(700)
    again = link.Link('e0', entry.data_centre)
    scene.links.open['e0'] = again
    assert scene.assignments.accept_claim(scene.engine.session, again, 750)


def test_an_entry_that_reaches_no_target_is_not_given_the_next():
    scene = Scene('dc0', 'dc0', 'dc0', targets=6)
    scene.rebalance()
    for now in range(700, 3300, 100):
        for session in scene.engine.sessions:
            entry = scene.leases.entry_of(session)
            if entry != 'e0':
                scene.leases.renew(session, entry, now)
        scene.rebalance(now)
    assert not scene.counts()['e0']
    fresh = scene.engine.open_session(6)
    scene.rebalance(3300)
    assert scene.leases.entry_of(fresh) != 'e0'


def test_links_that_are_lost_at_once_do_not_give_one_entry_every_target():
    scene = Scene('dc0', 'dc0', 'dc1', 'dc1', targets=12)
    scene.rebalance()
    carried = collections.defaultdict(list)
    for session in scene.engine.sessions:
        carried[scene.leases.entry_of(session)].append(session)
    names = list(scene.links.open)
    scene.links.open.clear()
    scene.rebalance(700)
    # They come back one after the other, to the leader that they had.
    for number, name in enumerate(names):
        scene.link(number)
        for session in carried[name]:
            scene.assignments.accept_claim(session, scene.entries[number], 800)
        scene.rebalance(800 + 100 * number)
        assert max(scene.counts().values()) <= 6, scene.counts()
