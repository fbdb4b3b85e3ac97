"""Reports of lasting tasks that do not run, by the leader.

Handles tasks whose attempts each fail soon and for different reasons, where no
single log line shows that the task has not run for a long time.
"""

from __future__ import annotations

from collections.abc import Sequence

from ..core import absence, effect
from ..telemetry import journal, metric
from . import engine

# Log lines per report, the longest absences first.
_MAX_LINES = 3


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

    def report(self) -> None:
        """Log the longest current absences and update the gauges."""
        now = self._engine.time()
        found = absence.find_absences(
            self._engine.tables, now, absence.REPORT_AFTER_MS
        )
        self._update_gauges(found, now)
        for rank, absent in enumerate(found[:_MAX_LINES], start=1):
            detail = _describe(absent, now)
            self._record(absent, f'{detail} place={rank}/{len(found)}')

    def clear(self) -> None:
        """Set the gauges to zero when another replica leads."""
        self._update_gauges((), 0)

    def _update_gauges(
        self, found: Sequence[absence.Absence], now: int
    ) -> None:
        with_room = sum(absent.has_room() for absent in found)
        longest_ms = now - found[0].since if found else 0
        self._metrics.gauge('lasting_absent', len(found))
        self._metrics.gauge('lasting_absent_with_room', with_room)
        self._metrics.gauge('lasting_absent_longest_ms', longest_ms)

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
