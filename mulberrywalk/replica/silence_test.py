"""Silent targets are detected early, and their silence outlasts a leader."""

import pytest

from ..core import cell_test, event, target
from . import lease, proposal, silence


class FakeEngine:
    """A state with one target; proposals are recorded and applied at once.

    With is_committing False they wait in the log for commit_next.
    """

    def __init__(self):
        self.cell = cell_test.Cell()
        effects = self.cell.apply(
            event.SessionOpened, cell_test.announce(0, 'n0')
        )
        self.session = effects[0].outcome.session
        self.proposed = []
        self.waiting = []
        self.is_committing = True

    @property
    def tables(self):
        return self.cell.tables

    def time(self):
        return self.tables.time

    def propose(self, new_event, callback):
        self.proposed.append(new_event.quiet_ms)
        self.waiting.append((new_event, callback))
        if self.is_committing:
            self.commit_next()

    def commit_next(self):
        noted, callback = self.waiting.pop(0)
        effects = self.cell.apply(
            event.SilenceNoted, noted.session, noted.quiet_ms
        )
        callback(effects[0].outcome)


class Scene:
    """The leases and the silence detector of a new leader."""

    def __init__(self, engine, now=0):
        self.leases = lease.Leases(now)
        self.detector = silence.SilenceDetector(engine, self.leases)
        self.detector.restore(now)
        self.detector.check(now)


@pytest.fixture
def engine():
    return FakeEngine()


def test_silent_target_is_proposed_once(engine):
    scene = Scene(engine)
    scene.leases.renew(engine.session, 'e0', 1000)
    scene.detector.check(1000 + silence.IDLE_TIMEOUT_MS)
    assert not engine.proposed
    for elapsed_ms in (1, 2):
        scene.detector.check(1000 + silence.IDLE_TIMEOUT_MS + elapsed_ms)
    assert engine.proposed == [silence.IDLE_TIMEOUT_MS + 1]


def test_busy_target_is_proposed_sooner(engine):
    scene = Scene(engine)
    scene.leases.renew(engine.session, 'e0', 1000)
    engine.cell.submit(cell_test.specify(1))
    engine.cell.dispatch()
    scene.detector.check(1000)
    scene.detector.check(1001 + silence.BUSY_TIMEOUT_MS)
    assert engine.proposed == [silence.BUSY_TIMEOUT_MS + 1]


def test_idle_target_is_not_silent_as_soon_as_it_has_work(engine):
    scene = Scene(engine)
    scene.leases.renew(engine.session, 'e0', 1000)
    engine.cell.submit(cell_test.specify(1))
    engine.cell.dispatch()
    placed_at = 1000 + silence.BUSY_TIMEOUT_MS
    for elapsed_ms in (1, silence.IDLE_TIMEOUT_MS - silence.BUSY_TIMEOUT_MS):
        scene.detector.check(placed_at + elapsed_ms)
    assert not engine.proposed


def test_session_new_to_a_long_running_leader_is_not_silent(engine):
    detector = silence.SilenceDetector(engine, lease.Leases(0))
    detector.check(60_000)
    assert not engine.proposed


def test_lease_is_renewed_only_after_the_end_of_a_silence_is_committed(engine):
    scene = Scene(engine)
    engine.is_committing = False
    scene.detector.check(60_000)
    # Proposed but not committed: a later leader may still count from it.
    assert not scene.detector.record_contact(engine.session, 60_001)
    engine.commit_next()
    assert not scene.detector.record_contact(engine.session, 60_002)
    engine.commit_next()
    assert scene.detector.record_contact(engine.session, 60_003)
    scene.detector.check(60_004)
    assert engine.proposed[1:] == [0]


def test_new_leader_counts_no_lease_from_before_its_renewal(engine):
    """The silence is committed; its end is lost with the leader."""
    engine.is_committing = False
    first = Scene(engine)
    first.leases.renew(engine.session, 'e0', 1000)
    first.detector.check(1001 + silence.IDLE_TIMEOUT_MS)
    renewed = [
        now
        for now in (3510, 3520, 3530)
        if first.detector.record_contact(engine.session, now)
    ]
    engine.commit_next()
    second = Scene(engine, now=3600)
    counted_from = second.leases.renewed_at(engine.session)
    assert all(counted_from >= now for now in renewed), renewed


def test_contact_counts_while_the_end_of_a_silence_is_not_committed(engine):
    engine.is_committing = False
    scene = Scene(engine)
    scene.detector.check(60_000)
    for now in range(60_001, 70_000, 500):
        scene.detector.record_contact(engine.session, now)
        scene.detector.check(now)
    assert engine.proposed == [60_000, 0]


def test_new_leader_counts_a_lease_from_the_start_of_the_silence(engine):
    engine.cell.apply(event.SilenceNoted, engine.session, 2000)
    engine.cell.dispatch(1000)
    scene = Scene(engine, now=50_000)
    # Of the second since the record, 9/10 are certain to have passed.
    assert scene.leases.renewed_at(engine.session) == 50_000 - 2900
    assert engine.proposed == [2900]
    expires_at = 50_000 - 2900 + target.LEASE_MS + target.LEASE_MARGIN_MS
    assert not scene.leases.expire([engine.session], expires_at)
    assert scene.leases.expire([engine.session], expires_at + 1)


def test_silence_that_a_leader_left_out_is_not_measured_by_its_clock(engine):
    """The leader between, an hour ahead, was lost before it recorded it."""
    engine.cell.apply(event.SilenceNoted, engine.session, 2000)
    engine.cell.now += 3_600_000
    engine.cell.apply(event.LeadershipBegun)
    engine.cell.dispatch(1000)
    scene = Scene(engine, now=50_000)
    assert scene.leases.renewed_at(engine.session) == 50_000 - 2900


def test_silence_is_recorded_again_by_each_leader(engine):
    engine.cell.apply(event.SilenceNoted, engine.session, 2000)
    Scene(engine, now=50_000)
    # The event clock of the next leader is far ahead.
    engine.cell.now += 60_000
    Scene(engine, now=80_000)
    assert engine.proposed == [2000, 2000]


def test_silence_not_recorded_again_does_not_end_a_lease_early(engine):
    """The clock of a leader between is ahead; it leads for one log entry.

    A log entry takes 256 events, and ends with the time.
    """
    cell = engine.cell
    numbers = range(1, proposal.MAX_BATCH_EVENTS + 1)
    sessions = [
        engine.session,
        *(
            cell.apply(event.SessionOpened, cell_test.announce(one, f'n{one}'))[
                0
            ].outcome.session
            for one in numbers
        ),
    ]
    for session in sessions:
        cell.apply(event.SilenceNoted, session, 1500)
    # The process of the next leader has started while its clock was ahead.
    cell.now += 60_000
    cell.apply(event.LeadershipBegun)
    engine.is_committing = False
    waiting = []
    engine.propose = lambda new_event, _: waiting.append(new_event)
    silence.SilenceDetector(engine, lease.Leases(0)).restore(0)
    for noted in waiting[: proposal.MAX_BATCH_EVENTS - 1]:
        cell.apply(event.SilenceNoted, noted.session, noted.quiet_ms)
    cell.dispatch()
    # It ends; the next one leads 0.7 s after the silence was recorded.
    leases = lease.Leases(700)
    silence.SilenceDetector(engine, leases).restore(700)
    quiet_ms = {700 - leases.renewed_at(one) for one in sessions}
    assert max(quiet_ms) <= 1500 + 700, quiet_ms
    assert not leases.expire(sessions, 700 + target.LEASE_MARGIN_MS)
