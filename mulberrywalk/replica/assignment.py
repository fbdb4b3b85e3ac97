"""Assignment of polled targets to entries.

A polled target does not connect to an entry; an entry calls it. The
assignments are not replicated: each entry reports the sessions it serves to a
new leader and keeps them, so that a change of leader alone moves no target.
Sessions that no entry claims are spread over the entries linked by then.
"""

from __future__ import annotations

import collections

from ..core import identity, target
from ..telemetry import journal
from ..transport import region, wire
from . import delivery, engine, entry_choice, lease, link, target_move

# A target that has not answered its entry for this long is reassigned.
_UNANSWERED_TIMEOUT_MS = 2500
_AVOID_ENTRY_MS = 2 * _UNANSWERED_TIMEOUT_MS
# How long a new leader waits for entries to claim the sessions they serve.
CLAIM_GRACE_MS = 600
_MAX_MOVES_PER_ROUND = 8


class Assignments:
    """Assigns the polled targets to entries while this replica leads.

    Times are milliseconds of this process's monotonic clock.
    """

    def __init__(
        self,
        replica_engine: engine.Engine,
        links: link.Links,
        leases: lease.Leases,
        command_delivery: delivery.Delivery,
        logger: journal.Journal,
        now: int,
        regions: region.Regions = region.ONE_REGION,
    ) -> None:
        """Start with no assignments, at the beginning of a term."""
        self._engine = replica_engine
        self._links = links
        self._leases = leases
        self._delivery = command_delivery
        self._journal = logger
        self._assigned_at: dict[identity.SessionId, int] = {}
        # The number of the latest assignment of each session in this term.
        self._numbers: dict[identity.SessionId, int] = {}
        self._last_number = 0
        # Sessions that entries had in earlier terms.
        self._inherited = frozenset(replica_engine.tables.sessions)
        self._unclaimed = set(self._inherited)
        self._claims_end_at = now + CLAIM_GRACE_MS
        self._choice = entry_choice.EntryChoice(links, regions)
        self._planner = target_move.MovePlanner(self._choice, links, now)

    def accept_claim(
        self, session: identity.SessionId, entry: link.Link, now: int
    ) -> bool:
        """Assign a session to an entry that already serves it.

        Returns False, and assigns nothing, when the session has ended or is
        assigned to another entry, or when the entry is stopping.
        """
        known = self._engine.tables.sessions.get(session)
        is_unassigned = session not in self._assigned_at
        is_assigned_here = self._leases.entry_of(session) == entry.process
        if (
            known is None
            or entry.is_stopping
            or not (is_unassigned or is_assigned_here)
        ):
            return False
        self._assign_to(known, entry, now)
        return True

    def resend_missing(
        self,
        entry: link.Link,
        listed: tuple[identity.SessionId, ...],
        now: int,
    ) -> None:
        """Resend the assignments that a reconnected entry does not list."""
        listed_sessions = set(listed)
        unlisted = [
            session
            for name in self._assigned_at
            if name not in listed_sessions
            and self._leases.entry_of(name) == entry.process
            and (session := self._engine.tables.sessions.get(name)) is not None
        ]
        for session in unlisted:
            self._assign_to(session, entry, now)

    def rebalance(self, now: int) -> None:
        """Assign sessions that have no working entry, and even out the load.

        An entry does not work when it is disconnected or stopping, or when
        the target has not answered it.
        """
        if not self._choice.available():
            self._await_claims(now)
        if now >= self._claims_end_at:
            self._unclaimed.clear()
        sessions = self._engine.tables.sessions
        self._assigned_at = {
            name: assigned_at
            for name, assigned_at in self._assigned_at.items()
            if name in sessions
        }
        for name in self._numbers.keys() - sessions.keys():
            self._numbers.pop(name)
        counts = self.count_by_entry()
        self._choice.update(counts, self._locate_unlinked(counts), now)
        given: collections.Counter[str] = collections.Counter()
        for session in list(sessions.values()):
            if self._needs_entry(session, now):
                given[self._assign(session, counts, now)] += 1
        given.update(self._move_from_overloaded(counts, now))
        given.update(self._make_planned_moves(counts, now))
        given.pop('', None)
        for entry, number in sorted(given.items()):
            self._journal.record(
                'targets assigned', f'{number} to {entry}, {counts[entry]} now'
            )

    def count_by_entry(self) -> collections.Counter[str]:
        """Return the number of targets assigned to each entry."""
        return collections.Counter(
            self._leases.entry_of(session) for session in self._assigned_at
        )

    def may_renew(self, session: identity.SessionId, entry: str) -> bool:
        """Return whether an entry may renew a session.

        The session of a polled target is renewed only by its assigned entry,
        any other session by every entry.
        """
        known = self._engine.tables.sessions.get(session)
        if known is None or not known.born_at:
            return True
        return self._leases.entry_of(session) == entry

    def is_current(
        self, session: identity.SessionId, entry: str, number: tuple[int, int]
    ) -> bool:
        """Return whether the latest assignment is the given one.

        number is the leader's term and the number within the term.
        """
        latest = self._engine.node.term, self._numbers.get(session, 0)
        return number == latest and self._leases.entry_of(session) == entry

    def _await_claims(self, now: int) -> None:
        """Unassign all sessions; entries may claim them when they reconnect."""
        self._unclaimed.update(self._assigned_at)
        self._assigned_at.clear()
        self._claims_end_at = now + CLAIM_GRACE_MS

    def _needs_entry(self, session: target.Session, now: int) -> bool:
        if not session.born_at:
            return False
        assigned_at = self._assigned_at.get(session.session)
        if assigned_at is None:
            return session.session not in self._unclaimed
        assigned = self._links.open.get(self._leases.entry_of(session.session))
        if assigned is None or assigned.is_stopping:
            return True
        heard_at = max(self._leases.renewed_at(session.session), assigned_at)
        is_unanswered = now - heard_at > _UNANSWERED_TIMEOUT_MS
        if is_unanswered:
            self._choice.avoid(assigned.process, now + _AVOID_ENTRY_MS)
        return is_unanswered

    def _assign(
        self,
        session: target.Session,
        counts: collections.Counter[str],
        now: int,
    ) -> str:
        """Assign a session to an entry; return its name, or an empty string."""
        present_entry = self._leases.entry_of(session.session)
        entry = self._choice.choose(
            self._location_of(session.session), present_entry, counts, now
        )
        if entry is None:
            return ''
        self._move(session, entry, counts, now)
        return entry.process

    def _move(
        self,
        session: target.Session,
        entry: link.Link,
        counts: collections.Counter[str],
        now: int,
    ) -> None:
        if session.session in self._assigned_at:
            counts[self._leases.entry_of(session.session)] -= 1
        counts[entry.process] += 1
        self._assign_to(session, entry, now)

    def _assign_to(
        self, session: target.Session, entry: link.Link, now: int
    ) -> None:
        self._unclaimed.discard(session.session)
        polled_from = (
            self._polled_from(session.session)
            if session.session in self._assigned_at
            else None
        )
        self._choice.count_move(polled_from, entry.data_centre)
        self._assigned_at[session.session] = now
        before = self._leases.entry_of(session.session)
        if before != entry.process:
            self._links.send(before, wire.EndedSessions((session.session,)))
        self._leases.assign(session.session, entry.process)
        is_first = not (
            session.session in self._inherited
            or session.session in self._numbers
        )
        self._last_number += 1
        self._numbers[session.session] = self._last_number
        entry.send(self._assignment_message(session, is_first=is_first))
        self._delivery.resend_session(session.session, now)

    def _move_from_overloaded(
        self, counts: collections.Counter[str], now: int
    ) -> collections.Counter[str]:
        """Move some targets away from overloaded entries.

        Returns the number of targets that each entry gained.
        """
        given: collections.Counter[str] = collections.Counter()
        overloaded = self._choice.find_overloaded(counts)
        if not overloaded:
            return given
        candidates = [
            session
            for name in self._assigned_at
            if self._leases.entry_of(name) in overloaded
            and (session := self._engine.tables.sessions.get(name)) is not None
        ]
        for session in candidates[:_MAX_MOVES_PER_ROUND]:
            name = session.session
            previous = self._leases.entry_of(name)
            if previous not in self._choice.find_overloaded(counts):
                continue
            location = self._location_of(name)
            chosen = self._choice.choose(location, previous, counts, now)
            if chosen is not None and not self._leaves_region(name, chosen):
                self._move(session, chosen, counts, now)
                given[chosen.process] += 1
        return given

    def _leaves_region(
        self, name: identity.SessionId, chosen: link.Link
    ) -> bool:
        """Return whether a move takes a target out of its region."""
        location = self._location_of(name)
        present = self._links.open[self._leases.entry_of(name)]
        farthest = region.Distance.OTHER_REGION
        if self._choice.distance(location, chosen) is not farthest:
            return False
        return self._choice.distance(location, present) is not farthest

    def _make_planned_moves(
        self, counts: collections.Counter[str], now: int
    ) -> collections.Counter[str]:
        """Move targets to nearer or less loaded entries.

        Returns the number of targets that each entry gained.
        """
        given: collections.Counter[str] = collections.Counter()
        if not self._planner.is_due(now):
            return given
        sessions = self._engine.tables.sessions
        for move in self._planner.plan(self._list_polled(), counts, now):
            self._move(sessions[move.session], move.entry, counts, now)
            given[move.entry.process] += 1
        return given

    def _list_polled(self) -> list[target_move.PolledTarget]:
        links = self._links.open
        return [
            target_move.PolledTarget(session, self._location_of(session), entry)
            for session in self._assigned_at
            if (entry := links.get(self._leases.entry_of(session))) is not None
        ]

    def _locate_unlinked(self, counts: collections.Counter[str]) -> list[str]:
        """Return the data centre of each target whose entry has no link."""
        if counts.keys() <= self._links.open.keys():
            return []
        return [
            self._location_of(name)
            for name in self._assigned_at
            if self._leases.entry_of(name) not in self._links.open
        ]

    def _polled_from(self, name: identity.SessionId) -> str:
        """Return the data centre of a session's entry, or of its target."""
        entry = self._links.open.get(self._leases.entry_of(name))
        return entry.data_centre if entry else self._location_of(name)

    def _location_of(self, name: identity.SessionId) -> str:
        """Return the data centre of a session's target."""
        tables = self._engine.tables
        return tables.targets[tables.sessions[name].target].data_centre

    def _assignment_message(
        self, session: target.Session, *, is_first: bool
    ) -> wire.Assignment:
        tables = self._engine.tables
        record = tables.targets[session.target]
        attempts = (
            tables.attempts[name]
            for name in sorted(
                tables.attempts_by_session.get(session.session, ())
            )
        )
        commands = [
            delivery.start_command(tables, attempt) for attempt in attempts
        ]
        return wire.Assignment(
            session=session.session,
            target=session.target,
            address=record.address,
            born_at=session.born_at,
            term=self._engine.node.term,
            lease_ms=session.lease_ms,
            shares=tuple(
                wire.AttemptSharing(
                    command.attempt,
                    command.latency_target_ms,
                    command.is_filler,
                )
                for command in commands
            ),
            number=self._numbers[session.session],
            is_first=is_first,
        )
