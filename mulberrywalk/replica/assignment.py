"""Which entry calls which target, of those that do not dial in.

Not replicated: each entry tells a new leader what it carries and goes on with
it, so that nothing moves for the change of leaders alone. What no entry claims
is spread over those that are linked by then.
"""

from __future__ import annotations

import collections

from ..core import identity, target
from ..telemetry import journal
from ..transport import wire
from . import delivery, engine, lease, link

# A target that has not answered its entry for so long is given to another.
_SILENCE_MS = 2500
_MUTE_MS = 2 * _SILENCE_MS
# For how long a new leader leaves targets to the entries that carry them.
CLAIM_GRACE_MS = 600
# Beyond an even share by half and this many, an entry gives targets away.
_UNEVEN = 2
_MOVES_AT_ONCE = 8


class Assignments:
    """The calling entries of all sessions while this replica leads.

    Times are milliseconds of this process's monotonic clock.
    """

    def __init__(
        self,
        running: engine.Engine,
        links: link.Links,
        leases: lease.Leases,
        commands: delivery.Delivery,
        lines: journal.Journal,
        now: int,
    ) -> None:
        """Start with nothing assigned, at the beginning of a term."""
        self._engine = running
        self._links = links
        self._leases = leases
        self._delivery = commands
        self._journal = lines
        self._assigned_at: dict[identity.SessionId, int] = {}
        self._unclaimed = set(running.tables.sessions)
        self._claimed_by = now + CLAIM_GRACE_MS
        # Entries that could not reach a target, and until when they count so.
        self._mute: dict[str, int] = {}

    def accept_claim(
        self, session: identity.SessionId, entry: link.Link, now: int
    ) -> bool:
        """Return whether an entry goes on calling a target that it carries.

        It does not when the session has ended, is another entry's by now, or
        the entry is stopping.
        """
        known = self._engine.tables.sessions.get(session)
        is_free = session not in self._assigned_at
        is_own = self._leases.entry_of(session) == entry.process
        if known is None or entry.is_stopping or not (is_free or is_own):
            return False
        self._give(known, entry, now)
        return True

    def resend_missing(
        self,
        entry: link.Link,
        carried: tuple[identity.SessionId, ...],
        now: int,
    ) -> None:
        """Assign what an entry has and does not know of, as it links again."""
        known = set(carried)
        lost = [
            session
            for name in self._assigned_at
            if name not in known
            and self._leases.entry_of(name) == entry.process
            and (session := self._engine.tables.sessions.get(name)) is not None
        ]
        for session in lost:
            self._give(session, entry, now)

    def rebalance(self, now: int) -> None:
        """Assign the sessions whose entry is gone, stopping or unanswered."""
        if not self._takers():
            self._await_claims(now)
        if now >= self._claimed_by:
            self._unclaimed.clear()
        sessions = self._engine.tables.sessions
        self._assigned_at = {
            name: assigned_at
            for name, assigned_at in self._assigned_at.items()
            if name in sessions
        }
        counts = self.count_by_entry()
        given: collections.Counter[str] = collections.Counter()
        for session in list(sessions.values()):
            if self._needs_entry(session, now):
                given[self._assign(session, counts, now)] += 1
        given.update(self._even_out(counts, now))
        given.pop('', None)
        for entry, number in sorted(given.items()):
            self._journal.record(
                'targets assigned', f'{number} to {entry}, {counts[entry]} now'
            )

    def count_by_entry(self) -> collections.Counter[str]:
        """Return how many targets each entry is to call."""
        return collections.Counter(
            self._leases.entry_of(one) for one in self._assigned_at
        )

    def may_renew(self, session: identity.SessionId, entry: str) -> bool:
        """Return whether an entry may renew a session.

        Only the assigned one may, of a target that is called.
        """
        known = self._engine.tables.sessions.get(session)
        if known is None or not known.born_at:
            return True
        return self._leases.entry_of(session) == entry

    def _await_claims(self, now: int) -> None:
        """Leave all targets to those who carry them, from the next link on."""
        self._unclaimed.update(self._assigned_at)
        self._assigned_at.clear()
        self._claimed_by = now + CLAIM_GRACE_MS

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
        is_unanswered = now - heard_at > _SILENCE_MS
        if is_unanswered:
            self._mute[assigned.process] = now + _MUTE_MS
        return is_unanswered

    def _assign(
        self,
        session: target.Session,
        counts: collections.Counter[str],
        now: int,
    ) -> str:
        """Return the entry that is to call the target now, or nothing."""
        entry = self._choose(session, counts, now)
        if entry is None:
            return ''
        if session.session in self._assigned_at:
            counts[self._leases.entry_of(session.session)] -= 1
        counts[entry.process] += 1
        self._give(session, entry, now)
        return entry.process

    def _give(
        self, session: target.Session, entry: link.Link, now: int
    ) -> None:
        self._unclaimed.discard(session.session)
        self._assigned_at[session.session] = now
        before = self._leases.entry_of(session.session)
        if before != entry.process:
            self._links.send(before, wire.EndedSessions((session.session,)))
        self._leases.assign(session.session, entry.process)
        entry.send(self._message(session))
        self._delivery.resend_session(session.session, now)

    def _even_out(
        self, counts: collections.Counter[str], now: int
    ) -> collections.Counter[str]:
        """Move some targets of an entry that has far more than its share.

        Returns how many each entry was given.
        """
        given: collections.Counter[str] = collections.Counter()
        most = self._most()
        if max(counts.values(), default=0) <= most:
            return given
        crowded = [
            session
            for name in self._assigned_at
            if counts[self._leases.entry_of(name)] > most
            and (session := self._engine.tables.sessions.get(name)) is not None
        ]
        for session in crowded[:_MOVES_AT_ONCE]:
            left = self._leases.entry_of(session.session)
            if counts[left] > most:
                given[self._assign(session, counts, now)] += 1
        return given

    def _most(self) -> int:
        """Return how many targets one entry may have before it gives away."""
        entries = self._takers()
        if not entries:
            return len(self._assigned_at)
        share = -(-len(self._assigned_at) // len(entries))
        return share + share // 2 + _UNEVEN

    def _takers(self) -> list[link.Link]:
        return [one for one in self._links.open.values() if not one.is_stopping]

    def _choose(
        self,
        session: target.Session,
        counts: collections.Counter[str],
        now: int,
    ) -> link.Link | None:
        """Return the entry with the fewest targets, a near one first.

        One that has far more than its share is not near to anything, and one
        that lately reached no target comes last.
        """
        tables = self._engine.tables
        place = tables.targets[session.target].data_centre
        present = self._leases.entry_of(session.session)
        most = self._most()
        return min(
            self._takers(),
            key=lambda one: (
                one.process == present,
                self._mute.get(one.process, 0) > now,
                counts[one.process] >= most,
                one.data_centre != place,
                counts[one.process],
                one.process,
            ),
            default=None,
        )

    def _message(self, session: target.Session) -> wire.Assignment:
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
        )
