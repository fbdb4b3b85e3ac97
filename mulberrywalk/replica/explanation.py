"""Why waiting tasks wait, in words and figures."""

from __future__ import annotations

from collections.abc import Hashable
from types import MappingProxyType
from typing import Any

from ..core import effect, job, share, state, team_wait

_INFEASIBLE = 'no target is large enough, however empty'
_RETRY_DELAYED = 'a retry is delayed'
_NO_TARGETS = 'there are no targets'

_TEXTS: MappingProxyType[team_wait.Cause, str] = MappingProxyType(
    {
        team_wait.Cause.QUOTA: 'the team uses its whole quota',
        team_wait.Cause.LIMIT: "it would exceed the team's limit",
        team_wait.Cause.SHARE: (
            'the team is above its fair share and only headroom is left'
        ),
        team_wait.Cause.RATE: (
            "the job is in excess of the team's rate and comes after other work"
        ),
        team_wait.Cause.NEAR: 'it waits for room near its data',
        team_wait.Cause.ADVISER: 'the adviser has allowed no target with room',
        team_wait.Cause.ROOM: 'no target has enough free',
        team_wait.Cause.TURN: 'a target fits and its turn has not come',
    }
)
_GANG_ROOM = 'the targets do not hold all tasks at once'


def explain(tables: state.State, task: job.Task) -> dict[str, Any]:
    """Return why a waiting task waits: reason, cause and figures."""
    if task.task in tables.waiting.infeasible:
        return _show(_INFEASIBLE, 'room', {})
    if task.not_before > tables.time:
        delay_ms = task.not_before - tables.time
        return _show(_RETRY_DELAYED, 'retry', {'due_in_ms': delay_ms})
    wait = team_wait.explain_task(tables, task)
    text = _TEXTS[wait.cause]
    if wait.cause is team_wait.Cause.ROOM:
        text = _text_of_room(tables, task)
    return _show(text, wait.cause.value, wait.figures)


def group_of(tables: state.State, task: job.Task) -> Hashable:
    """Return a value that is equal for tasks of a job with equal reasons."""
    return (
        task.step_id(),
        tables.demand(task),
        task.task in tables.waiting.infeasible,
        max(0, task.not_before - tables.time),
        bool(task.attempts),
    )


def describe_team(
    tables: state.State, task: job.Task, fair_shares: share.FairShares
) -> str:
    """Return what the task's team is held back by, '' for nothing."""
    wait = team_wait.explain_team(tables, task, fair_shares)
    if wait is None:
        return ''
    fields = {'held_by': wait.cause.value, **wait.figures}
    return effect.format_detail(fields)


def _text_of_room(tables: state.State, task: job.Task) -> str:
    if not tables.fleet.loads:
        return _NO_TARGETS
    if team_wait.is_gang(tables, task):
        return _GANG_ROOM
    return _TEXTS[team_wait.Cause.ROOM]


def _show(text: str, cause: str, figures: team_wait.Figures) -> dict[str, Any]:
    detail = effect.format_detail(figures)
    reason = f'{text}: {detail}' if detail else text
    return {'reason': reason, 'cause': cause, 'figures': dict(figures)}
