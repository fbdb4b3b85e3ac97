"""Polls addresses for the leader, to tell which process runs there."""

from __future__ import annotations

import anyio
from anyio.abc import TaskGroup

from ..transport import wire
from . import target_client, upstream

_MAX_CONCURRENT_POLLS = 16


class Identifier:
    """Answers the leader's requests to identify processes of targets."""

    def __init__(
        self, client: target_client.TargetClient, leader: upstream.Upstream
    ) -> None:
        """Register as the handler of the leader's requests."""
        self._client = client
        self._leader = leader
        self._limit = anyio.CapacityLimiter(_MAX_CONCURRENT_POLLS)
        self._group: TaskGroup | None = None
        leader.register(wire.IdentityRequest, self.identify)

    async def run(self) -> None:
        """Carry out the polls until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    def identify(self, wanted: wire.IdentityRequest) -> None:
        """Poll an address, and send the leader what has answered."""
        if self._group is not None:
            self._group.start_soon(self._identify, wanted)

    async def _identify(self, wanted: wire.IdentityRequest) -> None:
        destination = target_client.Destination(
            wanted.target, wanted.address, wanted.born_at
        )
        async with self._limit:
            found = await self._client.identify(destination, wanted.term)
        self._leader.send(
            wire.IdentityResult(
                wanted.number, _is_running(found, wanted.born_at)
            )
        )


def _is_running(
    found: target_client.PollResult | target_client.CallResult, born_at: int
) -> bool | None:
    """Return whether the process has answered, None if that is not known."""
    if isinstance(found, target_client.PollResult):
        return found.born_at == born_at
    is_other = found is target_client.CallResult.WRONG_INCARNATION
    return False if is_other else None
