"""Views of the state as plain data for JSON."""

from __future__ import annotations

import collections
import itertools
from collections.abc import Hashable
from typing import Any

import msgspec

from ..consensus import message, node
from ..core import (
    advice,
    configuration,
    fleet,
    identity,
    job,
    lifecycle,
    resource,
    share,
    state,
)
from ..transport import wire
from . import explanation, status

# Different waits of one job that are explained, and targets with room that are
# counted for each queue: both bound the cost on the leader.
_MAX_EXPLAINED = 32
_MAX_WITH_ROOM = 256


def show_job(tables: state.State, record: job.Job) -> dict[str, Any]:
    """Return a job with its tasks, complete once the job has ended."""
    tasks = lifecycle.tasks_of(tables, record)
    return {
        'job': record.job,
        'request_id': record.specification.request_id,
        'team': record.specification.team,
        'kind': record.specification.kind.value,
        'urgency': record.specification.urgency.value,
        'state': reported_state(record).value,
        'submitted_at': record.submitted_at,
        'ended_at': record.ended_at,
        'is_cancelled': record.is_cancelled,
        'tasks': [_show_task(tables, task) for task in tasks],
        'summary': msgspec.to_builtins(record.summary),
    }


def reported_state(record: job.Job) -> job.JobState:
    """Return the state of a job.

    Failure and cancellation are reported as soon as they are decided, even
    while tasks are unfinished.
    """
    if record.unfinished and record.is_abandoned:
        return job.JobState.FAILED
    if record.unfinished and record.is_cancelled:
        return job.JobState.CANCELLED
    return record.state


def explain_job(tables: state.State, record: job.Job) -> dict[str, Any]:
    """Return why the tasks of a job wait, or where they ran and why.

    Tasks that wait for the same reason are explained once.
    """
    known: dict[Hashable, dict[str, Any]] = {}
    tasks = lifecycle.tasks_of(tables, record)
    return {
        'job': record.job,
        'state': record.state.value,
        'tasks': [
            {
                'task': task.task,
                'state': task.state.value,
                'waiting': _explain_waiting(tables, task, known),
                'attempts': msgspec.to_builtins(task.history),
                'current': _show_attempt(tables, task),
            }
            for task in tasks
        ],
        'summary': msgspec.to_builtins(record.summary),
    }


def explain_queue_heads(tables: state.State) -> list[tuple[str, str]]:
    """Return the first waiting step of each queue and why it waits."""
    first_tasks = (
        queue[0].task for queue in tables.waiting.queues.values() if queue
    )
    steps = [
        tables.steps[identity.StepId(name)]
        for name in first_tasks
        if name in tables.steps
    ]
    if not steps:
        return []
    available = sum(load.is_available() for load in tables.fleet.loads.values())
    fair_shares = share.compute_fair_shares(tables)
    return [
        (step.step, _explain_step(tables, step, available, fair_shares))
        for step in steps
    ]


def _explain_step(
    tables: state.State,
    step: job.Step,
    available: int,
    fair_shares: share.FairShares,
) -> str:
    demand = tables.step_specification(step).demand()
    with_room = itertools.islice(tables.fleet.most_free(demand), _MAX_WITH_ROOM)
    counts = {
        'waiting': len(tables.waiting.steps.get(step.step, ())),
        'targets': len(tables.fleet.loads),
        'available': available,
        'with_room': sum(1 for _ in with_room),
        'barred': len(step.barred),
        'tickets': len(step.tickets),
        'valid': len(advice.find_valid_tickets(tables, step)),
        'asked_ms_ago': step.asked_at and tables.time - step.asked_at,
        'near_wait_tasks': step.near_wait_count,
        'near_wait_ms': step.near_wait_at and tables.time - step.near_wait_at,
    }
    shown = ' '.join(f'{name}={count}' for name, count in counts.items())
    number = tables.waiting.steps[step.step][0]
    task = tables.tasks[identity.TaskId(f'{step.step}.{number}')]
    held_by = explanation.describe_team(tables, task, fair_shares)
    return f'{shown} demand={demand} {held_by}'.rstrip()


def show_targets(tables: state.State) -> list[dict[str, Any]]:
    """Return all targets with their free resources and health."""
    return [
        {
            'target': record.target,
            'data_centre': record.data_centre,
            'rack': record.rack,
            'session': record.session,
            'is_leaving': record.is_leaving,
            'is_silent': record.silence is not None,
            'quarantined_until': record.health.until,
            'attempts': len(tables.fleet.loads[record.target].attempts),
            'capacity': msgspec.to_builtins(record.capacity),
            'free': msgspec.to_builtins(tables.fleet.loads[record.target].free),
        }
        for _, record in sorted(tables.targets.items())
    ]


