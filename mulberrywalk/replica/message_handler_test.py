"""Reports of entries: which of them the leader believes."""

import anyio
import pytest

from ..core import cell_test, event, job, reducer
from ..telemetry import clock, journal, metric
from ..transport import wire
from . import assignment, assignment_test, delivery, message_handler


class FakeDelivery(delivery.Delivery):
    """Accepts the proof of each expired start, or of none."""

    is_accepted = True

    def expire(self, session, name):
        return self.is_accepted


class Components:
    """Stands in for the parts of a leader that handle reports."""

    def __init__(self, scene):
        self.assignments = scene.assignments
        self.delivery = FakeDelivery(scene.engine, scene.links, scene.leases)
        self.logger = scene.logger
        self.metrics = metric.Exposition(metric.NoMetrics())


class Scene(assignment_test.Scene):
    """A leader with two entries that report expired starts.

    What it proposes waits for commit.
    """

    def __init__(self):
        super().__init__('dc0', 'dc0')
        self.proposed = []
        self.callbacks = []
        self.engine.propose = self.propose
        self.engine.time = int
        self.components = Components(self)
        self.receiver = message_handler.MessageHandler(
            self.engine, self.components
        )

    def propose(self, proposed, notify):
        self.proposed.append(proposed)
        self.callbacks.append(notify)

    def commit(self):
        """Apply what was proposed as one entry of the log."""
        tables = self.engine.cell.tables
        outcomes = [
            reducer.reduce(tables, one)[1][0].outcome for one in self.proposed
        ]
        callbacks = self.callbacks
        self.proposed = []
        self.callbacks = []
        for notify, event_outcome in zip(callbacks, outcomes, strict=True):
            notify(event_outcome)

    def report(self, entry, number):
        ended = event.AttemptEnd('j.0.0.0/1', job.EndReason.START_EXPIRED, 5)
        received = wire.Report(
            self.engine.session, expired=(ended,), assignment=number
        )
        self.receiver.receive(entry, received)
        return len(self.proposed[-1].ended)


def test_expired_start_is_believed_of_the_assigned_entry_only():
    scene = Scene()
    first, second = scene.entries
    scene.rebalance(assignment.CLAIM_GRACE_MS)
    message = scene.assigned(0)[0]
    number = (message.term, message.number)
    earlier = (message.term - 1, message.number)
    assert scene.report(first, number) == 1
    assert scene.report(second, number) == 0
    assert scene.report(first, earlier) == 0
    scene.rebalance(4000)
    assert scene.report(first, number) == 0


@pytest.mark.parametrize('is_accepted', [True, False])
def test_expired_start_counts_only_if_it_is_not_sent_again(is_accepted):
    scene = Scene()
    scene.components.delivery.is_accepted = is_accepted
    scene.rebalance(assignment.CLAIM_GRACE_MS)
    message = scene.assigned(0)[0]
    number = (message.term, message.number)
    assert scene.report(scene.entries[0], number) == int(is_accepted)


def report_unknown_run(scene):
    """Report a run that the leader holds for ended; return its command."""
    scene.rebalance(assignment.CLAIM_GRACE_MS)
    origin = scene.entries[0]
    anyio.run(origin.outbox.take, 0)
    started = event.AttemptStart('j.0.0.0/1', 5)
    scene.receiver.receive(
        origin, wire.Report(scene.engine.session, started=(started,))
    )
    return cell_test.only(anyio.run(origin.outbox.take, 0))


def test_run_that_counts_as_ended_is_stopped_when_it_is_reported():
    scene = Scene()
    command = report_unknown_run(scene)
    assert [one.attempt for one in command.stop] == ['j.0.0.0/1']
    assert command.term == scene.engine.node.term
    line = cell_test.only(scene.logger.find(journal.Filter(job='j')))
    assert (line.what, line.target) == ('unknown run reported', 't0')
    assert 'unknown_runs_total 1' in scene.components.metrics.render()


def test_stop_of_an_unknown_run_is_resent_until_its_end_is_reported():
    scene = Scene()
    report_unknown_run(scene)
    origin = scene.entries[0]
    scene.components.delivery.resend_overdue(clock.monotonic_ms() + 2000)
    command = cell_test.only(anyio.run(origin.outbox.take, 0))
    assert [one.attempt for one in command.stop] == ['j.0.0.0/1']
    ended = event.AttemptEnd('j.0.0.0/1', job.EndReason.STOPPED, 9)
    scene.receiver.receive(
        origin, wire.Report(scene.engine.session, ended=(ended,))
    )
    scene.components.delivery.resend_overdue(clock.monotonic_ms() + 9000)
    assert not anyio.run(origin.outbox.take, 0)


def test_stop_of_an_unknown_run_ends_with_its_session():
    scene = Scene()
    report_unknown_run(scene)
    scene.engine.cell.apply(event.SessionExpired, scene.engine.session)
    scene.components.delivery.resend_overdue(clock.monotonic_ms() + 2000)
    assert not anyio.run(scene.entries[0].outbox.take, 0)


class PlacedScene(Scene):
    """A leader whose first entry serves the target of a placed task."""

    def __init__(self):
        super().__init__()
        cell = self.engine.cell
        cell.now += 1
        needs = cell_test.step(1, is_lasting=True)
        cell.submit(cell_test.specify(1, job.Kind.WORKFLOW, steps=(needs,)))
        cell.dispatch()
        self.attempt = cell_test.only(self.engine.tables.attempts)
        self.rebalance(assignment.CLAIM_GRACE_MS)
        message = self.assigned(0)[0]
        self.number = message.term, message.number

    def report_all(self, **fields):
        self.receiver.receive(
            self.entries[0],
            wire.Report(self.engine.session, assignment=self.number, **fields),
        )

    def stops(self):
        sent = anyio.run(self.entries[0].outbox.take, 0)
        commands = [one for one in sent if isinstance(one, wire.Commands)]
        return [stop.attempt for one in commands for stop in one.stop]


def test_run_whose_end_is_committed_after_its_report_is_stopped():
    """The proof of an expired start and the start's late run cross."""
    scene = PlacedScene()
    expired = event.AttemptEnd(scene.attempt, job.EndReason.START_EXPIRED, 5)
    scene.report_all(expired=(expired,))
    scene.report_all(started=(event.AttemptStart(scene.attempt, 6),))
    assert not scene.stops()
    scene.commit()
    assert scene.attempt not in scene.engine.tables.attempts
    assert scene.stops() == [scene.attempt]
    scene.components.delivery.resend_overdue(clock.monotonic_ms() + 2000)
    assert scene.stops() == [scene.attempt]


def test_run_that_ends_before_its_start_is_committed_is_not_stopped():
    scene = PlacedScene()
    scene.report_all(started=(event.AttemptStart(scene.attempt, 5),))
    ended = event.AttemptEnd(scene.attempt, job.EndReason.FAILED, 6)
    scene.report_all(ended=(ended,))
    scene.commit()
    assert scene.attempt not in scene.engine.tables.attempts
    scene.components.delivery.resend_overdue(clock.monotonic_ms() + 2000)
    assert not scene.stops()
