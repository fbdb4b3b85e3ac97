"""Queues the leader's advice requests and sends them one at a time."""

from __future__ import annotations

import abc
import collections

import anyio

from ..core import identity
from ..telemetry import clock, journal
from ..transport import wire
from . import upstream

# Requests beyond this length are reported to the leader as failed at once, so
# that another entry asks the adviser.
_MAX_QUEUE_LENGTH = 24


class AdviserClient(abc.ABC):
    """A client of the adviser service."""

    @abc.abstractmethod
    async def advise(
        self, step: identity.StepId, targets: tuple[identity.TargetId, ...]
    ) -> tuple[tuple[identity.TargetId, str], ...] | None:
        """Return the allowed targets and their tickets, or None on failure."""


class AdviceQueue:
    """A bounded queue of advice requests, processed in order."""

    def __init__(
        self,
        client: AdviserClient,
        leader: upstream.Upstream,
        event_log: journal.Journal,
    ) -> None:
        """Register as the handler of the leader's advice requests."""
        self._client = client
        self._leader = leader
        self._event_log = event_log
        self._queue: collections.deque[wire.AdviceRequest] = collections.deque()
        self._available = anyio.Event()
        leader.register(wire.AdviceRequest, self.enqueue)

    def enqueue(self, wanted: wire.AdviceRequest) -> None:
        """Queue a request, or report it as failed when the queue is full."""
        if len(self._queue) >= _MAX_QUEUE_LENGTH:
            self._leader.send(wire.AdviceResult(wanted.step, (), (), 0))
            return
        self._queue.append(wanted)
        self._available.set()

    async def run(self) -> None:
        """Process the queue until cancelled."""
        while True:
            if not self._queue:
                self._available = anyio.Event()
                await self._available.wait()
            await self._ask(self._queue.popleft())

    async def _ask(self, wanted: wire.AdviceRequest) -> None:
        started_at = clock.monotonic_ms()
        allowed = await self._client.advise(wanted.step, wanted.targets)
        rtt_ms = clock.monotonic_ms() - started_at
        summary = 'failed' if allowed is None else str(len(allowed))
        self._event_log.record(
            'advice',
            f'{wanted.step}: {summary} of {len(wanted.targets)} in {rtt_ms} ms',
            job=wanted.step.split('.')[0],
        )
        queried = () if allowed is None else wanted.targets
        # Tickets are valid from the time of the answer, so their age is zero.
        self._leader.send(
            wire.AdviceResult(wanted.step, queried, allowed or (), 0)
        )
