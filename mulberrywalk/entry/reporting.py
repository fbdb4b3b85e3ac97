"""What a target has listed, and what of it the leader has yet to hear."""

from __future__ import annotations

from ..core import event, identity, job
from ..transport import wire
from . import acknowledgement, target_client


class ReportBuilder:
    """Turns the looks at one life of a target into reports.

    ends are the ends that were listed, with what the target may forget.
    """

    def __init__(self, session: identity.SessionId) -> None:
        """Start without a look."""
        self.ends = acknowledgement.EndTracker()
        self._session = session
        self._confirmed: set[identity.AttemptId] = set()
        self._checkpoints: dict[identity.AttemptId, str] = {}
        # Orders that were answered as barred: reported unless a later look
        # shows the attempt.
        self._barred: dict[identity.AttemptId, target_client.CallResult] = {}

    def reset_reports(self) -> None:
        """Let all that the next look shows be reported, to another leader."""
        self._confirmed.clear()
        self._checkpoints.clear()
        self.ends.reset_reports()

    def confirm(self, attempt: identity.AttemptId) -> None:
        """Take note of a start whose confirmation is reported elsewhere."""
        self._confirmed.add(attempt)

    def add_barred(
        self, attempt: identity.AttemptId, answer: target_client.CallResult
    ) -> bool:
        """Let a later look tell whether a barred attempt is there after all.

        Returns whether it is the first that waits for one.
        """
        is_first = not self._barred
        self._barred[attempt] = answer
        return is_first

    def snapshot_barred(
        self,
    ) -> dict[identity.AttemptId, target_client.CallResult]:
        """Return what was barred by now, to be judged by a look from now."""
        return dict(self._barred)

    def build(
        self,
        seen: target_client.PollResult,
        barred: dict[identity.AttemptId, target_client.CallResult],
        now: int,
    ) -> wire.Report | None:
        """Return what is new in a look, or None.

        barred is what was barred before the look; now is a monotonic time in
        milliseconds.
        """
        if seen.ended:
            self.ends.skip_below(min(one.number for one in seen.ended))
        report = wire.Report(
            self._session,
            tuple(
                event.AttemptStart(one, now) for one in self._find_started(seen)
            ),
            (
                *self._find_ended(seen, now),
                *self._find_barred(seen, barred, now),
            ),
            saved=self._find_saved(seen),
        )
        is_new = report.started or report.ended or report.saved
        return report if is_new else None

    def _find_started(
        self, seen: target_client.PollResult
    ) -> list[identity.AttemptId]:
        names = [one.attempt for one in seen.running]
        started = [one for one in names if one not in self._confirmed]
        self._confirmed = set(names)
        return started

    def _find_ended(
        self, seen: target_client.PollResult, now: int
    ) -> list[event.AttemptEnd]:
        return [
            event.AttemptEnd(
                one.attempt, one.reason, now, checkpoint=one.checkpoint
            )
            for one in seen.ended
            if self.ends.track(one.attempt, one.number, now)
        ]

    def _find_barred(
        self,
        seen: target_client.PollResult,
        barred: dict[identity.AttemptId, target_client.CallResult],
        now: int,
    ) -> list[event.AttemptEnd]:
        """Return the ends of what was barred and is nowhere to be seen."""
        present = {one.attempt for one in seen.running}
        present.update(one.attempt for one in seen.ended)
        # Another look may have reported some of them meanwhile.
        absent = [
            one for one in barred if one in self._barred and one not in present
        ]
        for answered in barred:
            self._barred.pop(answered, None)
        return [
            event.AttemptEnd(
                one, _reason_of(barred[one]), now, detail=barred[one].value
            )
            for one in absent
        ]

    def _find_saved(
        self, seen: target_client.PollResult
    ) -> tuple[event.AttemptCheckpoint, ...]:
        fresh = tuple(
            event.AttemptCheckpoint(one.attempt, one.checkpoint)
            for one in seen.running
            if one.checkpoint
            and self._checkpoints.get(one.attempt) != one.checkpoint
        )
        self._checkpoints = {
            one.attempt: one.checkpoint for one in seen.running
        }
        return fresh


def _reason_of(answer: target_client.CallResult) -> job.EndReason:
    if answer is target_client.CallResult.UNHEALTHY:
        return job.EndReason.REFUSED
    return job.EndReason.NEVER_STARTED
