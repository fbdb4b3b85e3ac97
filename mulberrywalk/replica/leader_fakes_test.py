"""Fakes of the random model: time, streams and the replicated log."""

import asyncio
import collections
import dataclasses
import itertools
import selectors
import types
from typing import ClassVar

import anyio

from ..consensus import node
from ..core import event, reducer, snapshot, state
from ..telemetry import clock, cost, journal, metric
from . import leader, membership

BORN_BASE = 1_700_000_000_000
_MS = 1000


class _Selector(selectors.SelectSelector):
    """Lets the time of its loop pass instead of waiting."""

    loop = None

    def select(self, timeout=None):
        assert timeout is not None, 'nothing is left to happen'
        self.loop.now += max(0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while nothing is ready."""

    def __init__(self):
        self.now = float(_MS)
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        return self.now


def now_ms():
    return int(asyncio.get_event_loop().time() * _MS)


def wall_ms():
    return BORN_BASE + now_ms()


class Lines(journal.Journal):
    """Keeps the lines of all processes, with the time of the model."""

    written: ClassVar[list] = []

    def __init__(self, name):
        super().__init__(journal.Origin(name, 'dc0'))

    def add_line(self, line):
        self.written.append((now_ms(), line))

    def warn(self, what, detail=''):
        self.record(what, detail)


class End:
    """One end of a stream; what is on its way is lost when it closes."""

    def __init__(self):
        self.peer = None
        self.is_closed = False
        self._inbox = collections.deque()
        self.changed = anyio.Event()

    async def send(self, batch):
        await anyio.sleep(0.001)
        if self.is_closed:
            raise ConnectionError('closed')
        self.peer.deliver(batch)

    async def receive(self):
        with anyio.move_on_after(1):
            while not (self._inbox or self.is_closed):
                self.changed = anyio.Event()
                await self.changed.wait()
        if self.is_closed or not self._inbox:
            raise ConnectionError('closed or silent')
        return self._inbox.popleft()

    def deliver(self, batch):
        self._inbox.append(batch)
        self.changed.set()

    def close(self):
        for end in (self, self.peer):
            end.is_closed = True
            end.changed.set()


def connect():
    near = End()
    far = End()
    near.peer = far
    far.peer = near
    return near, far


class Replica:
    """A leader on a fake engine; its state is that of the log."""

    def __init__(self, name, log):
        self._log = log
        self._clock = None
        self.node = types.SimpleNamespace(
            role=node.Role.FOLLOWER,
            term=0,
            leader='',
            identity=name,
            membership=types.SimpleNamespace(members=(), find=lambda _: None),
        )
        self.leader = None
        self._name = name

    def open(self):
        """Create the leader, once the loop runs."""
        self._clock = clock.SlewedClock()
        meter = types.SimpleNamespace(meter=cost.Meter())
        self.leader = leader.Leader(
            self,
            Lines(self._name),
            metric.Exposition(metric.NoMetrics()),
            membership.Policy(1, _MS),
            meter,
        )

    @property
    def tables(self):
        return self._log.tables

    def time(self):
        return self._clock.read()

    def follow_clock(self):
        self._clock.advance(self.tables.time)

    def propose(self, proposed, callback):
        if self._log.leading is self:
            self._log.waiting.append((proposed, callback))
        else:
            callback(None)

    async def propose_and_wait(self, proposed):
        done = anyio.Event()
        decided = []

        def note(event_outcome):
            decided.append(event_outcome)
            done.set()

        self.propose(proposed, note)
        await done.wait()
        return decided[0]

    def request_dispatch(self):
        self._log.is_dispatch_due = True

    def is_serving(self):
        return self._log.leading is self

    def has_caught_up(self):
        return True

    def backlog(self):
        return 0


@dataclasses.dataclass
class Entry:
    """Events of one round of the leader, in force at a time."""

    due: float
    events: list
    callbacks: list


class Log:
    """The replicated log: a leader that is lost leaves a part of its tail."""

    def __init__(self, rng):
        self.tables = state.State()
        self.leading = None
        self.stalled_until = 0
        self.waiting = []
        self.is_dispatch_due = False
        self._rng = rng
        self._entries = []
        self._term = 0
        self._numbers = itertools.count(1)

    def next_number(self):
        return next(self._numbers)

    def propose(self, kind, *fields):
        """Propose an event of a caller, if there is a leader."""
        if self.leading is not None:
            proposed = kind(self.leading.time(), *fields)
            self.waiting.append((proposed, lambda _: None))

    async def run(self):
        while True:
            await anyio.sleep(0.005)
            if self.leading is not None:
                self._append()
                self._commit_due()

    def depose(self):
        """End the term; some entries that were not in force come into force."""
        deposed = self.leading
        self.leading = None
        if deposed is None:
            return
        deposed.node.role = node.Role.FOLLOWER
        kept = self._rng.randint(0, len(self._entries))
        for entry in self._entries[:kept]:
            for kept_event in entry.events:
                reducer.reduce(self.tables, kept_event)
        callbacks = [one for entry in self._entries for one in entry.callbacks]
        callbacks.extend(callback for _, callback in self.waiting)
        self._entries.clear()
        self.waiting = []
        for callback in callbacks:
            callback(None)
        deposed.leader.update_role()

    def elect(self, replica):
        """Begin the next term, at a state as restored from a snapshot."""
        self.tables = snapshot.decode(snapshot.encode(self.tables))
        self._term += 1
        self.leading = replica
        replica.node.term = self._term
        replica.node.role = node.Role.LEADER
        replica.follow_clock()
        replica.leader.update_role()

    def _append(self):
        if not (self.waiting or self.is_dispatch_due):
            return
        self.is_dispatch_due = False
        proposed = self.waiting
        self.waiting = []
        events = [one for one, _ in proposed]
        events.append(event.TimePassed(self.leading.time()))
        due = anyio.current_time() + self._rng.uniform(0.002, 0.02)
        callbacks = [callback for _, callback in proposed]
        self._entries.append(Entry(due, events, callbacks))

    def _commit_due(self):
        now = anyio.current_time()
        while self._entries and now >= max(
            self._entries[0].due, self.stalled_until
        ):
            entry = self._entries.pop(0)
            effects = [
                reducer.reduce(self.tables, one)[1] for one in entry.events
            ]
            for callback, answered in zip(
                entry.callbacks, effects, strict=False
            ):
                callback(answered[0].outcome)
            for emitted in effects:
                self.leading.leader.carry_out(emitted)
