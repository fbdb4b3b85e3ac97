"""Correction of declared resources by the usage that targets report."""

from __future__ import annotations

import msgspec

from . import effect, event, fleet, identity, job, lifecycle, resource, state


def apply_reported_usage(
    tables: state.State, received: event.ReportReceived
) -> None:
    """Hold the larger of declared and used amounts; relieve full targets."""
    targets = {
        _correct_attempt(tables, used)
        for used in received.usage
        if used.attempt in tables.attempts
        and tables.attempts[used.attempt].session == received.session
    }
    for name in sorted(targets):
        _relieve_target(tables, tables.fleet.loads[name])


def _correct_attempt(
    tables: state.State, used: event.AttemptUsage
) -> identity.TargetId:
    attempt = tables.attempts[used.attempt]
    task = tables.tasks[attempt.task]
    declared = tables.task_specification(task).demand()
    reported = resource.Resources(used.millicores, used.memory_bytes)
    held = resource.elementwise_max(declared, reported)
    if held != attempt.held:
        state.replace_attempt(
            tables, msgspec.structs.replace(attempt, held=held)
        )
    return attempt.target


def _relieve_target(tables: state.State, load: fleet.TargetLoad) -> None:
    """Throttle the least urgent work, or stop it so that it is requeued."""
    if resource.fits(resource.NOTHING, load.free):
        return
    victim = _choose_victim(tables, load)
    if victim is None:
        return
    if load.free.memory_bytes >= 0 and not victim.is_throttled:
        throttled = msgspec.structs.replace(victim, is_throttled=True)
        state.replace_attempt(tables, throttled)
        tables.emit(effect.ThrottleAttempt(throttled))
        lifecycle.trace(tables, 'throttled', throttled)
        return
    lifecycle.stop(tables, victim, job.StopReason.OVERUSED)


def _choose_victim(
    tables: state.State, load: fleet.TargetLoad
) -> job.Attempt | None:
    attempts = map(tables.attempts.__getitem__, load.attempts)
    candidates = [
        attempt
        for attempt in attempts
        if attempt.stopping is None
        and tables.specification(tables.tasks[attempt.task]).is_idempotent
    ]
    return max(
        candidates,
        key=lambda attempt: (
            job.rank(tables.specification(tables.tasks[attempt.task]).urgency),
            attempt.placed_at,
            attempt.attempt,
        ),
        default=None,
    )
