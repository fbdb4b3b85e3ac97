"""When a copy of a running task pays, and on which target.

A task of a speculative step gets a copy if its run is late, if its target is
far slower than another one, or if its target is silent. A copy uses capacity
that no waiting work needs.
"""

from __future__ import annotations

import dataclasses
import itertools

from . import (
    advice,
    effect,
    fleet,
    identity,
    job,
    lifecycle,
    resource,
    retry,
    run_length,
    spare_room,
    speed,
    state,
    step_placement,
    target,
    task_copy,
)

# A run is late from this multiple of its expected duration on, in percent:
# the ended tasks of its step are equal work, those of its queue are not.
LATE_PERCENT_OF_SIBLINGS = 150
LATE_PERCENT_OF_QUEUE = 200
# A run on a slow target that is not late yet gets a copy if the rest of it
# takes this many times as long as the copy.
_MIN_SAVING_FACTOR = 2
# Time until a copy has started and until its end is known.
_COPY_DELAY_MS = 100
# Time between two reviews of a run: a part of its duration so far.
MIN_REVIEW_INTERVAL_MS = 100
_REVIEW_DIVISOR = 8
# Maximum number of targets considered for a copy without an adviser, and of
# targets passed to find these, those of other pools included.
_MAX_TARGETS = 64
_MAX_TARGETS_PASSED = 512
_PERCENT = 100
# Runs that hold capacity beside another one of the same task may use this
# part of the processors in use, in parts per million. One always may.
MAX_COPY_SHARE = 50_000


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Why a run needs a copy; rest_ms is how long it is expected to go on."""

    why: str
    rest_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A run under review."""

    task: job.Task
    step: job.Step
    attempt: job.Attempt
    nominal: run_length.Nominal
    elapsed_ms: int
    demand: resource.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class Search:
    """A run that needs a copy, and the work that waits meanwhile."""

    candidate: Candidate
    need: Need
    waiting: list[spare_room.WaitingWork]


def is_due(tables: state.State, now: int) -> bool:
    """Return whether a run is due for its review."""
    return tables.reviews.is_due(now)


def run(tables: state.State) -> None:
    """Review the runs that are due, and place the copies that pay."""
    for name in tables.reviews.take_due(tables.time):
        attempt = tables.attempts.get(name)
        if attempt is None or attempt.stopping is not None:
            continue
        task = tables.tasks[attempt.task]
        if task.copy == name:
            _review_copy(tables, _describe(tables, task, attempt))
        elif task.copies == 0:
            _review(tables, _describe(tables, task, attempt))


def _describe(
    tables: state.State, task: job.Task, attempt: job.Attempt
) -> Candidate:
    step = tables.steps[task.step_id()]
    began_at = attempt.started_at or attempt.placed_at
    return Candidate(
        task,
        step,
        attempt,
        run_length.find_nominal(tables, step),
        tables.time - began_at,
        tables.demand(task),
    )


def _review(tables: state.State, candidate: Candidate) -> None:
    interval_ms = _interval_ms(candidate)
    need = _find_need(tables, candidate)
    if need is not None and _is_allowed(tables, candidate):
        waiting = spare_room.find_waiting(tables)
        search = Search(candidate, need, waiting)
        load = _choose(tables, search)
        if load is not None:
            _place(tables, candidate, need, load)
            return
        if _ask_adviser(tables, search):
            # Tickets expire sooner than the next review of a long run.
            interval_ms = MIN_REVIEW_INTERVAL_MS
    tables.reviews.schedule(
        candidate.attempt.attempt, tables.time + interval_ms
    )


def _review_copy(tables: state.State, copy: Candidate) -> None:
    """Stop a copy that is late too: the task takes long wherever it runs.

    The other attempt is ahead then, unless its target is slow or silent.
    """
    name = copy.attempt.attempt
    other = task_copy.live_attempts(tables, copy.task)[0]
    is_silent = tables.targets[other.target].silence is not None
    is_slow = speed.slowness_of(tables, other.target) > speed.SLOW_THRESHOLD
    if is_silent or is_slow or not _is_late(tables, copy):
        tables.reviews.schedule(name, tables.time + _interval_ms(copy))
        return
    lifecycle.stop(tables, copy.attempt, job.StopReason.LATE_COPY)


