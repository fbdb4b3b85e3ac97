"""What the load tool makes of answers."""

import anyio
import httpx
import pytest

from . import load as load_tool
from . import mix, mix_test, replay


def ended(attempts):
    tasks = [{'attempts': attempts}]
    return {'state': 'completed', 'ended_at': 1, 'tasks': tasks}


@pytest.mark.parametrize(
    ('status', 'body', 'counted'),
    [
        (200, ended(attempts=2), {'completed': 1, 'retried': 1, 'refused': 0}),
        (202, {'outcome': 'accepted'}, {'completed': 0, 'refused': 0}),
        (429, {'outcome': 'not_run'}, {'completed': 0, 'refused': 1}),
    ],
)
def test_submit_counts_by_answer(status, body, counted):
    metrics = replay.RunMetrics()
    arrival = mix.generate_arrivals(mix_test.PLANNED, 1)[0]

    async def ask():
        transport = httpx.MockTransport(
            lambda _: httpx.Response(status, json=body)
        )
        async with httpx.AsyncClient(transport=transport) as client:
            await load_tool.submit(client, 'http://a/', arrival, 0, metrics)

    anyio.run(ask)
    assert {name: getattr(metrics, name)['sort'] for name in counted} == counted
