"""The entries of one replica that follow its last snapshot, in memory."""

from __future__ import annotations

import dataclasses

import msgspec

from . import message


@dataclasses.dataclass(slots=True)
class Log:
    """Entries after a snapshot; indexes start at one."""

    snapshot_index: int
    snapshot_term: int
    snapshot_membership: message.Membership
    entries: list[message.LogEntry] = dataclasses.field(default_factory=list)

    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.snapshot_index + len(self.entries)

    def last_term(self) -> int:
        """Return the term of the last entry."""
        if self.entries:
            return self.entries[-1].term
        return self.snapshot_term

    def term_at(self, index: int) -> int | None:
        """Return the term at an index; None when it is not held."""
        if index == self.snapshot_index:
            return self.snapshot_term
        position = index - self.snapshot_index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def slice(self, first: int, limit: int) -> tuple[message.LogEntry, ...]:
        """Return at most limit entries from the index first on."""
        start = first - self.snapshot_index - 1
        return tuple(self.entries[start : start + limit])

    def append(self, entry: message.LogEntry) -> None:
        """Add the entry that follows the last one."""
        if entry.index != self.last_index() + 1:
            raise AssertionError(
                f'entry {entry.index} after {self.last_index()}'
            )
        self.entries.append(entry)

    def truncate(self, first: int) -> None:
        """Drop the entries from the index first on."""
        keep = first - self.snapshot_index - 1
        # In place: most calls drop nothing from a long log.
        del self.entries[keep:]

    def compact(self, index: int, membership: message.Membership) -> None:
        """Drop the entries up to an index that a snapshot covers."""
        term = self.term_at(index)
        if term is None:
            raise AssertionError(f'no entry {index} to compact to')
        self.entries = self.entries[index - self.snapshot_index :]
        self.snapshot_index = index
        self.snapshot_term = term
        self.snapshot_membership = membership

    def membership_at(self, index: int) -> message.Membership:
        """Return the latest membership at or before an index."""
        held = index - self.snapshot_index
        latest = next(
            (
                entry
                for entry in reversed(self.entries[:held])
                if entry.kind is message.EntryKind.MEMBERSHIP
            ),
            None,
        )
        if latest is None:
            return self.snapshot_membership
        return msgspec.msgpack.decode(latest.payload, type=message.Membership)
