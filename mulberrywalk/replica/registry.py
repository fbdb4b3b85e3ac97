"""Targets that are called, as they announce themselves to the leader.

An announcement that changes nothing is acknowledged at once; one that does
is acknowledged when its event is committed.
"""

from __future__ import annotations

import dataclasses

import anyio

from ..core import event, identity, outcome
from . import engine

# How long after it took its leave a target may still run something.
_DEREGISTER_DELAY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class TargetHeartbeat:
    """One announcement; sequence counts those of the target's life.

    remaining_ms is for how long a leaving target stays at least.
    """

    announcement: event.Announcement
    sequence: int
    is_leaving: bool
    remaining_ms: int | None = None


class Registry:
    """Turns announcements into sessions and departures."""

    def __init__(self, running: engine.Engine) -> None:
        """Start without having heard of any target."""
        self._engine = running
        # The life and the sequence of the newest announcement of each target.
        self._latest: dict[identity.TargetId, tuple[int, int]] = {}

    def reset(self) -> None:
        """Forget what was heard under an earlier leader."""
        self._latest.clear()

    async def process_heartbeat(
        self, heartbeat: TargetHeartbeat
    ) -> outcome.Outcome | None:
        """Return the outcome, or None when it is open who leads.

        One that is foreign is acknowledged and changes nothing.
        """
        if self.has_unknown_pool(heartbeat) or self._is_late(heartbeat):
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

    def has_unknown_pool(self, heartbeat: TargetHeartbeat) -> bool:
        """Return whether a life that is not known names no known pool.

        It is of another writer, or of a pool that is yet to be configured, and
        will be announced again then. Jobs may need a pool that is configured
        no more.
        """
        tables = self._engine.tables
        routing = tables.configuration.routing
        pool = heartbeat.announcement.pool
        named = {one.name for one in routing.pools}
        if not named or pool in named:
            return False
        if self._find_session(heartbeat.announcement) is not None:
            return False
        specifications = (one.specification for one in tables.jobs.values())
        return all(one.pool != pool for one in specifications)

    async def deregister(
        self, target: identity.TargetId
    ) -> outcome.Outcome | None:
        """End the session of a target that was leaving and is gone now.

        One that had not announced its leave may be a late call of an
        earlier life, and proves nothing.
        """
        record = self._engine.tables.targets.get(target)
        if record is None or not record.is_leaving or record.session is None:
            return outcome.Recorded()
        session = record.session
        await anyio.sleep(_DEREGISTER_DELAY_S)
        return await self._engine.propose_and_wait(
            event.SessionExpired(self._engine.time(), session)
        )

    def _find_session(
        self, announcement: event.Announcement
    ) -> identity.SessionId | None:
        """Return the session of the life that announces itself, or None."""
        tables = self._engine.tables
        record = tables.targets.get(announcement.target)
        if record is None or record.session is None:
            return None
        known = tables.sessions[record.session]
        return record.session if known.nonce == announcement.nonce else None

    def _is_late(self, heartbeat: TargetHeartbeat) -> bool:
        announcement = heartbeat.announcement
        stamp = (announcement.born_at, heartbeat.sequence)
        if stamp < self._latest.get(announcement.target, stamp):
            return True
        self._latest[announcement.target] = stamp
        return False
