"""Tests of the correction of declared resources by reported usage."""

from . import cell_test, effect, event, identity, job


def test_overuse_throttles_and_then_stops_the_least_urgent_attempt():
    cell = cell_test.Cell(targets=1)
    cell.submit(cell_test.specify(1, urgency=job.Urgency.CRITICAL))
    cell.submit(cell_test.specify(2, urgency=job.Urgency.LOW))
    cell.dispatch()
    low = cell.tables.attempts[identity.AttemptId('j3.0/1')]
    usage = event.AttemptUsage(low.attempt, 6000, 1000)
    first = cell.apply(event.ReportReceived, low.session, usage=(usage,))
    second = cell.apply(event.ReportReceived, low.session, usage=(usage,))
    assert any(isinstance(emitted, effect.ThrottleAttempt) for emitted in first)
    stopped = [
        emitted for emitted in second if isinstance(emitted, effect.StopAttempt)
    ]
    assert stopped[0].attempt.attempt == low.attempt


def test_requeued_task_is_placed_with_the_memory_it_has_used():
    cell = cell_test.Cell(targets=1)
    accepted = cell.submit(cell_test.specify(1))
    cell.dispatch()
    attempt = cell.tables.attempts[identity.AttemptId('j2.0/1')]
    used = event.AttemptUsage(attempt.attempt, 1000, 3000)
    cell.apply(event.ReportReceived, attempt.session, usage=(used,))
    cell.report(attempt, job.EndReason.STOPPED)
    cell.dispatch()
    retried = cell.tables.attempts[identity.AttemptId('j2.0/2')]
    assert retried.held.memory_bytes == 3000
    assert cell.task(accepted.job).used_bytes == 3000
