"""The in-memory log of one replica, starting after its latest snapshot."""

from __future__ import annotations

import bisect
import dataclasses

import msgspec

from . import message


@dataclasses.dataclass(slots=True)
class Log:
    """Log entries that follow a snapshot; the first index is one."""

    snapshot_index: int
    snapshot_term: int
    snapshot_membership: message.Membership
    entries: list[message.LogEntry] = dataclasses.field(default_factory=list)
    # The indexes of the entries that change the membership, and the results.
    _change_indexes: list[int] = dataclasses.field(default_factory=list)
    _changed: list[message.Membership] = dataclasses.field(default_factory=list)

    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.snapshot_index + len(self.entries)

    def last_term(self) -> int:
        """Return the term of the last entry."""
        if self.entries:
            return self.entries[-1].term
        return self.snapshot_term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at index, or None if it is not held.

        The term of the snapshot is returned for the index of the snapshot.
        """
        if index == self.snapshot_index:
            return self.snapshot_term
        position = index - self.snapshot_index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def slice(self, first: int, limit: int) -> tuple[message.LogEntry, ...]:
        """Return at most limit entries starting at index first."""
        start = first - self.snapshot_index - 1
        return tuple(self.entries[start : start + limit])

    def append(self, entry: message.LogEntry) -> None:
        """Append an entry, whose index must follow the last one."""
        if entry.index != self.last_index() + 1:
            raise AssertionError(
                f'entry {entry.index} does not follow {self.last_index()}'
            )
        self.entries.append(entry)
        if entry.kind is message.EntryKind.MEMBERSHIP:
            self._change_indexes.append(entry.index)
            self._changed.append(
                msgspec.msgpack.decode(entry.payload, type=message.Membership)
            )

    def truncate(self, first: int) -> None:
        """Remove all entries from index first to the end."""
        kept_count = first - self.snapshot_index - 1
        # In place, because most calls remove nothing from a long log and a
        # slice would copy it.
        del self.entries[kept_count:]
        kept_changes = bisect.bisect_left(self._change_indexes, first)
        del self._change_indexes[kept_changes:]
        del self._changed[kept_changes:]

    def compact(self, index: int, membership: message.Membership) -> None:
        """Remove the entries up to index, which a snapshot covers.

        membership is the membership at that index.
        """
        term = self.term_at(index)
        if term is None:
            raise AssertionError(
                f'cannot compact to {index}: entry not in the log'
            )
        self.entries = self.entries[index - self.snapshot_index :]
        self.snapshot_index = index
        self.snapshot_term = term
        self.snapshot_membership = membership
        covered = bisect.bisect_right(self._change_indexes, index)
        del self._change_indexes[:covered]
        del self._changed[:covered]

    def membership_at(self, index: int) -> message.Membership:
        """Return the membership in effect at index."""
        changes = bisect.bisect_right(self._change_indexes, index)
        return (
            self._changed[changes - 1]
            if changes
            else (self.snapshot_membership)
        )
