"""Stops of attempts on one target, repeated until the target handles them.

A call without a reply may have been lost, and an unhealthy target may refuse
one; the attempt goes on meanwhile.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

import anyio

from ..core import identity
from ..telemetry import clock
from . import call_log, target_client

# Results after which the attempt may go on.
_UNSETTLED = frozenset(
    (target_client.CallResult.NO_REPLY, target_client.CallResult.UNHEALTHY)
)
# The first calls follow each other at once.
_PROMPT_TRIES = 3
# Then the delay grows from the first to the last of these.
_FIRST_DELAY_S = 0.15
_LAST_DELAY_S = 0.3


class PendingStops:
    """The attempts on one target whose stops it has not handled yet."""

    def __init__(
        self,
        client: target_client.TargetClient,
        destination: target_client.Destination,
        call_limit: anyio.CapacityLimiter,
        log: call_log.CallLog,
    ) -> None:
        """Start without stops; call_limit is shared by all calls."""
        self._client = client
        self._destination = destination
        self._call_limit = call_limit
        self._log = log
        self._attempts: set[identity.AttemptId] = set()

    def add(self, attempt: identity.AttemptId) -> bool:
        """Add an attempt; return whether its stop is not under way yet."""
        is_new = attempt not in self._attempts
        self._attempts.add(attempt)
        return is_new

    def remove(self, attempt: identity.AttemptId) -> None:
        """Stop repeating the stop of an attempt whose end is recorded."""
        self._attempts.discard(attempt)

    async def send(
        self, attempt: identity.AttemptId, read_term: Callable[[], int]
    ) -> target_client.CallResult:
        """Send the stop of an added attempt until the target has handled it.

        read_term returns the term of the leader at the time of each call.
        Returns the result of the last call.
        """
        received_at = clock.monotonic_ms()
        for tries in itertools.count(1):
            async with self._call_limit:
                term = read_term()
                call_result = await self._client.stop(
                    self._destination, attempt, term
                )
            self._log.record_call('stop', call_result, attempt, received_at)
            is_outdated = (
                call_result is target_client.CallResult.FENCED
                and term < read_term()
            )
            is_unsettled = is_outdated or call_result in _UNSETTLED
            if not (is_unsettled and attempt in self._attempts):
                break
            if tries >= _PROMPT_TRIES:
                repeats = tries - _PROMPT_TRIES + 1
                delay_s = min(repeats * _FIRST_DELAY_S, _LAST_DELAY_S)
                await anyio.sleep(delay_s)
        self._attempts.discard(attempt)
        return call_result
