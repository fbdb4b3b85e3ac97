"""Reports of entries: which of them the leader believes."""

import anyio
import pytest

from ..core import cell_test, event, job
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
    """A leader with two entries that report expired starts."""

    def __init__(self):
        super().__init__('dc0', 'dc0')
        self.proposed = []
        self.engine.propose = self.propose
        self.engine.time = int
        self.components = Components(self)
        self.receiver = message_handler.MessageHandler(
            self.engine, self.components
        )

    def propose(self, proposed, notify):
        self.proposed.append(proposed)

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
