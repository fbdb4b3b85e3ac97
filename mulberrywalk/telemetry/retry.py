"""Repeats what the environment refuses, so that no refusal ends a process."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
from anyio.to_thread import run_sync

from . import journal

DELAY_S = 0.2

Returned = TypeVar('Returned')


async def until_done(
    event_log: journal.Journal,
    what: str,
    operation: Callable[[], Awaitable[Returned]],
) -> Returned:
    """Run an operation again after each OSError, and log its reason.

    what names the operation in the log. All other errors are raised.
    """
    while True:
        try:
            return await operation()
        except OSError as error:
            event_log.warn(f'{what}: refused, trying again', str(error))
        await anyio.sleep(DELAY_S)


async def in_thread(
    event_log: journal.Journal,
    what: str,
    operation: Callable[..., Returned],
    *arguments: object,
) -> Returned:
    """Run a blocking operation in a thread again after each OSError."""
    return await until_done(
        event_log, what, lambda: run_sync(operation, *arguments)
    )
