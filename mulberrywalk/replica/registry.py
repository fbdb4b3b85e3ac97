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
_FAREWELL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
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

    async def announce(self, sighting: Sighting) -> outcome.Outcome | None:
        """Return the outcome, or None when it is open who leads."""
        if self._is_late(sighting):
            return outcome.Recorded()
        tables = self._engine.tables
        announcement = sighting.announcement
        record = tables.targets.get(announcement.target)
        session = record.session if record else None
        is_known = (
            session is not None
            and tables.sessions[session].nonce == announcement.nonce
        )
        if is_known and record is not None and session is not None:
            if not sighting.is_leaving or record.is_leaving:
                return outcome.Recorded()
            return await self._engine.decide(
                event.DepartureAnnounced(
                    self._engine.time(), session, sighting.remaining_ms
                )
            )
        if sighting.is_leaving:
            return outcome.Recorded()
        return await self._engine.decide(
            event.SessionOpened(self._engine.time(), announcement)
        )

    async def farewell(
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
        await anyio.sleep(_FAREWELL_S)
        return await self._engine.decide(
            event.SessionExpired(self._engine.time(), session)
        )

    def _is_late(self, sighting: Sighting) -> bool:
        announcement = sighting.announcement
        stamp = (announcement.born_at, sighting.sequence)
        if stamp < self._latest.get(announcement.target, stamp):
            return True
        self._latest[announcement.target] = stamp
        return False
