"""The HTTP server of the control interface and the metrics.

Loading it takes about a fifth of the time that a replica needs to start, so
that the replica loads it when it runs.
"""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from hypercorn import asyncio as hypercorn_server
from hypercorn import config as hypercorn_config

from ..replica import program
from ..telemetry import journal, retry
from . import control_api, http, setting

# The lease as a fraction of maxHoldMs. It is long enough for all replicas to
# fail at once and restart, and short enough that the tasks of a lost worker are
# soon run again.
_LEASE_FRACTION = 0.55


async def run(
    settings: setting.Settings, components: program.ReplicaComponents
) -> None:
    """Serve the control interface and the metrics until cancelled."""
    address = settings.bind_addrs.control
    lease_ms = int(settings.bounds.max_hold_ms * _LEASE_FRACTION)
    api = control_api.ControlApi(components, address, lease_ms)

    async def serve(
        scope: dict[str, Any], receive: http.Receive, send: http.Send
    ) -> None:
        if scope['type'] == 'lifespan':
            await http.handle_lifespan(receive, send)
        elif scope['server'][1] == http.METRICS_PORT:
            await http.write_text(send, components.metrics.render())
        elif scope['type'] == 'http':
            await api.serve(scope, receive, send)

    config = hypercorn_config.Config()
    config.bind = [address, settings.metrics_address()]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.2
    stop = anyio.Event()

    async def serve_until_stopped() -> None:
        if not stop.is_set():
            await hypercorn_server.serve(
                serve,  # type: ignore[arg-type]
                config,
                shutdown_trigger=stop.wait,
            )

    async with anyio.create_task_group() as group:
        group.start_soon(_run_shielded, components.logger, serve_until_stopped)
        with contextlib.ExitStack() as stack:
            stack.callback(stop.set)
            await anyio.sleep_forever()


async def _run_shielded(
    event_log: journal.Journal,
    serve_until_stopped: Callable[[], Awaitable[None]],
) -> None:
    """Serve until the trigger is set; a cancelled server raises an error."""
    with anyio.CancelScope(shield=True):
        await retry.until_done(
            event_log, 'control interface', serve_until_stopped
        )
