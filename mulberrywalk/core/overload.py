"""Whether a job can still end within three times its objective.

The expected wait is a lower bound, so that only work that would be worth
nothing is refused: running work, later steps of accepted jobs and less urgent
work are not counted as ahead of the job. Under a lasting overload every
accepted job would wait for as long as is allowed, and would end too late by
what is not counted. Once a team's work of an urgency is overloaded, less wait
is therefore allowed until the overload is over.
"""

from __future__ import annotations

import dataclasses
import itertools

from . import (
    backlog,
    configuration,
    declared,
    effect,
    estimate,
    job,
    objective,
    resource,
    share,
    state,
    team_limit,
    work_counter,
)

# A job that ends after this multiple of its objective is worth nothing.
WORTHLESS_FACTOR = 3
_PERCENT = 100
# Parts of the longest useful wait: the most that is expected of accepted work
# while its team is overloaded, and from which it no longer is. The rest is for
# what the expected wait does not count.
_OVERLOADED_PERCENT = 60
_RECOVERED_PERCENT = 30
# Targets looked at for room. If none of these belongs to the job's pool, there
# may be room on others, and the job is admitted.
_MAX_TARGETS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Overload:
    """An expected wait that is too long, and what it was computed from.

    Times are in milliseconds, work in millicores times milliseconds, rates in
    millicores.
    """

    wait_ms: int
    most_ms: int
    ahead: int
    own: int
    rate: int
    own_rate: int

    def excess_ms(self) -> int:
        """Return in how long the job would no longer wait too long."""
        return self.wait_ms - self.most_ms


def find_overload(
    tables: state.State,
    specification: job.Specification,
    team: configuration.Team,
) -> Overload | None:
    """Return why a job would end too late, or None if it may end in time.

    Recurring and lasting jobs are worth something whenever they run. Nothing
    is known of the wait while no work of the pool runs or has been completed.
    """
    rate = backlog.completion_rate(tables, specification.pool)
    if not rate or not _has_objective(specification):
        return None
    key = work_counter.Key(
        specification.pool, job.rank(specification.urgency), team.name
    )
    useful_ms = _longest_useful_wait_ms(tables, specification)
    found = _expect_wait(tables, specification, team, key)
    if found.wait_ms * _PERCENT <= useful_ms * _RECOVERED_PERCENT:
        tables.overloaded.discard(key)
    if _is_overloaded(tables, key):
        useful_ms = useful_ms * _OVERLOADED_PERCENT // _PERCENT
    if found.wait_ms <= useful_ms:
        return None
    _mark_overloaded(tables, key)
    return dataclasses.replace(found, most_ms=useful_ms)


def _expect_wait(
    tables: state.State,
    specification: job.Specification,
    team: configuration.Team,
    key: work_counter.Key,
) -> Overload:
    """Return the expected wait of a job and its inputs.

    Work is served by the shares of the teams. As those with little work leave
    the rest to others, the wait is at most that for all work ahead; under a
    lasting overload, they have new work.
    """
    rate = backlog.completion_rate(tables, specification.pool)
    own_rate = max(
        1,
        tables.work.held[key.pool, key.team],
        rate * _entitlement(tables, team) // resource.PARTS_PER_MILLION,
    )
    of_all = key._replace(team=work_counter.ALL_TEAMS)
    ahead = tables.work.sum_up_to(of_all).millicore_ms
    own = tables.work.sum_up_to(key).millicore_ms
    wait_ms = own // own_rate
    if not _is_overloaded(tables, key):
        wait_ms = min(wait_ms, ahead // rate)
    if wait_ms and _has_usable_room(tables, specification, team):
        wait_ms = 0
    if not _is_within_limit(tables, specification, team):
        wait_ms = max(wait_ms, own // (team.limit.millicores or own_rate))
    return Overload(wait_ms, 0, ahead, own, rate, own_rate)


def _is_overloaded(tables: state.State, key: work_counter.Key) -> bool:
    return key in tables.overloaded or backlog.has_worthless_work(
        tables, key.pool, key.team
    )


def _mark_overloaded(tables: state.State, key: work_counter.Key) -> None:
    """Mark a team's work as overloaded, and forget removed teams."""
    if key in tables.overloaded:
        return
    known = {team.name for team in tables.configuration.routing.teams}
    tables.overloaded = {
        marked for marked in (*tables.overloaded, key) if marked.team in known
    }


def describe(overload: Overload) -> str:
    """Return the inputs of a refusal."""
    return effect.format_detail(
        {
            'wait_ms': overload.wait_ms,
            'most_ms': overload.most_ms,
            'ahead_mcore_ms': overload.ahead,
            'own_mcore_ms': overload.own,
            'rate_mcores': overload.rate,
            'own_rate_mcores': overload.own_rate,
        }
    )


def _has_objective(specification: job.Specification) -> bool:
    return (
        specification.kind is job.Kind.WORKFLOW
        and bool(specification.objective_ms)
        and specification.recurrence is None
        and not any(step.is_lasting for step in specification.steps)
    )


def _longest_useful_wait_ms(
    tables: state.State, specification: job.Specification
) -> int:
    typical_ms = estimate.typical_duration_ms(tables, specification.queue)
    allowed_ms = objective.objective_ms(specification, typical_ms)
    path_ms = objective.longest_path_ms(specification, typical_ms)
    return max(0, WORTHLESS_FACTOR * allowed_ms - path_ms)


def _is_within_limit(
    tables: state.State,
    specification: job.Specification,
    team: configuration.Team,
) -> bool:
    """Return whether the team may hold one more task of the first step."""
    room = team_limit.find_room(tables, team.name)
    amount = declared.amounts(specification.steps[0])
    return room is None or resource.fits(amount, room)


def _has_usable_room(
    tables: state.State,
    specification: job.Specification,
    team: configuration.Team,
) -> bool:
    """Return whether processors are idle that the job could use at once.

    The last pass has left them idle. Those freed since then are for the work
    that waits, and the headroom is for teams below their fair share.
    """
    rank = job.rank(specification.urgency)
    headroom = tables.configuration.document.headroom
    kept = headroom * (rank + 1) // len(job.Urgency)
    is_kept = share.of_all(tables) >= resource.PARTS_PER_MILLION - kept
    if is_kept and share.of_team(tables, team.name) >= _entitlement(
        tables, team
    ):
        return False
    needs = specification.steps[0]
    matching = (
        load
        for load in tables.fleet.most_free(needs.demand())
        if load.matches(specification.pool, needs.label)
    )
    looked_at = list(itertools.islice(matching, _MAX_TARGETS))
    return len(looked_at) == _MAX_TARGETS or any(
        load.target not in tables.freed for load in looked_at
    )


def _entitlement(tables: state.State, team: configuration.Team) -> int:
    """Return a team's fair share among those with work, in parts per million.

    Work without a team of the routing has the normal weight.
    """
    active = {key.team for key in tables.waiting.queues}
    active.update(tables.team_usage, (team.name,))
    weights = {
        known.name: known.weight for known in tables.configuration.routing.teams
    }
    total = sum(
        weights.get(name, configuration.NORMAL_WEIGHT) for name in active
    )
    return resource.PARTS_PER_MILLION * team.weight // total
