"""Finds out which process of a polled target runs at an address.

An announcement that conflicts with what is known of other processes shows only
that somebody has sent it. The announced process is polled at its address: if it
answers, no other one runs there any more, as only one can.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools

import anyio

from ..core import event, identity, outcome, session
from ..telemetry import clock, journal
from ..transport import wire
from . import engine, link

# Another entry polls the address when no answer has come for this long.
_RETRY_MS = 200
# A target that still runs announces itself again.
_TIMEOUT_MS = 3000
_MAX_CHECKS = 1000

_Key = tuple[identity.TargetId, str, int]


@dataclasses.dataclass(slots=True)
class _Check:
    """A check of one announced process.

    replaced holds the sessions that end if it answers; they were open before
    the first poll was sent. sequence is that of the newest heartbeat that
    announced it. asked counts the polls of each entry. Times are
    monotonic milliseconds.
    """

    number: int
    announcement: event.Announcement
    sequence: int
    replaced: frozenset[identity.SessionId]
    began_at: int
    asked_at: int = 0
    asked: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    found: outcome.Outcome | None = None
    is_proposed: bool = False


class Identification:
    """Opens sessions of processes that answer at their addresses."""

    def __init__(
        self,
        replica_engine: engine.Engine,
        links: link.Links,
        logger: journal.Journal,
    ) -> None:
        """Start without checks."""
        self._engine = replica_engine
        self._links = links
        self._journal = logger
        self._numbers = itertools.count(1)
        self._checks: dict[_Key, _Check] = {}

    def reset(self) -> None:
        """Abandon all checks, at the beginning of a term."""
        for check in list(self._checks.values()):
            self._finish(check, None)

    async def open_session(
        self, announcement: event.Announcement, sequence: int
    ) -> outcome.Outcome | None:
        """Open a session if the announced process answers at its address.

        Returns None if none of its entries could tell in time. The check goes
        on when the caller is cancelled; a repeated announcement joins it.
        sequence is that of the heartbeat.
        """
        key = _key_of(announcement)
        check = self._checks.get(key)
        if check is None:
            if len(self._checks) >= _MAX_CHECKS:
                return None
            check = self._begin(announcement, sequence)
        check.sequence = max(check.sequence, sequence)
        await check.done.wait()
        return check.found

    def receive(self, received: wire.IdentityResult) -> None:
        """Handle the answer of an entry; the first clear one decides."""
        check = self._find_open(received.number)
        if check is None or received.is_running is None:
            return
        if received.is_running:
            self._propose(check, 'answers')
        else:
            self._log(check, 'another process answers')
            address = check.announcement.address
            refused = outcome.NotRun(
                outcome.RefusalReason.SUPERSEDED_LIFE,
                f'another process runs at {address}',
            )
            self._finish(check, refused)

    def advance(self, now: int) -> None:
        """Ask other entries where none has answered; end checks that are old.

        now is a monotonic time in milliseconds.
        """
        for check in list(self._checks.values()):
            if not check.is_proposed:
                self._advance_one(check, now)

    def _advance_one(self, check: _Check, now: int) -> None:
        if now - check.began_at >= _TIMEOUT_MS:
            self._log(check, 'no answer')
            self._finish(check, None)
        elif check.replaced and not self._find_conflicting(check):
            self._propose(check, 'conflict has ended')
        elif now - check.asked_at >= _RETRY_MS:
            self._ask(check, now)

    def _find_open(self, number: int) -> _Check | None:
        """Return the check with a number, unless it has been decided."""
        for check in self._checks.values():
            if check.number == number and not check.is_proposed:
                return check
        return None

    def _begin(self, announcement: event.Announcement, sequence: int) -> _Check:
        now = clock.monotonic_ms()
        check = _Check(
            next(self._numbers),
            announcement,
            sequence,
            session.find_conflicting(self._engine.tables, announcement),
            now,
        )
        self._checks[_key_of(announcement)] = check
        self._log(check, f'conflicts with {len(check.replaced)} sessions')
        self._ask(check, now)
        return check

    def _ask(self, check: _Check, now: int) -> None:
        check.asked_at = now
        entry = self._choose_entry(check)
        if entry is None:
            return
        check.asked[entry.process] += 1
        entry.send(
            wire.IdentityRequest(
                check.number,
                check.announcement.target,
                check.announcement.address,
                check.announcement.born_at,
                self._engine.node.term,
            )
        )

    def _choose_entry(self, check: _Check) -> link.Link | None:
        """Return the entry asked least, one of the target's data centre first.

        Among equal ones, the entry with the fewest open checks is chosen.
        """
        data_centre = check.announcement.data_centre
        checks = self._checks.values()
        open_checks = collections.Counter(
            itertools.chain.from_iterable(one.asked for one in checks)
        )
        return min(
            self._links.open.values(),
            key=lambda entry: (
                entry.is_stopping,
                check.asked[entry.process],
                entry.data_centre != data_centre,
                open_checks[entry.process],
                entry.process,
            ),
            default=None,
        )

    def _propose(self, check: _Check, reason: str) -> None:
        self._log(check, reason)
        check.is_proposed = True
        self._engine.propose(
            event.SessionOpened(
                self._engine.time(),
                check.announcement,
                tuple(check.replaced),
                check.sequence,
            ),
            lambda opened: self._finish(check, opened),
        )

    def _find_conflicting(self, check: _Check) -> frozenset[identity.SessionId]:
        return session.find_conflicting(self._engine.tables, check.announcement)

    def _finish(self, check: _Check, found: outcome.Outcome | None) -> None:
        key = _key_of(check.announcement)
        if self._checks.get(key) is check:
            self._checks.pop(key)
        check.found = found
        check.done.set()

    def _log(self, check: _Check, what: str) -> None:
        announced = check.announcement
        elapsed_ms = clock.monotonic_ms() - check.began_at
        self._journal.record(
            'identity check',
            f'{what}: born at {announced.born_at}, {announced.address},'
            f' after_ms={elapsed_ms}',
            target=announced.target,
        )


def _key_of(announcement: event.Announcement) -> _Key:
    return announcement.target, announcement.address, announcement.born_at
