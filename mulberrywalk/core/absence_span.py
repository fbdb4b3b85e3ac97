"""Divides the absence of a lasting task into its stages.

The times at which attempts were placed, started and ended are exact. What a
waiting task lacked is not recorded, so it has to be looked at while the task
waits; a wait that nobody looked at counts as unseen.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Iterator
from typing import TypeAlias

from . import absence, identity, job, state

_LOST_REASONS = frozenset(
    (job.EndReason.SESSION_LOST, job.EndReason.LEASE_LAPSED)
)
_WAITING_STAGES = frozenset(
    (
        absence.Stage.RETRY_DELAYED,
        absence.Stage.NO_ROOM,
        absence.Stage.NO_ALLOWED_ROOM,
        absence.Stage.AWAITING_ADVICE,
        absence.Stage.QUEUED,
    )
)

# Milliseconds in each stage, None for waits that were not looked at.
StageTimes: TypeAlias = collections.Counter[absence.Stage | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Look:
    """What a look at an absent task found; a wait has no attempt."""

    at: int
    stage: absence.Stage | None = None
    attempt: identity.AttemptId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A run that ended an absence."""

    attempt: identity.AttemptId
    target: identity.TargetId
    placed_at: int
    began_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Span:
    """A time that an absent task spent in one stage."""

    stage: absence.Stage | None
    since: int
    until: int


def divide(
    absent: absence.Absence, earlier: Look, now: int, watched_since: int
) -> StageTimes:
    """Return the times in each stage from an earlier look until now.

    watched_since is since when all absent tasks have been looked at.
    """
    spans = [
        *_find_ended_spans(absent.task.history, earlier),
        *_find_live_spans(absent, now),
    ]
    if absent.attempt is None:
        spans.extend(_find_waiting_spans(absent, now, watched_since))
    return _add_up(spans, earlier, now)


def divide_until_run(
    task: job.Task, run: Run, earlier: Look, ended_at: int
) -> StageTimes:
    """Return the times in each stage from a look until a run ended it."""
    before = [ended for ended in task.history if ended.attempt != run.attempt]
    spans = list(_find_ended_spans(before, earlier))
    unconfirmed = absence.Stage.START_UNCONFIRMED
    if earlier.attempt == run.attempt and earlier.stage is not None:
        unconfirmed = earlier.stage
    spans.append(_Span(unconfirmed, run.placed_at, ended_at))
    return _add_up(spans, earlier, ended_at)


def find_last_run(absent: absence.Absence) -> identity.AttemptId | None:
    """Return the last attempt that had started, None if none is known.

    It stays the same as long as an absence lasts.
    """
    if absent.attempt is not None and absent.attempt.started_at:
        return absent.attempt.attempt
    runs = (
        ended.attempt
        for ended in reversed(absent.task.history)
        if absence.had_started(ended)
    )
    return next(runs, None)


def find_next_run(
    tables: state.State,
    task: job.Task,
    last_run: identity.AttemptId | None,
    earlier: Look,
) -> Run | None:
    """Return the run that ended an absence, None if there is none.

    last_run is the one before the absence, which may go on if the silent
    target is heard from again.
    """
    for ended in task.history:
        is_later = ended.ended_at > earlier.at and ended.attempt != last_run
        if is_later and absence.had_started(ended):
            started_at = ended.started_at or ended.ended_at
            return Run(ended.attempt, ended.target, ended.placed_at, started_at)
    if task.attempt is None:
        return None
    return _find_live_run(tables, tables.attempts[task.attempt], last_run)


def _find_live_run(
    tables: state.State,
    attempt: job.Attempt,
    last_run: identity.AttemptId | None,
) -> Run | None:
    began_at = attempt.started_at
    if attempt.attempt == last_run:
        record = tables.targets[attempt.target]
        began_at = 0 if record.silence else record.silence_changed_at
    if not began_at:
        return None
    return Run(attempt.attempt, attempt.target, attempt.placed_at, began_at)


def _find_ended_spans(
    history: Iterable[job.AttemptRecord], earlier: Look
) -> Iterator[_Span]:
    for ended in history:
        if ended.attempt == earlier.attempt:
            yield _Span(earlier.stage, ended.placed_at, ended.ended_at)
        elif absence.had_started(ended):
            yield _Span(_loss_stage(ended), ended.placed_at, ended.ended_at)
        else:
            unconfirmed = absence.Stage.START_UNCONFIRMED
            yield _Span(unconfirmed, ended.placed_at, ended.ended_at)


def _loss_stage(ended: job.AttemptRecord) -> absence.Stage:
    """Return what an absence waited for until the end of a run."""
    if ended.reason in _LOST_REASONS:
        return absence.Stage.TARGET_SILENT
    return absence.Stage.STOP_UNCONFIRMED


def _find_live_spans(absent: absence.Absence, now: int) -> Iterator[_Span]:
    attempt = absent.attempt
    if attempt is None:
        return
    placed_at = attempt.placed_at
    if not attempt.started_at:
        unconfirmed = absence.Stage.START_UNCONFIRMED
        yield _Span(unconfirmed, placed_at, absent.stage_since)
    yield _Span(absent.stage, max(placed_at, absent.stage_since), now)


def _find_waiting_spans(
    absent: absence.Absence, now: int, watched_since: int
) -> Iterator[_Span]:
    """Yield the stages of the present wait, as far as it was watched."""
    since = absent.task.waiting_since
    due_at = min(max(since, absent.task.not_before), now)
    yield _Span(absence.Stage.RETRY_DELAYED, since, due_at)
    yield _Span(absent.stage, max(due_at, watched_since), now)
    yield _Span(None, due_at, max(due_at, min(watched_since, now)))


def _add_up(spans: list[_Span], earlier: Look, until: int) -> StageTimes:
    """Add up spans after a look; the rest was a wait that has ended."""
    times: StageTimes = collections.Counter()
    for span in spans:
        since = max(span.since, earlier.at)
        times[span.stage] += max(0, min(span.until, until) - since)
    wait = earlier.stage if earlier.stage in _WAITING_STAGES else None
    times[wait] += max(0, until - earlier.at - times.total())
    return times
