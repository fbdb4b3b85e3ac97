"""Encoding of the state's records, from which its indexes are rebuilt."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from . import (
    configuration,
    early_cancellation,
    health,
    identity,
    job,
    lifecycle,
    locality_wait,
    queueing,
    rate_window,
    resource,
    session,
    state,
    target,
    team_limit,
    token_bucket,
    waiting,
    work_counter,
    workflow,
)

Key = TypeVar('Key', bound=str)
Record = TypeVar('Record')


RefusalItem = tuple[tuple[str, str], state.Refusal]
LeavingItem = tuple[identity.TargetId, target.UnregisteredDeparture]


class SnapshotRecords(msgspec.Struct, frozen=True):
    """All records of a state, sorted by identifier."""

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
    departed: list[tuple[identity.TargetId, target.Departure]] = []
    withheld: tuple[state.WithheldRoom, ...] = ()
    withheld_at: int = 0
    team_rates: dict[str, token_bucket.Bucket] = {}
    completed_work: dict[str, rate_window.RateWindow] = {}
    freed: list[identity.TargetId] = []
    reviews: list[tuple[int, identity.AttemptId]] = []
    remote_permille: int = locality_wait.NO_SLOWDOWN
    smallest: list[tuple[waiting.QueueKey, resource.Resources]] = []
    tried: list[tuple[waiting.QueueKey, waiting.Position]] = []
    overloaded: list[work_counter.Key] = []
    early_cancellations: list[early_cancellation.NamedCancellation] = []
    leaving_unregistered: list[LeavingItem] = []


def encode(tables: state.State) -> bytes:
    """Encode the records; equal states give equal bytes."""
    records = SnapshotRecords(
        time=tables.time,
        sequence=tables.sequence,
        configuration=tables.configuration,
        jobs=_sorted_records(tables.jobs),
        tasks=_sorted_records(tables.tasks),
        attempts=_sorted_records(tables.attempts),
        targets=_sorted_records(tables.targets),
        sessions=_sorted_records(tables.sessions),
        budgets=dict(sorted(tables.budgets.items())),
        patches=list(tables.patches.items()),
        reservation=tables.reservation,
        refusals=list(tables.refusals.items()),
        steps=_sorted_records(tables.steps),
        durations=dict(sorted(tables.durations.items())),
        led_from=tables.leader_since,
        departed=list(tables.departed.items()),
        withheld=tables.withheld,
        withheld_at=tables.withheld_at,
        team_rates=dict(sorted(tables.team_rates.items())),
        completed_work=dict(sorted(tables.completed_work.items())),
        freed=sorted(tables.freed),
        reviews=tables.reviews.entries(),
        remote_permille=tables.remote_permille,
        smallest=sorted(tables.waiting.smallest.items()),
        tried=sorted(tables.waiting.tried.items()),
        overloaded=sorted(tables.overloaded),
        early_cancellations=tables.early_cancellations.list_named(),
        leaving_unregistered=list(tables.leaving_unregistered.items()),
    )
    return msgspec.msgpack.encode(records)


def decode(encoded: bytes) -> state.State:
    """Decode a state and rebuild its indexes."""
    records = msgspec.msgpack.decode(encoded, type=SnapshotRecords)
    tables = state.State(
        time=records.time,
        leader_since=records.led_from,
        sequence=records.sequence,
        configuration=records.configuration,
        jobs={record.job: record for record in records.jobs},
        tasks={record.task: record for record in records.tasks},
        targets={record.target: record for record in records.targets},
        sessions={record.session: record for record in records.sessions},
        budgets=records.budgets,
        patches=dict(records.patches),
        reservation=records.reservation,
        refusals=dict(records.refusals),
        steps={record.step: record for record in records.steps},
        durations=records.durations,
        departed=dict(records.departed),
        leaving_unregistered=dict(records.leaving_unregistered),
        withheld=records.withheld,
        withheld_at=records.withheld_at,
        team_rates=records.team_rates,
        completed_work=records.completed_work,
        freed=set(records.freed),
        remote_permille=records.remote_permille,
        overloaded=set(records.overloaded),
        queues={
            queue.name: queue for queue in records.configuration.routing.queues
        },
    )
    tables.early_cancellations.restore(records.early_cancellations)
    team_limit.reindex(tables)
    _index_targets(tables)
    _index_jobs(tables)
    for attempt in records.attempts:
        state.add_attempt(tables, attempt)
    _index_tasks(tables)
    for at, name in records.reviews:
        tables.reviews.schedule(name, at)
    # Older snapshots have none; what is derived from the queues then holds.
    tables.waiting.smallest.update(records.smallest)
    tables.waiting.tried.update(records.tried)
    return tables


def _sorted_records(table: dict[Key, Record]) -> list[Record]:
    return [table[key] for key in sorted(table)]


def _index_targets(tables: state.State) -> None:
    for session_record in tables.sessions.values():
        tables.session_counts[session_record.target] += 1
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
            lifecycle.index_ended(tables, record)
        elif specification.kind is job.Kind.WORKFLOW:
            workflow.schedule_next_occurrence(tables, record)
        if record.state is job.JobState.QUEUED:
            lifecycle.adjust_pending(tables, record, 1)


def _index_tasks(tables: state.State) -> None:
    waiting_tasks = [
        task
        for task in tables.tasks.values()
        if task.state is job.TaskState.WAITING
    ]
    for task in waiting_tasks:
        queueing.add_task(tables, task)
    for attempt in tables.attempts.values():
        if attempt.lost_at or not attempt.started_at:
            state.mark_absent(tables, tables.tasks[attempt.task])
    # Each is the copy of its task, or has not ended since its completion.
    tables.copies.update(
        live.attempt
        for live in tables.attempts.values()
        if tables.tasks[live.task].attempt != live.attempt
    )
