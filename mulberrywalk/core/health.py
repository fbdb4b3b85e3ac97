"""Quarantine of targets on which work fails that runs elsewhere."""

from __future__ import annotations

import msgspec

from . import effect, fleet, identity, state, target

_MAX_DOUBLINGS = 16


def record_success(tables: state.State, name: identity.TargetId) -> None:
    """Clear a target's failures; a successful trial ends its probation."""
    record = tables.targets[name]
    if record.health != target.Health():
        _set_health(tables, record, target.Health())
        refresh_index(tables, name)


def record_failure(tables: state.State, name: identity.TargetId) -> None:
    """Count a failure that is attributed to the target.

    Repeated failures, or a failed trial attempt, quarantine the target for a
    time that doubles with each quarantine.
    """
    record = tables.targets[name]
    health = record.health
    limits = tables.configuration.document.quarantine
    failures = health.failures + 1
    if health.level == 0 and failures < limits.failures:
        _set_health(
            tables, record, msgspec.structs.replace(health, failures=failures)
        )
        return
    if health.until > tables.time:
        return
    doublings = min(health.level, _MAX_DOUBLINGS)
    duration_ms = min(limits.first_ms << doublings, limits.longest_ms)
    until = tables.time + duration_ms
    _set_health(
        tables, record, target.Health(failures, health.level + 1, until)
    )
    tables.quarantined.add((until, name))
    tables.emit(
        effect.Trace('quarantined', target=name, detail=f'{duration_ms} ms')
    )
    refresh_index(tables, name)


def mark_unsteady(tables: state.State, name: identity.TargetId) -> None:
    """Prefer other targets to one that fell silent or failed to start work."""
    until = tables.time + target.UNSTEADY_MS
    tables.targets[name] = msgspec.structs.replace(
        tables.targets[name], unsteady_until=until
    )


def end_due_quarantines(tables: state.State) -> None:
    """Allow a trial attempt on each target whose quarantine has ended."""
    while tables.quarantined and tables.quarantined[0][0] <= tables.time:
        _, name = tables.quarantined.pop(0)
        if name in tables.fleet.loads:
            refresh_index(tables, name)


def is_set_aside(tables: state.State, load: fleet.TargetLoad) -> bool:
    """Return whether only its failures keep a target from taking more work.

    It is in quarantine, or a trial attempt is running there.
    """
    record = tables.targets[load.target]
    is_reachable = record.session is not None and record.silence is None
    return (
        is_reachable
        and not record.is_leaving
        and load.reserved_for is None
        and not load.is_available()
    )


def refresh_index(tables: state.State, name: identity.TargetId) -> None:
    """Update the fleet index from a target's record."""
    record = tables.targets[name]
    load = tables.fleet.loads[name]
    tables.silent.discard(name)
    if record.silence is not None:
        tables.silent.add(name)
    tables.fleet.update(
        load,
        is_open=(
            record.session is not None
            and not record.is_leaving
            and record.silence is None
            and record.health.until <= tables.time
        ),
        is_on_probation=record.health.level > 0,
        probation_started_at=record.health.until,
        trials={
            attempt
            for attempt in load.attempts
            if state.is_trial(tables, tables.attempts[attempt], record.health)
        },
    )


def _set_health(
    tables: state.State, record: target.Target, health: target.Health
) -> None:
    tables.targets[record.target] = msgspec.structs.replace(
        record, health=health
    )
