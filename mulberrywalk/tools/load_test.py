"""Tests how the load generator counts the responses to a submission."""

import anyio
import httpx
import pytest

from . import load as load_tool
from . import mix, mix_test, replay


def ended_job(attempts):
    tasks = [{'attempts': attempts}]
    return {'state': 'completed', 'ended_at': 1, 'tasks': tasks}


@pytest.mark.parametrize(
    ('status', 'body', 'expected'),
    [
        (
            200,
            ended_job(attempts=2),
            {'completed': 1, 'retried': 1, 'refused': 0},
        ),
        (202, {'outcome': 'accepted'}, {'completed': 0, 'refused': 0}),
        (429, {'outcome': 'not_run'}, {'completed': 0, 'refused': 1}),
    ],
)
def test_submit_counts_by_response(status, body, expected):
    metrics = replay.RunMetrics()
    arrival = mix.generate_arrivals(mix_test.SMALL_MIX, 1)[0]

    async def submit_once():
        transport = httpx.MockTransport(
            lambda _: httpx.Response(status, json=body)
        )
        async with httpx.AsyncClient(transport=transport) as client:
            await load_tool.submit(client, 'http://a/', arrival, 0, metrics)

    anyio.run(submit_once)
    assert {
        name: getattr(metrics, name)['sort'] for name in expected
    } == expected
