"""Reports of lasting tasks that do not run, by the leader.

Handles tasks whose attempts each fail soon and for different reasons, where no
single log line shows that the task has not run for a long time.
"""

from __future__ import annotations

from collections.abc import Sequence
from types import MappingProxyType

from ..core import absence, absence_span, absence_target, effect, state
from ..telemetry import journal, metric
from . import absence_watch, engine

# Log lines per report, the longest absences first.
_MAX_LINES = 3
# Field of each stage; None is a wait that was not looked at.
_STAGE_FIELDS = MappingProxyType(
    {
        absence.Stage.NO_ROOM: 'no_room_ms',
        absence.Stage.NO_ALLOWED_ROOM: 'no_allowed_room_ms',
        absence.Stage.AWAITING_ADVICE: 'advice_ms',
        absence.Stage.QUEUED: 'turn_ms',
        absence.Stage.START_UNCONFIRMED: 'start_ms',
        absence.Stage.STOP_UNCONFIRMED: 'stop_ms',
        absence.Stage.TARGET_SILENT: 'silent_ms',
        absence.Stage.RETRY_DELAYED: 'retry_ms',
        None: 'unseen_ms',
    }
)


class AbsenceMonitor:
    """Reports lasting tasks that do not run, as log lines and gauges."""

    def __init__(
        self,
        replica_engine: engine.Engine,
        logger: journal.Journal,
        metrics: metric.Metrics,
    ) -> None:
        """Start with no gauges set."""
        self._engine = replica_engine
        self._journal = logger
        self._metrics = metrics
        self._watch = absence_watch.AbsenceWatch()

    def report(self) -> None:
        """Log the longest current absences and update the gauges."""
        now = self._engine.time()
        tables = self._engine.tables
        absences = absence.find_absences(tables, now, 0)
        for ended in self._watch.look(tables, absences, now):
            if ended.is_reported:
                self._record_end(ended)
        found = [
            absent
            for absent in absences
            if now - absent.since > absence.REPORT_AFTER_MS
        ]
        self._update_gauges(found, now)
        for rank, absent in enumerate(found[:_MAX_LINES], start=1):
            detail = _describe(absent, now)
            stages = self._describe_stages(absent)
            targets = _describe_targets(tables, absent)
            place = f'place={rank}/{len(found)}'
            self._record(absent, f'{detail} {place} {stages} {targets}')

    def clear(self) -> None:
        """Set the gauges to zero when another replica leads."""
        self._watch.clear()
        self._update_gauges((), 0)

    def _update_gauges(
        self, found: Sequence[absence.Absence], now: int
    ) -> None:
        with_room = sum(absent.has_room() for absent in found)
        longest_ms = now - found[0].since if found else 0
        self._metrics.gauge('lasting_absent', len(found))
        self._metrics.gauge('lasting_absent_with_room', with_room)
        self._metrics.gauge('lasting_absent_longest_ms', longest_ms)
        allowed_room = sum(bool(absent.allowed_room) for absent in found)
        elsewhere = sum(absent.is_room_elsewhere() for absent in found)
        self._metrics.gauge('lasting_absent_allowed_room', allowed_room)
        self._metrics.gauge('lasting_absent_room_elsewhere', elsewhere)

    def _describe_stages(self, absent: absence.Absence) -> str:
        fields = _sum_fields(self._watch.times_of(absent))
        unwatched_ms = self._watch.unwatched_ms(absent)
        if unwatched_ms:
            fields['unwatched_ms'] = unwatched_ms
        return effect.format_detail(fields)

    def _record_end(self, ended: absence_watch.Ended) -> None:
        fields = {
            'ms': ended.ms,
            'runs': ended.task.attempts,
            **_sum_fields(ended.times),
        }
        self._journal.record(
            'lasting work runs again',
            effect.format_detail(fields),
            job=ended.task.job,
            task=ended.task.task,
            attempt=ended.run.attempt,
            target=ended.run.target,
        )

    def _record(self, absent: absence.Absence, detail: str) -> None:
        attempt = absent.attempt
        self._journal.record(
            'lasting work absent',
            detail,
            job=absent.task.job,
            task=absent.task.task,
            attempt=attempt.attempt if attempt else '',
            target=attempt.target if attempt else '',
        )


def _sum_fields(times: absence_span.StageTimes) -> dict[str, int | str]:
    """Return the sum of all stages, and each stage that took any time."""
    fields: dict[str, int | str] = {'sum_ms': times.total()}
    for stage, name in _STAGE_FIELDS.items():
        if times[stage]:
            fields[name] = times[stage]
    return fields


def _describe_targets(tables: state.State, absent: absence.Absence) -> str:
    """Return what became of the targets that a task may use."""
    counts = absence_target.count_targets(tables, absent.task)
    fields: dict[str, int | str] = {'allowed': counts.allowed}
    for one in absence_target.TargetState:
        fields[one.value] = counts.by_state[one]
    fields['barred_room'] = counts.barred_room
    fields['unknown_room'] = counts.unknown_room
    fields['room_elsewhere'] = 'yes' if absent.is_room_elsewhere() else 'no'
    return effect.format_detail(fields)


def _describe(absent: absence.Absence, now: int) -> str:
    fields: dict[str, int | str] = {
        'ms': now - absent.since,
        'stage_ms': now - absent.stage_since,
        'runs': absent.attempt_count,
        'unstarted': absent.unstarted_count,
        'room': absent.free_slots,
    }
    last = absent.last_ended
    if last is not None:
        started = 'yes' if absence.had_started(last) else 'never'
        fields['last'] = last.reason.value
        fields['last_target'] = last.target
        fields['last_started'] = started
        fields['last_held_ms'] = last.ended_at - last.placed_at
    stage = absent.stage.value
    return f'{stage}: {effect.format_detail(fields)}'
