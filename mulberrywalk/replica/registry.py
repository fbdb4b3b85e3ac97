"""Registration of polled targets by their heartbeats to the leader.

A heartbeat that changes nothing is acknowledged at once; one that changes the
state is acknowledged when its event is committed.
"""

from __future__ import annotations

import anyio

from ..core import event, identity, outcome
from . import engine

# How long after its deregistration a target may still run something.
_DEREGISTER_DELAY_S = 0.5


class Registry:
    """Opens and ends the sessions of polled targets."""

    def __init__(self, replica_engine: engine.Engine) -> None:
        """Start with no heartbeats received."""
        self._engine = replica_engine
        # The incarnation and sequence number of the newest heartbeat of each
        # target.
        self._latest: dict[identity.TargetId, tuple[int, int]] = {}

    def reset(self) -> None:
        """Forget the heartbeats received during an earlier term."""
        self._latest.clear()

    async def process_heartbeat(
        self, heartbeat: event.TargetHeartbeat
    ) -> outcome.Outcome | None:
        """Record a heartbeat and return the outcome.

        Returns None when this replica cannot tell whether the event was
        committed. A heartbeat with an unknown pool, or one older than the
        newest of its target, is acknowledged and changes nothing.
        """
        if self.has_unknown_pool(heartbeat) or self._is_outdated(heartbeat):
            return outcome.Recorded()
        announcement = heartbeat.announcement
        record = self._engine.tables.targets.get(announcement.target)
        session = self._find_session(announcement)
        if record is not None and session is not None:
            if not heartbeat.is_leaving or record.is_leaving:
                return outcome.Recorded()
            return await self._engine.propose_and_wait(
                event.DepartureAnnounced(
                    self._engine.time(), session, heartbeat.remaining_ms
                )
            )
        if heartbeat.is_leaving:
            return outcome.Recorded()
        return await self._engine.propose_and_wait(
            event.SessionOpened(self._engine.time(), announcement)
        )

    def has_unknown_pool(self, heartbeat: event.TargetHeartbeat) -> bool:
        """Return whether a new incarnation names an unknown pool.

        Such a heartbeat is from a foreign sender, or its pool is not
        configured yet; the target then sends another one later. A pool that is
        no longer configured is known while jobs need it, and every pool is
        known while none is configured.
        """
        tables = self._engine.tables
        routing = tables.configuration.routing
        pool = heartbeat.announcement.pool
        pool_names = {terms.name for terms in routing.pools}
        if not pool_names or pool in pool_names:
            return False
        if self._find_session(heartbeat.announcement) is not None:
            return False
        specifications = (
            record.specification for record in tables.jobs.values()
        )
        return all(needed.pool != pool for needed in specifications)

    async def deregister(
        self, target: identity.TargetId, born_at: int = 0
    ) -> outcome.Outcome | None:
        """End the session of a target that was leaving and has now gone.

        born_at names the incarnation, zero if the call doesn't tell it.
        Nothing changes for a target that is not leaving or for another
        incarnation: the call may be a delayed one of an earlier one.
        """
        tables = self._engine.tables
        record = tables.targets.get(target)
        if record is None or not record.is_leaving or record.session is None:
            return outcome.Recorded()
        session = record.session
        if born_at not in {0, tables.sessions[session].born_at}:
            return outcome.Recorded()
        await anyio.sleep(_DEREGISTER_DELAY_S)
        return await self._engine.propose_and_wait(
            event.SessionExpired(self._engine.time(), session)
        )

    def _find_session(
        self, announcement: event.Announcement
    ) -> identity.SessionId | None:
        """Return the session of the announced incarnation, or None."""
        tables = self._engine.tables
        record = tables.targets.get(announcement.target)
        if record is None or record.session is None:
            return None
        current_session = tables.sessions[record.session]
        return (
            record.session
            if current_session.nonce == announcement.nonce
            else None
        )

    def _is_outdated(self, heartbeat: event.TargetHeartbeat) -> bool:
        announcement = heartbeat.announcement
        version = (announcement.born_at, heartbeat.sequence)
        if version < self._latest.get(announcement.target, version):
            return True
        self._latest[announcement.target] = version
        return False
