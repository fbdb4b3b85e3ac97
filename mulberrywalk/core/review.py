"""When running attempts of speculative steps are next compared with others.

Kept in the order of these times, so that a scheduling pass looks only at the
attempts that are due.
"""

from __future__ import annotations

from sortedcontainers import SortedList

from . import identity


class Reviews:
    """The watched attempts and the time of their next review, in ms."""

    def __init__(self) -> None:
        """Start with none."""
        self._times: dict[identity.AttemptId, int] = {}
        self._order: SortedList = SortedList()

    def __len__(self) -> int:
        """Return the number of watched attempts."""
        return len(self._times)

    def schedule(self, name: identity.AttemptId, at: int) -> None:
        """Review an attempt at a time, instead of the one set before."""
        earlier = self._times.get(name)
        if earlier is not None:
            self._order.remove((earlier, name))
        self._times[name] = at
        self._order.add((at, name))

    def discard(self, name: identity.AttemptId) -> None:
        """Forget an attempt that has ended."""
        at = self._times.pop(name, None)
        if at is not None:
            self._order.remove((at, name))

    def is_due(self, now: int) -> bool:
        """Return whether an attempt is due for its review."""
        return bool(self._order) and self._order[0][0] <= now

    def take_due(self, now: int) -> list[identity.AttemptId]:
        """Remove and return the attempts that are due, the earliest first.

        Attempts that have ended meanwhile are among them.
        """
        if not self.is_due(now):
            return []
        due = list(self._order.irange(maximum=(now + 1,)))
        for entry in due:
            self._order.remove(entry)
            self._times.pop(entry[1])
        return [name for _, name in due]

    def entries(self) -> list[tuple[int, identity.AttemptId]]:
        """Return all times and attempts in order."""
        return list(self._order)
