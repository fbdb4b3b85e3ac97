"""Log lines about the calls to one polled target."""

from __future__ import annotations

from ..core import identity
from ..telemetry import clock, journal
from ..transport import wire
from . import target_client


class CallLog:
    """Writes lines about one target and its attempts."""

    def __init__(
        self, event_log: journal.Journal, target: identity.TargetId
    ) -> None:
        """Write the lines about a target to a journal."""
        self._event_log = event_log
        self._target = target

    def record(self, what: str, attempt: str = '', detail: str = '') -> None:
        """Write a line about the target, or about one of its attempts."""
        self._event_log.record(
            what,
            detail,
            attempt=attempt,
            job=attempt.split('.', maxsplit=1)[0],
            target=self._target,
        )

    def record_call(
        self,
        command: str,
        call_result: target_client.CallResult,
        attempt: identity.AttemptId,
        received_at: int,
    ) -> None:
        """Write the result of a call, and the time since its command came.

        received_at is in milliseconds of the monotonic clock.
        """
        waited_ms = clock.monotonic_ms() - received_at
        what = f'{command}: {call_result.value}'
        self.record(what, attempt, f'after_ms={waited_ms}')

    def record_dropped(self, commands: wire.Commands, reason: str) -> None:
        """Write a line about each start and stop that is not carried out."""
        for start in commands.start:
            self.record('command dropped', start.attempt, f'start: {reason}')
        for stop in commands.stop:
            self.record('command dropped', stop.attempt, f'stop: {reason}')
