"""Registration of polled targets by their heartbeats to the leader.

A heartbeat that changes nothing is acknowledged at once; one that changes the
state is acknowledged when its event is committed.
"""

from __future__ import annotations

import anyio

from ..core import departure, event, identity, outcome, session
from ..core import target as target_records
from ..telemetry import clock
from . import engine, identification, proposal

# From the round in which attempts are stopped until their target has listed
# the ends, beyond the time that the target takes to stop them.
STOP_DELAY_MS = 300
_CHECK_INTERVAL_S = 0.02
# Every attempt is stopped that would not end at once.
_NO_TIME_MS = 0


class Registry:
    """Opens and ends the sessions of polled targets."""

    def __init__(
        self,
        replica_engine: engine.Engine,
        identifications: identification.Identification,
    ) -> None:
        """Start with no heartbeats received."""
        self._engine = replica_engine
        self._identification = identifications
        # The incarnation and sequence number of the newest heartbeat of each
        # target that had a session.
        self._latest: dict[identity.TargetId, tuple[int, int]] = {}
        # When to stop what the targets that leave still run.
        self._stop_at: dict[identity.SessionId, int] = {}

    def reset(self) -> None:
        """Forget what was received during an earlier term.

        Targets that leave tell their remaining time again.
        """
        self._latest.clear()
        self._stop_at.clear()

    async def process_heartbeat(
        self, heartbeat: event.TargetHeartbeat
    ) -> outcome.Outcome | None:
        """Record a heartbeat and return the outcome.

        Returns None when this replica cannot tell whether the event was
        committed. A heartbeat with an unknown pool is acknowledged and changes
        nothing. One that contradicts what is known opens a session only if its
        sender answers at its address: it may be late, or from another writer.
        """
        announcement = heartbeat.announcement
        known = self._find_session(announcement)
        if known is not None:
            return await self._process_known(known, heartbeat)
        if heartbeat.is_leaving:
            return await self._process_leaving(heartbeat)
        if self.has_unknown_pool(heartbeat):
            return outcome.Recorded()
        refusal = departure.find_refusal(
            self._engine.tables, announcement, heartbeat.sequence
        )
        if refusal is not None:
            return refusal
        if self._is_contradicting(heartbeat):
            opened = await self._identification.open_session(
                announcement, heartbeat.sequence
            )
        else:
            opened = await self._engine.propose_and_wait(
                event.SessionOpened(
                    self._engine.time(),
                    announcement,
                    sequence=heartbeat.sequence,
                )
            )
        if isinstance(opened, outcome.SessionGranted):
            self._latest[announcement.target] = _version_of(heartbeat)
        return opened

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
        self, target: identity.TargetId, born_at: int
    ) -> outcome.Outcome | None:
        """End the session of a target that leaves, once it runs nothing.

        What it still runs is stopped first. A target ends when this call is
        answered, or some seconds later without an answer, and works on until
        then: that it is not heard from does not show that it has ended. Its
        attempts have ended when it has listed their ends, or with its lease.
        The wait for this has no limit of its own.

        born_at names the incarnation, zero if the call doesn't tell it.
        Nothing changes for a target that is not leaving or for another
        incarnation: the call may be a delayed one of an earlier one. Returns
        None if this replica no longer leads.
        """
        leaving = self._find_leaving(target, born_at)
        if leaving is None:
            return outcome.Recorded()
        if self._has_attempts(leaving):
            self.stop_attempts(leaving)
        while self._has_attempts(leaving):
            if not self._engine.is_serving():
                return None
            await anyio.sleep(_CHECK_INTERVAL_S)
        return await self._engine.propose_and_wait(
            event.SessionExpired(self._engine.time(), leaving)
        )

    def take_ending(self, now: int) -> list[identity.SessionId]:
        """Return the sessions whose attempts have to be stopped now, once.

        Their targets may end soon after, as they have announced. An attempt
        that a target still runs when it ends is known to have ended only with
        the lease. now is a monotonic time in milliseconds.
        """
        ending = [name for name, at in self._stop_at.items() if at <= now]
        for ended in ending:
            self._stop_at.pop(ended)
        return list(filter(self._has_attempts, ending))

    def stop_attempts(self, leaving: identity.SessionId) -> None:
        """Stop all that a leaving target runs, so that it runs elsewhere."""
        self._engine.propose(
            event.DepartureAnnounced(self._engine.time(), leaving, _NO_TIME_MS),
            proposal.ignore_outcome,
        )

    async def _process_known(
        self, known: identity.SessionId, heartbeat: event.TargetHeartbeat
    ) -> outcome.Outcome | None:
        """Record a heartbeat of a process that has a session.

        A late one does no harm: nothing undoes a departure. One that describes
        the target differently is from another writer and changes nothing.
        """
        target = heartbeat.announcement.target
        record = self._engine.tables.targets[target]
        if not _describes(heartbeat.announcement, record):
            return outcome.NotRun(
                outcome.RefusalReason.FOREIGN_ANNOUNCEMENT,
                f'{target} has announced itself differently before',
            )
        version = _version_of(heartbeat)
        self._latest[target] = max(version, self._latest.get(target, version))
        self._schedule_stop(known, heartbeat)
        if record.is_leaving or not heartbeat.is_leaving:
            return outcome.Recorded()
        return await self._engine.propose_and_wait(
            event.DepartureAnnounced(
                self._engine.time(), known, heartbeat.remaining_ms
            )
        )

    async def _process_leaving(
        self, heartbeat: event.TargetHeartbeat
    ) -> outcome.Outcome | None:
        """Record that a process without a session leaves, once.

        An earlier heartbeat of it that arrives late then opens no session.
        """
        announcement = heartbeat.announcement
        if departure.is_recorded(self._engine.tables, announcement):
            return outcome.Recorded()
        return await self._engine.propose_and_wait(
            event.UnregisteredDeparture(
                self._engine.time(),
                announcement,
                heartbeat.sequence,
                heartbeat.remaining_ms,
            )
        )

    def _schedule_stop(
        self, known: identity.SessionId, heartbeat: event.TargetHeartbeat
    ) -> None:
        """Note when to stop what a leaving target runs, the earliest counts."""
        if not heartbeat.is_leaving or heartbeat.remaining_ms is None:
            return
        ends_at = clock.monotonic_ms() + heartbeat.remaining_ms
        stop_at = ends_at - heartbeat.stop_ms - STOP_DELAY_MS
        self._stop_at[known] = min(stop_at, self._stop_at.get(known, stop_at))

    def _has_attempts(self, name: identity.SessionId) -> bool:
        return bool(self._engine.tables.attempts_by_session.get(name))

    def _find_leaving(
        self, target: identity.TargetId, born_at: int
    ) -> identity.SessionId | None:
        """Return the session of an incarnation that leaves, or None."""
        tables = self._engine.tables
        record = tables.targets.get(target)
        if record is None or not record.is_leaving or record.session is None:
            return None
        is_meant = born_at in {0, tables.sessions[record.session].born_at}
        return record.session if is_meant else None

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

    def _is_contradicting(self, heartbeat: event.TargetHeartbeat) -> bool:
        """Return whether a heartbeat conflicts with a session or seems late."""
        announcement = heartbeat.announcement
        version = _version_of(heartbeat)
        tables = self._engine.tables
        return (
            version < self._latest.get(announcement.target, version)
            or departure.is_contradicted(tables, announcement)
            or bool(session.find_conflicting(tables, announcement))
        )


def _describes(
    announcement: event.Announcement, record: target_records.Target
) -> bool:
    """Return whether an announcement says the same as its process did before.

    What a process says of itself stays the same as long as it runs, but for
    its departure.
    """
    known = target_records.Description(
        record.address,
        record.pool,
        record.data_centre,
        record.labels,
        record.capacity,
    )
    return known == departure.describe(announcement)


def _version_of(heartbeat: event.TargetHeartbeat) -> tuple[int, int]:
    return heartbeat.announcement.born_at, heartbeat.sequence