def _interval_ms(candidate: Candidate) -> int:
    return max(MIN_REVIEW_INTERVAL_MS, candidate.elapsed_ms // _REVIEW_DIVISOR)


def _is_late(tables: state.State, candidate: Candidate) -> bool:
    """Return whether a run takes longer than its target's speed explains."""
    nominal = candidate.nominal
    if not nominal.ms or candidate.elapsed_ms < run_length.FLOOR_MS:
        return False
    percent = LATE_PERCENT_OF_QUEUE
    if nominal.siblings:
        percent = LATE_PERCENT_OF_SIBLINGS
    expected_ms = nominal.on(tables, candidate.attempt.target)
    return candidate.elapsed_ms * _PERCENT >= expected_ms * percent


def _find_need(tables: state.State, candidate: Candidate) -> Need | None:
    """Return why a run needs a copy, or None."""
    own = candidate.attempt.target
    silence = tables.targets[own].silence
    nominal = candidate.nominal
    if silence is not None:
        # If the target is lost, the task runs again after the lease.
        lease_ms = target.LEASE_MS + target.LEASE_MARGIN_MS
        lost_at = silence.last_heard_at() + lease_ms
        rest_ms = lost_at - tables.time + nominal.ms + _COPY_DELAY_MS
        return Need('silent target', rest_ms)
    if _is_late(tables, candidate):
        # The rest of a late run is taken to be as long as the run so far.
        return Need('late', candidate.elapsed_ms)
    is_slow = speed.slowness_of(tables, own) > speed.SLOW_THRESHOLD
    if is_slow and candidate.elapsed_ms >= run_length.FLOOR_MS:
        rest_ms = nominal.on(tables, own) - candidate.elapsed_ms
        return Need('slow target', rest_ms // _MIN_SAVING_FACTOR)
    return None


def _is_allowed(tables: state.State, candidate: Candidate) -> bool:
    """Return whether limits that depend on no target allow one more copy.

    A copy may fail beside the other attempt, so two failures have to be left.
    """
    limit = retry.failure_limit(tables, candidate.task)
    if candidate.task.failures + 2 > limit:
        return False
    has_room = next(tables.fleet.most_free(candidate.demand), None) is not None
    return (
        has_room
        and _is_within_share(tables, candidate.demand)
        and spare_room.is_within_quota(tables, candidate.task)
    )


def _is_within_share(tables: state.State, demand: resource.Resources) -> bool:
    if not tables.copies:
        return True
    held = sum(tables.attempts[name].held.millicores for name in tables.copies)
    used = sum(usage.millicores for usage in tables.urgency_usage.values())
    allowed = used * MAX_COPY_SHARE // resource.PARTS_PER_MILLION
    return held + demand.millicores <= allowed


def _choose(tables: state.State, search: Search) -> fleet.TargetLoad | None:
    """Return the target on which a copy ends soonest, or None."""
    candidate = search.candidate
    if tables.specification(candidate.task).advice is None:
        names = _list_most_free(tables, candidate)
    else:
        names = list(advice.find_valid_tickets(tables, candidate.step))
    return min(
        _find_suitable(tables, search, names),
        key=lambda load: _rank(tables, candidate, load),
        default=None,
    )


def _list_most_free(
    tables: state.State, candidate: Candidate
) -> list[identity.TargetId]:
    pool = tables.specification(candidate.task).pool
    label = tables.step_specification(candidate.step).label
    loads = itertools.islice(
        tables.fleet.most_free(candidate.demand), _MAX_TARGETS_PASSED
    )
    names = (load.target for load in loads if load.matches(pool, label))
    return list(itertools.islice(names, _MAX_TARGETS))


def _find_suitable(
    tables: state.State, search: Search, names: list[identity.TargetId]
) -> list[fleet.TargetLoad]:
    """Return those of some targets on which a copy pays, advice left aside."""
    candidate = search.candidate
    step = candidate.step
    if not spare_room.is_spare(tables, search.waiting, candidate.demand):
        return []
    avoided = step_placement.find_avoided(candidate.task)
    avoided.add(candidate.attempt.target)
    avoided.update(withheld.target for withheld in tables.withheld)
    eligible = step_placement.find_eligible_targets(tables, step.step, names)
    with_room = [
        load
        for load in eligible
        if load.target not in avoided
        and resource.fits(candidate.demand, load.free)
        and spare_room.is_unwanted(search.waiting, load, candidate.demand)
    ]
    return [
        load
        for load in with_room
        if _is_dependable(tables, load)
        and _is_near(tables, step, load)
        and _copy_ms(tables, candidate, load) < search.need.rest_ms
    ]


def _is_dependable(tables: state.State, load: fleet.TargetLoad) -> bool:
    slowness = speed.slowness_of(tables, load.target)
    is_unsteady = step_placement.is_unsteady(tables, load)
    return (
        load.is_available()
        and not load.is_on_probation
        and not is_unsteady
        and slowness <= speed.SLOW_THRESHOLD
    )


def _is_near(
    tables: state.State, step: job.Step, load: fleet.TargetLoad
) -> bool:
    """Return whether a copy runs as near to its data as the step does."""
    needs = tables.step_specification(step)
    if needs.data_rack:
        return load.rack == needs.data_rack
    if not needs.is_rack_local:
        return True
    present = tables.step_loads.get(step.step, ())
    return load.rack in {tables.fleet.loads[name].rack for name in present}


def _copy_ms(
    tables: state.State, candidate: Candidate, load: fleet.TargetLoad
) -> int:
    """Return the time until the end of a copy is known, in ms."""
    return candidate.nominal.on(tables, load.target) + _COPY_DELAY_MS


def _rank(
    tables: state.State, candidate: Candidate, load: fleet.TargetLoad
) -> tuple[int, bool, int, str]:
    """Return a sort key: fast targets first, then those of other racks."""
    own = tables.targets[candidate.attempt.target]
    slowness = speed.slowness_of(tables, load.target)
    return (
        slowness // step_placement.SLOWNESS_RANGE,
        load.rack == own.rack,
        load.free.millicores,
        load.target,
    )


def _ask_adviser(tables: state.State, search: Search) -> bool:
    """Ask on which targets a copy may run; return whether an answer is due."""
    candidate = search.candidate
    step = candidate.step
    if tables.specification(candidate.task).advice is None:
        return False
    if advice.can_request(tables, step):
        names = _list_most_free(tables, candidate)
        suitable = _find_suitable(tables, search, names)
        advice.request_advice(tables, step, suitable, copies=1)
    return advice.is_request_pending(tables, tables.steps[step.step])


def _place(
    tables: state.State,
    candidate: Candidate,
    need: Need,
    load: fleet.TargetLoad,
) -> None:
    ticket = advice.find_valid_tickets(tables, candidate.step).get(
        load.target, ''
    )
    own = candidate.attempt.target
    fields: dict[str, int | str] = {
        'why': need.why.replace(' ', '_'),
        'ms': candidate.elapsed_ms,
        'rest_ms': need.rest_ms,
        'copy_ms': _copy_ms(tables, candidate, load),
        'nominal_ms': candidate.nominal.ms,
        'siblings': candidate.nominal.siblings,
        'slowness': speed.slowness_of(tables, load.target),
        'own': own,
        'own_slowness': speed.slowness_of(tables, own),
        'copies': len(tables.copies),
    }
    detail = effect.format_detail(fields)
    task_copy.place(tables, candidate.task, load, ticket, detail)
