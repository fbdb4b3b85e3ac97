"""Registration of polled targets by their heartbeats to the leader.

A heartbeat that changes nothing is acknowledged at once; one that changes the
state is acknowledged when its event is committed.
"""

from __future__ import annotations

from collections.abc import Callable

from ..core import event, identity, outcome
from . import engine

# A target that works is heard from within the longest poll of a busy target
# and the time for its answer, as long as it can be reached.
GONE_MS = 900


class Registry:
    """Opens and ends the sessions of polled targets."""

    def __init__(self, replica_engine: engine.Engine) -> None:
        """Start with no heartbeats received."""
        self._engine = replica_engine
        # The incarnation and sequence number of the newest heartbeat of each
        # target.
        self._latest: dict[identity.TargetId, tuple[int, int]] = {}
        # The sessions that were deregistered, and when.
        self._deregistered: dict[identity.SessionId, int] = {}

    def reset(self) -> None:
        """Forget what was received during an earlier term.

        The leases of targets that have gone run out then.
        """
        self._latest.clear()
        self._deregistered.clear()

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

    def deregister(
        self, target: identity.TargetId, born_at: int, now: int
    ) -> outcome.Outcome:
        """Note that a target that was leaving ends.

        born_at names the incarnation, zero if the call doesn't tell it.
        Nothing changes for a target that is not leaving or for another
        incarnation: the call may be a delayed one of an earlier one. now is
        a monotonic time in milliseconds.
        """
        tables = self._engine.tables
        record = tables.targets.get(target)
        if record is None or not record.is_leaving or record.session is None:
            return outcome.Recorded()
        if born_at in {0, tables.sessions[record.session].born_at}:
            self._deregistered.setdefault(record.session, now)
        return outcome.Recorded()

    def take_gone(
        self, now: int, heard_at: Callable[[identity.SessionId], int]
    ) -> list[identity.SessionId]:
        """Return the deregistered sessions whose targets have ended, once.

        A target ends when its call is answered, or some seconds later if it
        gets no answer, and works on until then. heard_at returns when the
        target of a session was last heard from.
        """
        gone = [
            session
            for session, at in self._deregistered.items()
            if now - max(at, heard_at(session)) >= GONE_MS
        ]
        for session in gone:
            self._deregistered.pop(session)
        return gone

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
