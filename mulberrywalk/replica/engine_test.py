"""A replica with much to apply goes on hearing and being heard."""

import anyio
import msgspec
import pytest

from ..consensus import message, node
from ..core import cell_test, configuration, event, job, outcome, resource
from ..storage import disk as storage
from ..telemetry import clock, journal
from . import engine

ENTRIES = 400
# As if each reading of the clock were a hard entry later.
READING_MS = 15


def entry(index):
    payload = msgspec.msgpack.encode([event.TimePassed(index)])
    return message.LogEntry(index, 1, message.EntryKind.COMMAND, payload)


@pytest.fixture
def folder(tmp_path):
    member = message.Member(message.ReplicaId('a'), 'a:1', 'dc', voter=True)
    storage.create_identity(tmp_path, message.Membership((member,)), 'a')
    opened = storage.Disk(tmp_path, storage.load(tmp_path, 'a'))
    written = tuple(map(entry, range(1, ENTRIES + 1)))
    opened.write(
        [node.SaveVote(1, None), node.SaveEntries(written)],
        commit_index=ENTRIES // 2,
    )
    opened.close()
    return tmp_path


def open_engine(folder):
    loaded = storage.load(folder, 'a')
    lines = journal.Journal(journal.Origin('a', 'dc'))
    return engine.Engine(
        loaded,
        storage.Disk(folder, loaded),
        node.Timing(),
        lines,
        snapshot_entries=10_000,
    )


def run_rounds(running, count):
    async def run():
        for _ in range(count):
            await running.run_round()

    anyio.run(run)


@pytest.fixture
def slow_clock(monkeypatch):
    now = [clock.monotonic_ms()]

    def read():
        now[0] += READING_MS
        return now[0]

    monkeypatch.setattr(engine.clock, 'monotonic_ms', read)
    return now


def test_what_is_known_to_be_committed_is_applied_without_a_leader(folder):
    running = open_engine(folder)
    run_rounds(running, 1)
    assert running.node.role is node.Role.FOLLOWER
    assert running.tables.time == ENTRIES // 2


def test_a_round_applies_for_a_limited_time(folder, slow_clock):
    running = open_engine(folder)
    began_at = slow_clock[0]
    run_rounds(running, 1)
    assert 0 < running.tables.time < ENTRIES // 2
    assert slow_clock[0] - began_at < engine.APPLY_BUDGET_MS + 5 * READING_MS


def test_a_leader_serves_once_it_has_applied_all(folder, slow_clock):
    running = open_engine(folder)
    began = []
    running.callbacks = engine.Callbacks(
        lambda *_: None,
        lambda _: None,
        lambda: began.append(running.has_caught_up()),
    )
    was_behind = False
    for _ in range(ENTRIES):
        run_rounds(running, 1)
        is_leading = running.node.role is node.Role.LEADER
        is_served = running.is_serving()
        was_behind |= is_leading and not is_served
        if is_served:
            break
    assert was_behind
    assert running.is_serving()
    assert running.tables.time == ENTRIES
    # Told of the role, and again once there is something to begin with.
    assert began[-1]


@pytest.fixture
def leading(tmp_path):
    member = message.Member(message.ReplicaId('a'), 'a:1', 'dc', voter=True)
    storage.create_identity(tmp_path, message.Membership((member,)), 'a')
    return open_engine(tmp_path)


def lead(running):
    """Let an engine lead, apply what it was proposed, and stay alive."""

    async def run():
        deadline = clock.monotonic_ms() + 5000
        while not running.is_serving():
            assert clock.monotonic_ms() < deadline
            await running.run_round()
            await anyio.sleep(0.01)

    anyio.run(run)


def opened(**changes):
    announced = cell_test.announce(0, 'n', born_at=1, address='10.0.0.1:1')
    return event.SessionOpened(1, msgspec.structs.replace(announced, **changes))


def routed(**changes):
    queue = configuration.Queue(
        'q', 'h', '/', 'p', job.Urgency.HIGH, 3000, 1, 100, 1
    )
    queue = msgspec.structs.replace(queue, **changes)
    pool = configuration.PoolSettings('p')
    routing = configuration.Routing(7, (queue,), (pool,))
    return event.ConfigurationReplaced(1, routing)


UNWRITABLE = (
    opened(capacity=resource.Resources(10**40, 1, 0, 1)),
    opened(born_at=-(10**40)),
    routed(timeout_ms=10**300),
    # Written, it could be read by no replica.
    routed(advice=job.AdviceSettings(-5, 1, 1)),
)


@pytest.mark.parametrize('odd', UNWRITABLE)
def test_event_that_the_log_cannot_hold_is_refused_alone(leading, odd):
    lead(leading)
    before, refused, after = [], [], []
    leading.propose(opened(), before.append)
    leading.propose(odd, refused.append)
    leading.propose(routed(), after.append)
    run_rounds(leading, 3)
    assert isinstance(before[0], outcome.SessionGranted)
    assert isinstance(refused[0], outcome.NotRun)
    assert isinstance(after[0], outcome.PatchAccepted)


@pytest.mark.parametrize('odd', UNWRITABLE)
def test_replica_starts_again_after_an_event_that_it_refused(
    leading, odd, tmp_path
):
    lead(leading)
    leading.propose(odd, lambda _: None)
    leading.propose(opened(), lambda _: None)
    run_rounds(leading, 3)
    again = open_engine(tmp_path)
    lead(again)
    assert len(again.tables.sessions) == 1
