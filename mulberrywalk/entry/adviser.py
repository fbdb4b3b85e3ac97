"""Questions to the adviser, one at a time, for the leader."""

from __future__ import annotations

import abc
import collections

import anyio

from ..core import identity
from ..telemetry import clock, journal
from ..transport import wire
from . import upstream

# Beyond this a question is answered as failed, so that another entry asks.
_LONGEST_QUEUE = 24


class AdviserClient(abc.ABC):
    """Makes the calls to the adviser."""

    @abc.abstractmethod
    async def advise(
        self, step: identity.StepId, targets: tuple[identity.TargetId, ...]
    ) -> tuple[tuple[identity.TargetId, str], ...] | None:
        """Return allowed targets with their tickets, or None on failure."""


class AdviceQueue:
    """Asks the questions of the leader in turn."""

    def __init__(
        self,
        caller: AdviserClient,
        leader: upstream.Upstream,
        lines: journal.Journal,
    ) -> None:
        """Take over the leader's questions."""
        self._caller = caller
        self._leader = leader
        self._journal = lines
        self._wanted: collections.deque[wire.AdviceWanted] = collections.deque()
        self._filled = anyio.Event()
        leader.on_advice_wanted = self.enqueue

    def enqueue(self, wanted: wire.AdviceWanted) -> None:
        """Queue a question, or answer at once that it failed."""
        if len(self._wanted) >= _LONGEST_QUEUE:
            self._leader.send(wire.Advised(wanted.step, (), (), 0))
            return
        self._wanted.append(wanted)
        self._filled.set()

    async def run(self) -> None:
        """Ask one question after the other, for ever."""
        while True:
            if not self._wanted:
                self._filled = anyio.Event()
                await self._filled.wait()
            await self._ask(self._wanted.popleft())

    async def _ask(self, wanted: wire.AdviceWanted) -> None:
        asked_at = clock.monotonic_ms()
        allowed = await self._caller.advise(wanted.step, wanted.targets)
        age_ms = clock.monotonic_ms() - asked_at
        told = 'failed' if allowed is None else str(len(allowed))
        self._journal.record(
            'advice',
            f'{wanted.step}: {told} of {len(wanted.targets)} in {age_ms} ms',
            job=wanted.step.split('.')[0],
        )
        asked = () if allowed is None else wanted.targets
        # The tickets count from the answer, which came just now.
        self._leader.send(wire.Advised(wanted.step, asked, allowed or (), 0))
