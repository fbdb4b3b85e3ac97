"""A bound on the open requests of an entry, shared by the teams."""

from __future__ import annotations

import collections
import contextlib
from collections.abc import Iterator

from ..core import equal_share

# An open request holds its body: this many bodies of 256 KiB take 64 MiB, a
# third of the memory of an entry.
MAX_OPEN_REQUESTS = 256


class OpenRequests:
    """Counts the open requests of each team.

    Requests of callers without a team share the empty name. None, the team of
    callers that are not checked, is neither counted nor refused. Below the
    bound all requests are admitted. At the bound a team is admitted up to its
    equal share among the teams with open requests, and always with one,
    so that one team cannot shut out another. The total then exceeds the bound
    by no more than these shares.
    """

    def __init__(self, bound: int) -> None:
        """Start with no open requests; bound is a number of requests."""
        self._bound = bound
        self._counts: collections.Counter[str] = collections.Counter()

    def admits(self, team: str | None) -> bool:
        """Return whether a further request of a team may be opened."""
        if team is None:
            return True
        return equal_share.admits(self._counts, team, self._bound)

    def part(self) -> float:
        """Return the open requests as a part of the bound."""
        return self._counts.total() / self._bound

    def describe(self, team: str | None) -> str:
        """Return the counts on which a refusal of a team is based."""
        count = self._counts.get(team or '', 0)
        total = self._counts.total()
        teams = len(self._counts)
        return (
            f'team {team} has {count} of {total} open requests, {teams} teams'
        )

    @contextlib.contextmanager
    def track(self, team: str | None) -> Iterator[None]:
        """Count a request of a team as open."""
        if team is None:
            yield
            return
        self._counts[team] += 1
        try:
            yield
        finally:
            self._counts[team] -= 1
            if not self._counts[team]:
                self._counts.pop(team)
