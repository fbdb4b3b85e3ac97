"""Builds reports to the leader from the polls of a target."""

from __future__ import annotations

from ..core import event, identity, job
from ..transport import wire
from . import acknowledgement, target_client


class ReportBuilder:
    """Builds reports from the polls of one incarnation of a target.

    ends tracks the listed ends and their acknowledgement.
    """

    def __init__(self, session: identity.SessionId) -> None:
        """Start with no poll results."""
        self.ends = acknowledgement.EndTracker()
        self._session = session
        self._confirmed: set[identity.AttemptId] = set()
        self._checkpoints: dict[identity.AttemptId, str] = {}
        # Attempts that the target bars from starting; each is reported as
        # ended unless a later poll shows it.
        self._barred: dict[identity.AttemptId, target_client.CallResult] = {}

    def reset_reports(self) -> None:
        """Report everything that the next poll shows, for a new leader."""
        self._confirmed.clear()
        self._checkpoints.clear()
        self.ends.reset_reports()

    def confirm(self, attempt: identity.AttemptId) -> None:
        """Record a start that is reported to the leader separately."""
        self._confirmed.add(attempt)

    def add_barred(
        self, attempt: identity.AttemptId, call_result: target_client.CallResult
    ) -> bool:
        """Record a barred attempt, to be checked against a later poll.

        Returns whether no other attempt is waiting for such a poll.
        """
        is_first = not self._barred
        self._barred[attempt] = call_result
        return is_first

    def snapshot_barred(
        self,
    ) -> dict[identity.AttemptId, target_client.CallResult]:
        """Return the attempts barred so far, for build after the next poll."""
        return dict(self._barred)

    def build(
        self,
        poll_result: target_client.PollResult,
        barred: dict[identity.AttemptId, target_client.CallResult],
        now: int,
    ) -> wire.Report | None:
        """Return a report of what is new in a poll result, or None.

        barred holds the attempts that were barred before the poll was sent;
        now is a monotonic time in milliseconds.
        """
        if poll_result.ended:
            self.ends.skip_below(min(one.number for one in poll_result.ended))
        report = wire.Report(
            self._session,
            tuple(
                event.AttemptStart(one, now)
                for one in self._find_started(poll_result)
            ),
            (
                *self._find_ended(poll_result, now),
                *self._find_barred(poll_result, barred, now),
            ),
            saved=self._find_saved(poll_result),
        )
        is_new = report.started or report.ended or report.saved
        return report if is_new else None

    def _find_started(
        self, poll_result: target_client.PollResult
    ) -> list[identity.AttemptId]:
        attempts = [one.attempt for one in poll_result.running]
        started = [one for one in attempts if one not in self._confirmed]
        self._confirmed = set(attempts)
        return started

    def _find_ended(
        self, poll_result: target_client.PollResult, now: int
    ) -> list[event.AttemptEnd]:
        return [
            event.AttemptEnd(
                one.attempt, one.reason, now, checkpoint=one.checkpoint
            )
            for one in poll_result.ended
            if self.ends.track(one.attempt, one.number, now)
        ]

    def _find_barred(
        self,
        poll_result: target_client.PollResult,
        barred: dict[identity.AttemptId, target_client.CallResult],
        now: int,
    ) -> list[event.AttemptEnd]:
        """Return the ends of barred attempts that the poll does not show.

        Attempts not listed by an incomplete poll result are checked again.
        """
        if not poll_result.is_complete:
            return []
        present = poll_result.attempts()
        # A concurrent poll may already have reported some of them.
        absent = [
            one for one in barred if one in self._barred and one not in present
        ]
        for checked in barred:
            self._barred.pop(checked, None)
        return [
            event.AttemptEnd(
                one, _end_reason_of(barred[one]), now, detail=barred[one].value
            )
            for one in absent
        ]

    def _find_saved(
        self, poll_result: target_client.PollResult
    ) -> tuple[event.AttemptCheckpoint, ...]:
        changed = tuple(
            event.AttemptCheckpoint(one.attempt, one.checkpoint)
            for one in poll_result.running
            if one.checkpoint
            and self._checkpoints.get(one.attempt) != one.checkpoint
        )
        self._checkpoints = {
            one.attempt: one.checkpoint for one in poll_result.running
        }
        return changed


def _end_reason_of(call_result: target_client.CallResult) -> job.EndReason:
    if call_result is target_client.CallResult.UNHEALTHY:
        return job.EndReason.REFUSED
    return job.EndReason.NEVER_STARTED
