"""When leadership is transferred to the region that suits it best.

A leader in the region with most voters commits without waiting for the link
between the regions. A transfer interrupts the service for a short time: it is
planned only in a calm cell, and tried again after RETRY_MS at the earliest.
Times are milliseconds.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Mapping

from ..consensus import message, node
from ..transport import region

# No work has waited and this replica has led for this time, in which the
# entries have linked to it.
CALM_MS = 4_000
# The next attempt of a leader whose transfer did not succeed.
RETRY_MS = 600_000
# With as many voters, another region needs this many times the targets: their
# number varies, and leadership must not follow each change.
_TARGET_MARGIN = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class Voter:
    """A voter and its region; is_ready if it answers and has the log."""

    identity: message.ReplicaId
    region: region.RegionName
    is_ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The state of one term of a leader.

    calm_since is None while work waits, tried_at None before any transfer.
    """

    term: int
    calm_since: int | None = None
    tried_at: int | None = None


def advance(
    current: Placement, term: int, now: int, *, is_calm: bool
) -> Placement:
    """Return the state after an observation of the cell."""
    if current.term != term:
        current = Placement(term, tried_at=current.tried_at)
    if not is_calm:
        return dataclasses.replace(current, calm_since=None)
    if current.calm_since is None:
        return dataclasses.replace(current, calm_since=now)
    return current


def may_transfer(current: Placement, now: int) -> bool:
    """Return whether a transfer would disturb nothing now."""
    if current.calm_since is None or now - current.calm_since < CALM_MS:
        return False
    return current.tried_at is None or now - current.tried_at >= RETRY_MS


def find_successors(
    own: Voter,
    others: tuple[Voter, ...],
    targets: Mapping[region.RegionName, int],
) -> frozenset[message.ReplicaId]:
    """Return the ready voters of a better region, none if there is no better.

    A region with more voters is better, or one with as many and clearly more
    targets.
    """
    voters = collections.Counter(voter.region for voter in (own, *others))
    best = max(
        voters,
        key=lambda name: (
            voters[name],
            targets.get(name, 0),
            name == own.region,
        ),
    )
    own_targets = targets.get(own.region, 0)
    has_more_voters = voters[best] > voters[own.region]
    has_more_targets = targets.get(best, 0) > own_targets * _TARGET_MARGIN
    if best == own.region or not (has_more_voters or has_more_targets):
        return frozenset()
    return frozenset(
        voter.identity
        for voter in others
        if voter.region == best and voter.is_ready
    )


def is_up_to_date(leading: node.Node, voter: message.ReplicaId) -> bool:
    """Return whether a voter answers a leader and has its whole log."""
    progress = leading.progress.get(voter)
    if progress is None:
        return False
    silent_ms = leading.now - progress.acknowledged_at
    has_log = progress.match_index == leading.log.last_index()
    return has_log and silent_ms <= leading.timing.election_timeout_ms
