"""The planned end of a replica: others take over its leadership and its vote.

Without this a voter that has ended counts until it has been silent for long,
and the loss of another one meanwhile leaves the cell without a quorum.
"""

from __future__ import annotations

import anyio
import msgspec

from ..consensus import node
from ..transport import admission, channel
from . import engine, membership

# A replica ends after this time, whether or not it is still a voter.
_TIMEOUT_S = 4.0
_POLL_INTERVAL_S = 0.05


class Retirement:
    """Gives up leadership and vote of this replica."""

    def __init__(
        self,
        replica_engine: engine.Engine,
        manager: membership.Manager,
        voter_count: int,
    ) -> None:
        """Prepare; voter_count is the least number of voters of the cell."""
        self._engine = replica_engine
        self._manager = manager
        self._voter_count = voter_count

    async def run(self) -> None:
        """Return when this replica may end, or after a timeout."""
        with anyio.move_on_after(_TIMEOUT_S):
            while not await self._may_end():
                await anyio.sleep(_POLL_INTERVAL_S)

    async def _may_end(self) -> bool:
        raft_node = self._engine.node
        if raft_node.role is node.Role.LEADER:
            self._engine.enqueue(node.HandoverProposed(self._manager.leaving()))
            return False
        # Without a replica beyond those that have to vote, none can succeed.
        if len(raft_node.membership.members) <= self._voter_count:
            return True
        leading = raft_node.leader
        member = raft_node.membership.find(leading) if leading else None
        return member is not None and await self._ask(member.address)

    async def _ask(self, address: str) -> bool:
        """Tell the leader that this replica ends; return whether it may."""
        request = admission.LeaveRequest(self._engine.node.identity)
        try:
            reply = await channel.call_decoded(
                address,
                channel.LEAVE,
                msgspec.msgpack.encode(request),
                admission.LeaveReply,
            )
        except ConnectionError:
            return False
        return reply.may_end
