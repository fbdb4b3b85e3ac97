"""Correction of declared amounts."""

from . import cell_test, effect, event, identity, job


def test_overuse_throttles_then_requeues_the_least_urgent():
    cell = cell_test.Cell(targets=1)
    cell.submit(cell_test.specify(1, urgency=job.Urgency.CRITICAL))
    cell.submit(cell_test.specify(2, urgency=job.Urgency.LOW))
    cell.dispatch()
    low = cell.tables.attempts[identity.AttemptId('j3.0/1')]
    usage = event.AttemptUsage(low.attempt, 6000, 1000)
    first = cell.apply(event.ReportReceived, low.session, usage=(usage,))
    second = cell.apply(event.ReportReceived, low.session, usage=(usage,))
    assert any(isinstance(one, effect.ThrottleAttempt) for one in first)
    stopped = [one for one in second if isinstance(one, effect.StopAttempt)]
    assert stopped[0].attempt.attempt == low.attempt


def test_requeued_task_is_placed_with_the_memory_it_was_seen_to_use():
    cell = cell_test.Cell(targets=1)
    accepted = cell.submit(cell_test.specify(1))
    cell.dispatch()
    attempt = cell.tables.attempts[identity.AttemptId('j2.0/1')]
    used = event.AttemptUsage(attempt.attempt, 1000, 3000)
    cell.apply(event.ReportReceived, attempt.session, usage=(used,))
    cell.report(attempt, job.EndReason.STOPPED)
    cell.dispatch()
    again = cell.tables.attempts[identity.AttemptId('j2.0/2')]
    assert again.held.memory_bytes == 3000
    assert cell.task(accepted.job).used_bytes == 3000
