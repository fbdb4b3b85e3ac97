"""Records of cancels whose job is not known.

A caller that has had no answer to a submission may cancel the job through
another entry, and the cancel may be decided first. Its answer says that there
is no such job, which the caller takes as final. So the job must not be accepted
when the submission arrives, nor a copy of it.
"""

from __future__ import annotations

import collections
from typing import TypeAlias

import msgspec

from . import equal_share, identity, job

# A record is kept for as long as a copy of the submission may still arrive, and
# longer while there is room.
KEPT_AT_LEAST_MS = job.COPY_WINDOW_MS
KEPT_AT_MOST_MS = 600_000
# Pairs of a job and a team that has cancelled it.
MAX_RECORDS = 10_000


class EarlyCancellation(msgspec.Struct, frozen=True, gc=False):
    """Who has cancelled a job that was not known, and when last.

    The team is empty for a caller without one, None if it was not checked.
    """

    at: int
    teams: tuple[str | None, ...]


NamedCancellation: TypeAlias = tuple[identity.JobId, EarlyCancellation]


class EarlyCancellations:
    """All records, the oldest first, and their number by team."""

    def __init__(self) -> None:
        """Start with none."""
        self._records: dict[identity.JobId, EarlyCancellation] = {}
        self.counts: collections.Counter[str | None] = collections.Counter()

    def __len__(self) -> int:
        """Return the number of jobs with a record."""
        return len(self._records)

    def find_teams(self, name: identity.JobId) -> tuple[str | None, ...]:
        """Return the teams whose callers have cancelled a job."""
        record = self._records.get(name)
        return record.teams if record else ()

    def add(self, name: identity.JobId, team: str | None, now: int) -> bool:
        """Record a cancel; return False if there is no room for it.

        There is none while the team has its share of the records and none of
        all the records may be deleted yet.
        """
        teams = self.find_teams(name)
        if team not in teams:
            if not self._make_room(team, now):
                return False
            # Room may have been made by deleting the record of this job.
            teams = (*self.find_teams(name), team)
            self.counts[team] += 1
        self._store(name, EarlyCancellation(now, teams))
        return True

    def renew(self, name: identity.JobId, now: int) -> None:
        """Keep a record for as long as one that is made now."""
        teams = self.find_teams(name)
        self._store(name, EarlyCancellation(now, teams))

    def prune(self, now: int) -> None:
        """Delete the records that are older than the longest time."""
        while self._first_at(now) < now - KEPT_AT_MOST_MS:
            self._delete_first()

    def list_named(self) -> list[NamedCancellation]:
        """Return all records, the oldest first."""
        return list(self._records.items())

    def restore(self, records: list[NamedCancellation]) -> None:
        """Take in the records of a snapshot."""
        self._records = dict(records)
        self.counts = collections.Counter(
            team for _, record in records for team in record.teams
        )

    def _make_room(self, team: str | None, now: int) -> bool:
        oldest_kept = now - KEPT_AT_LEAST_MS
        while not equal_share.admits(self.counts, team, MAX_RECORDS):
            if self._first_at(now) >= oldest_kept:
                return False
            self._delete_first()
        return True

    def _first_at(self, now: int) -> int:
        """Return the time of the oldest record, now if there is none."""
        first = next(iter(self._records.values()), None)
        return now if first is None else first.at

    def _delete_first(self) -> None:
        deleted = self._records.pop(next(iter(self._records)))
        self.counts.subtract(deleted.teams)
        for team in deleted.teams:
            if not self.counts[team]:
                self.counts.pop(team)

    def _store(self, name: identity.JobId, record: EarlyCancellation) -> None:
        """Store a record behind all others, which are older."""
        self._records.pop(name, None)
        self._records[name] = record
