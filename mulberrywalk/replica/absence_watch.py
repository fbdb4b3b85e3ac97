"""Adds up the stages of absences from one look at the state to the next.

Handles absences of many stages, of which the last one says little about where
the time was spent. Only the tasks that are absent now are remembered.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from ..core import absence, absence_span, identity, job, state


@dataclasses.dataclass(frozen=True, slots=True)
class Watched:
    """An absence with the times in each stage until the last look.

    last_run is the last attempt that had started before it.
    """

    since: int
    last_run: identity.AttemptId | None
    look: absence_span.Look
    times: absence_span.StageTimes


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """An absence that a run has ended, and whether a look reported it."""

    task: job.Task
    run: absence_span.Run
    ms: int
    is_reported: bool
    times: absence_span.StageTimes


class AbsenceWatch:
    """The absences of the last look, with their stages."""

    def __init__(self) -> None:
        """Start without any absence; nothing is watched yet."""
        self._watched: dict[identity.TaskId, Watched] = {}
        self._watched_since = 0

    def clear(self) -> None:
        """Forget everything; the next look begins anew."""
        self._watched = {}
        self._watched_since = 0

    def look(
        self, tables: state.State, found: Sequence[absence.Absence], now: int
    ) -> list[Ended]:
        """Add up the stages of all absences; return those that have ended."""
        self._watched_since = self._watched_since or now
        earlier = self._watched
        self._watched = {
            absent.task.task: self._continue(absent, now) for absent in found
        }
        candidates = (
            _find_ended(tables, name, watched)
            for name, watched in earlier.items()
            if not self._goes_on(name, watched)
        )
        return [ended for ended in candidates if ended is not None]

    def times_of(self, absent: absence.Absence) -> absence_span.StageTimes:
        """Return the times in each stage of an absence of the last look."""
        return self._watched[absent.task.task].times

    def unwatched_ms(self, absent: absence.Absence) -> int:
        """Return for how long an absence lasted before it was watched."""
        return max(0, self._watched_since - absent.since)

    def _continue(self, absent: absence.Absence, now: int) -> Watched:
        last_run = absence_span.find_last_run(absent)
        watched = self._watched.get(absent.task.task)
        if watched is None or _has_run_since(watched, absent, last_run):
            watched = _begin(absent, last_run)
        attempt = absent.attempt.attempt if absent.attempt else None
        times = watched.times + absence_span.divide(
            absent, watched.look, now, self._watched_since
        )
        look = absence_span.Look(now, absent.stage, attempt)
        return dataclasses.replace(watched, look=look, times=times)

    def _goes_on(self, name: identity.TaskId, watched: Watched) -> bool:
        current = self._watched.get(name)
        return current is not None and current.since == watched.since


def _has_run_since(
    watched: Watched,
    absent: absence.Absence,
    last_run: identity.AttemptId | None,
) -> bool:
    """Return whether a task has run since the last look.

    Without a known run, only the beginning of the history was forgotten.
    """
    if last_run is None:
        return False
    return last_run != watched.last_run or absent.since != watched.since


def _begin(
    absent: absence.Absence, last_run: identity.AttemptId | None
) -> Watched:
    look = absence_span.Look(absent.since)
    return Watched(absent.since, last_run, look, absence_span.StageTimes())


def _find_ended(
    tables: state.State, name: identity.TaskId, watched: Watched
) -> Ended | None:
    """Return an absence that has ended, None if its task does not run."""
    task = tables.tasks.get(name)
    if task is None:
        return None
    look = watched.look
    run = absence_span.find_next_run(tables, task, watched.last_run, look)
    if run is None:
        return None
    ended_at = max(run.began_at, look.at)
    later = absence_span.divide_until_run(task, run, look, ended_at)
    is_reported = look.at - watched.since > absence.REPORT_AFTER_MS
    total_ms = ended_at - watched.since
    return Ended(task, run, total_ms, is_reported, watched.times + later)
