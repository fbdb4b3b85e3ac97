"""A limit on how many targets per second are moved between entries.

A move ends one session's polls and starts another's: the entries exchange the
live attempts with the leader again. Moves that only improve the assignment
must not compete with the work of entries and leader.
"""

from __future__ import annotations

_MS_PER_S = 1000
# All targets of a cell may be moved once in this time.
_FULL_MOVE_S = 50
_MIN_MOVES_PER_S = 1.0


class MoveLimit:
    """A token bucket of moves that holds those of one second.

    Times are milliseconds of this process's monotonic clock.
    """

    def __init__(self, now: int) -> None:
        """Start with one move."""
        self._moves = _MIN_MOVES_PER_S
        self._refilled_at = now

    def refill(self, targets: int, now: int) -> None:
        """Add the moves since the last call, for a number of targets."""
        rate = max(_MIN_MOVES_PER_S, targets / _FULL_MOVE_S)
        elapsed_s = (now - self._refilled_at) / _MS_PER_S
        self._refilled_at = now
        self._moves = min(rate, self._moves + rate * elapsed_s)

    def available(self) -> int:
        """Return how many targets may be moved now."""
        return int(self._moves)

    def take(self) -> bool:
        """Count a move and return True, or return False without any left."""
        if not self.available():
            return False
        self._moves -= 1
        return True
