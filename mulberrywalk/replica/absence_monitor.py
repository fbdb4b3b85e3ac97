"""What the leader tells of lasting work that does not run.

The load that this answers: each attempt fails soon and for another reason, so
that no single line shows that the work has been away for long.
"""

from __future__ import annotations

from collections.abc import Sequence

from ..core import absence, effect
from ..telemetry import journal, metric
from . import engine

# Lines that each look writes, the longest absences first.
_LINES = 3


class AbsenceMonitor:
    """Looks for lasting tasks that do not run; shows them by line and gauge."""

    def __init__(
        self,
        running: engine.Engine,
        lines: journal.Journal,
        metrics: metric.Metrics,
    ) -> None:
        """Show nothing before the first look."""
        self._engine = running
        self._journal = lines
        self._metrics = metrics

    def report(self) -> None:
        """Look at the tasks as they are now."""
        now = self._engine.time()
        found = absence.find_absences(
            self._engine.tables, now, absence.REPORT_AFTER_MS
        )
        self._gauge(found, now)
        for place, absent in enumerate(found[:_LINES], start=1):
            detail = _tell(absent, now)
            self._record(absent, f'{detail} place={place}/{len(found)}')

    def clear(self) -> None:
        """Show that nothing is known, for another replica leads."""
        self._gauge((), 0)

    def _gauge(self, found: Sequence[absence.Absence], now: int) -> None:
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


def _tell(absent: absence.Absence, now: int) -> str:
    told: dict[str, int | str] = {
        'ms': now - absent.since,
        'stage_ms': now - absent.stage_since,
        'runs': absent.attempt_count,
        'unstarted': absent.unstarted_count,
        'room': absent.free_slots,
    }
    last = absent.last_ended
    if last is not None:
        started = 'yes' if absence.had_started(last) else 'never'
        told['last'] = last.reason.value
        told['last_target'] = last.target
        told['last_started'] = started
        told['last_held_ms'] = last.ended_at - last.placed_at
    stage = absent.stage.value
    return f'{stage}: {effect.format_detail(told)}'
