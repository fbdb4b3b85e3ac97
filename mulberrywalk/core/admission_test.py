"""Answers to submissions."""

from . import cell_test, event, identity, outcome


def test_full_queue_refuses_and_repeats_the_refusal():
    cell = cell_test.Cell()
    cell.apply(
        event.ConfigurationPatched,
        'p1',
        1,
        {'classes': {'normal': {'queued_tasks_per_team': 2}}},
    )
    assert isinstance(
        cell.submit(cell_test.specify(1, count=2)), outcome.Accepted
    )
    refused = cell.submit(cell_test.specify(2))
    assert refused.reason is outcome.RefusalReason.QUEUE_FULL
    cell.apply(event.JobCancelled, identity.JobId('j1'))
    assert isinstance(cell.submit(cell_test.specify(2)), outcome.NotRun)
    assert isinstance(cell.submit(cell_test.specify(3)), outcome.Accepted)


def test_reused_request_id_is_refused():
    cell = cell_test.Cell()
    cell.submit(cell_test.specify(1), 'd1')
    reply = cell.submit(cell_test.specify(1), 'd2')
    assert reply.reason is outcome.RefusalReason.REQUEST_REUSED
