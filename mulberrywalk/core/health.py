"""Quarantine of targets that fail what other targets can run."""

from __future__ import annotations

import msgspec

from . import effect, identity, state, target

_LONGEST_DOUBLING = 16


def record_success(tables: state.State, name: identity.TargetId) -> None:
    """Clear a target's failures; a probe that succeeds opens it again."""
    record = tables.targets[name]
    if record.health != target.Health():
        _replace(tables, record, target.Health())
        refresh_index(tables, name)


def record_failure(tables: state.State, name: identity.TargetId) -> None:
    """Count a failure for which the target is to blame.

    Enough of them, or a failed probe, set the target aside for a time that
    doubles with each quarantine.
    """
    record = tables.targets[name]
    health = record.health
    limits = tables.configuration.document.quarantine
    failures = health.failures + 1
    if health.level == 0 and failures < limits.failures:
        _replace(
            tables, record, msgspec.structs.replace(health, failures=failures)
        )
        return
    if health.until > tables.time:
        return
    doubling = min(health.level, _LONGEST_DOUBLING)
    pause = min(limits.first_ms << doubling, limits.longest_ms)
    until = tables.time + pause
    _replace(tables, record, target.Health(failures, health.level + 1, until))
    tables.quarantined.add((until, name))
    tables.emit(effect.Trace('quarantined', target=name, detail=f'{pause} ms'))
    refresh_index(tables, name)


def mark_unsteady(tables: state.State, name: identity.TargetId) -> None:
    """Let a target that was lost, or starts nothing, be used after others."""
    until = tables.time + target.UNSTEADY_MS
    tables.targets[name] = msgspec.structs.replace(
        tables.targets[name], unsteady_until=until
    )


def end_due_quarantines(tables: state.State) -> None:
    """Let the targets whose quarantine has ended run one probe."""
    while tables.quarantined and tables.quarantined[0][0] <= tables.time:
        _, name = tables.quarantined.pop(0)
        if name in tables.fleet.loads:
            refresh_index(tables, name)


def refresh_index(tables: state.State, name: identity.TargetId) -> None:
    """Bring the index in line with a target's record."""
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
            name
            for name in load.attempts
            if state.is_probe(tables, tables.attempts[name], record.health)
        },
    )


def _replace(
    tables: state.State, record: target.Target, health: target.Health
) -> None:
    tables.targets[record.target] = msgspec.structs.replace(
        record, health=health
    )
