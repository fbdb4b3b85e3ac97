"""Encoding of the state's records; indexes are rebuilt from them."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from . import (
    configuration,
    health,
    job,
    lifecycle,
    queueing,
    session,
    state,
    target,
    workflow,
)

Key = TypeVar('Key', bound=str)
Record = TypeVar('Record')


RefusalItem = tuple[tuple[str, str], state.Refusal]


class SnapshotRecords(msgspec.Struct, frozen=True):
    """All records of a state, in the order of their identifiers."""

    time: int
    sequence: int
    configuration: configuration.Configuration
    jobs: list[job.Job]
    tasks: list[job.Task]
    attempts: list[job.Attempt]
    targets: list[target.Target]
    sessions: list[target.Session]
    budgets: dict[str, int]
    patches: list[tuple[str, state.PatchRecord]]
    reservation: state.Reservation | None
    refusals: list[RefusalItem]
    steps: list[job.Step] = []
    durations: dict[str, int] = {}
    led_from: int = 0


def encode(tables: state.State) -> bytes:
    """Return the records; equal states give equal bytes."""
    image = SnapshotRecords(
        time=tables.time,
        sequence=tables.sequence,
        configuration=tables.configuration,
        jobs=_ordered(tables.jobs),
        tasks=_ordered(tables.tasks),
        attempts=_ordered(tables.attempts),
        targets=_ordered(tables.targets),
        sessions=_ordered(tables.sessions),
        budgets=dict(sorted(tables.budgets.items())),
        patches=list(tables.patches.items()),
        reservation=tables.reservation,
        refusals=list(tables.refusals.items()),
        steps=_ordered(tables.steps),
        durations=dict(sorted(tables.durations.items())),
        led_from=tables.leader_since,
    )
    return msgspec.msgpack.encode(image)


def decode(encoded: bytes) -> state.State:
    """Return a state with the records and all of its indexes."""
    image = msgspec.msgpack.decode(encoded, type=SnapshotRecords)
    tables = state.State(
        time=image.time,
        leader_since=image.led_from,
        sequence=image.sequence,
        configuration=image.configuration,
        jobs={record.job: record for record in image.jobs},
        tasks={record.task: record for record in image.tasks},
        targets={record.target: record for record in image.targets},
        sessions={record.session: record for record in image.sessions},
        budgets=image.budgets,
        patches=dict(image.patches),
        refusals=dict(image.refusals),
        steps={record.step: record for record in image.steps},
        durations=image.durations,
        queues={one.name: one for one in image.configuration.routing.queues},
    )
    _index_targets(tables)
    _index_jobs(tables)
    for attempt in image.attempts:
        state.add_attempt(tables, attempt)
    _index_tasks(tables)
    _restore_reservation(tables, image.reservation)
    return tables


def _ordered(table: dict[Key, Record]) -> list[Record]:
    return [table[key] for key in sorted(table)]


def _index_targets(tables: state.State) -> None:
    for opened in tables.sessions.values():
        tables.session_counts[opened.target] += 1
    for record in tables.targets.values():
        session.index_target(tables, record)
        if record.address:
            tables.addresses[record.address] = record.target
        if record.health.until > tables.time:
            tables.quarantined.add((record.health.until, record.target))
        health.refresh_index(tables, record.target)


def _index_jobs(tables: state.State) -> None:
    for record in tables.jobs.values():
        specification = record.specification
        request = (specification.team, specification.request_id)
        tables.requests[request] = record.job
        if record.unfinished == 0:
            tables.finished.add((record.ended_at, record.job))
        elif specification.kind is job.Kind.WORKFLOW:
            workflow.schedule_next_occurrence(tables, record)
        if record.state is job.JobState.QUEUED:
            lifecycle.adjust_pending(tables, record, 1)


def _index_tasks(tables: state.State) -> None:
    waiting = [
        task
        for task in tables.tasks.values()
        if task.state is job.TaskState.WAITING
    ]
    for task in waiting:
        queueing.add_task(tables, task)
    for attempt in tables.attempts.values():
        if attempt.lost_at or not attempt.started_at:
            state.mark_absent(tables, tables.tasks[attempt.task])


def _restore_reservation(
    tables: state.State, reservation: state.Reservation | None
) -> None:
    tables.reservation = reservation
    if reservation is None:
        return
    for name in reservation.targets:
        tables.fleet.reserve(tables.fleet.loads[name], reservation.job)