def _show_task(tables: state.State, task: job.Task) -> dict[str, Any]:
    return {
        'task': task.task,
        'state': task.state.value,
        'attempts': task.attempts,
        'started_at': task.first_started_at,
        'ended_at': task.ended_at,
        'answer': task.answer,
        **_show_attempt(tables, task),
    }


def _show_attempt(tables: state.State, task: job.Task) -> dict[str, Any]:
    if task.attempt is None:
        return {}
    attempt = tables.attempts[task.attempt]
    shown = {'attempt': attempt.attempt, 'target': attempt.target}
    if task.copy is not None:
        copy = tables.attempts[task.copy]
        shown |= {'copy': copy.attempt, 'copy_target': copy.target}
    return shown


def _explain_waiting(
    tables: state.State,
    task: job.Task,
    known: dict[Hashable, dict[str, Any]],
) -> dict[str, Any] | None:
    if task.state is not job.TaskState.WAITING:
        return None
    times = {'since': task.waiting_since, 'not_before': task.not_before}
    group = explanation.group_of(tables, task)
    if group not in known:
        if len(known) >= _MAX_EXPLAINED:
            return {'reason': 'not examined', 'cause': 'unknown', **times}
        known[group] = _explain_group(tables, task)
    return {**known[group], **times}


def _explain_group(tables: state.State, task: job.Task) -> dict[str, Any]:
    demand = tables.demand(task)
    return {
        **explanation.explain(tables, task),
        'limiting': _limiting_resources(tables, task, demand),
        'targets': len(tables.fleet.loads),
        'ruled_out': _count_ruled_out(tables, demand),
    }


def _limiting_resources(
    tables: state.State, task: job.Task, demand: resource.Resources
) -> list[str]:
    """Return the resources that targets lack, the most frequent first."""
    is_infeasible = task.task in tables.waiting.infeasible
    amounts = [
        load.capacity if is_infeasible else load.free
        for load in tables.fleet.loads.values()
    ]
    lacking = collections.Counter(
        itertools.chain.from_iterable(
            resource.list_insufficient(demand, amount) for amount in amounts
        )
    )
    return [name for name, _ in lacking.most_common()]


def _count_ruled_out(
    tables: state.State, demand: resource.Resources
) -> dict[str, int]:
    """Return the number of targets that each condition rules out."""
    conditions = collections.Counter(
        condition
        for load in tables.fleet.loads.values()
        for condition in _exclusion_conditions(tables, load, demand)
    )
    return dict(sorted(conditions.items()))


def _exclusion_conditions(
    tables: state.State, load: fleet.TargetLoad, demand: resource.Resources
) -> list[str]:
    record = tables.targets[identity.TargetId(load.target)]
    conditions = resource.list_insufficient(demand, load.free)
    if record.session is None:
        conditions.append('no_session')
    if record.is_leaving:
        conditions.append('leaving')
    if record.silence is not None:
        conditions.append('silent')
    if record.health.until > tables.time:
        conditions.append('quarantined')
    if load.is_on_probation and load.attempts:
        conditions.append('on_probation')
    if load.reserved_for is not None:
        conditions.append('reserved_for_gang')
    return conditions


def show_configuration(
    current: configuration.Configuration,
) -> dict[str, Any]:
    """Return a configuration without keys, its version included."""
    shown: dict[str, Any] = msgspec.to_builtins(
        configuration.hide_keys(current)
    )
    return shown


def show_members(
    raft_node: node.Node,
    statuses: status.Statuses,
) -> dict[str, Any]:
    """Return the replicas as seen by the leader.

    The cost is None for a replica that is not connected.
    """
    return {
        'leader': raft_node.leader,
        'term': raft_node.term,
        'commit_index': raft_node.commit_index,
        'replicas': [
            {
                'identity': member.identity,
                'address': member.address,
                'data_centre': member.data_centre,
                'voter': member.voter,
                'match_index': _match_index(raft_node, member),
                'silent_ms': _silent_ms(raft_node, member),
                'cost': _cost(statuses.find(member.identity)),
            }
            for member in raft_node.membership.members
        ],
    }


def _cost(replica_status: wire.Status | None) -> dict[str, Any] | None:
    if replica_status is None:
        return None
    shown: dict[str, Any] = msgspec.to_builtins(replica_status.cost)
    return shown


def _match_index(raft_node: node.Node, member: message.Member) -> int:
    progress = raft_node.progress.get(member.identity)
    return progress.match_index if progress else raft_node.synced_index


def _silent_ms(raft_node: node.Node, member: message.Member) -> int:
    progress = raft_node.progress.get(member.identity)
    return raft_node.now - progress.acknowledged_at if progress else 0
