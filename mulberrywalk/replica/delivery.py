"""Delivery of commands to targets; unconfirmed commands are resent."""

from __future__ import annotations

import msgspec

from ..core import effect, identity, job, state
from ..transport import wire
from . import engine, lease, link

RESEND_INTERVAL_MS = 1500


class Delivery:
    """Sends commands and tracks those that no target has confirmed.

    A new leader starts with every attempt in the replicated state whose start
    is unconfirmed or that is being stopped. Attempts that run although the
    state does not have them are known from the reports of entries, which
    report all running attempts to a new leader. Times are milliseconds of this
    process's monotonic clock.
    """

    def __init__(
        self,
        replica_engine: engine.Engine,
        links: link.Links,
        leases: lease.Leases,
    ) -> None:
        """Start with the unconfirmed attempts in the state, all overdue."""
        self._engine = replica_engine
        self._links = links
        self._leases = leases
        self._sent_at: dict[identity.AttemptId, int] = {
            attempt.attempt: 0
            for attempt in replica_engine.tables.attempts.values()
            if is_unconfirmed(attempt)
        }
        # Attempts that a target runs and the state does not have, and when
        # their stops were last sent.
        self._unknown: dict[
            tuple[identity.SessionId, identity.AttemptId], int
        ] = {}
        # Attempts reported as running that the state has, until the report is
        # committed or their end is reported.
        self._checked: set[tuple[identity.SessionId, identity.AttemptId]] = (
            set()
        )
        # Attempts that can no longer start, until their end is committed.
        self._expired: set[identity.AttemptId] = set()

    def expire(
        self, session: identity.SessionId, name: identity.AttemptId
    ) -> bool:
        """Never send the start of an attempt of a session again.

        Another entry would send it with a new deadline. Returns whether the
        start has not been confirmed, and was sent only to the target of this
        session: a target that was restarted may receive starts sent to its
        earlier incarnation, whose clock was another one.
        """
        tables = self._engine.tables
        attempt = tables.attempts.get(name)
        if attempt is None or attempt.session != session or attempt.started_at:
            return False
        if attempt.placed_at <= tables.sessions[session].opened_at:
            return False
        self._expired.add(name)
        return True

    def start(self, attempt: job.Attempt, now: int) -> None:
        """Send the command that starts a placed attempt."""
        self._sent_at[attempt.attempt] = now
        command = start_command(self._engine.tables, attempt)
        self._send(wire.Commands(attempt.session, start=(command,)))

    def stop(self, attempt: job.Attempt, now: int) -> None:
        """Send the command that stops an attempt."""
        self._sent_at[attempt.attempt] = now
        command = stop_command(attempt)
        self._send(wire.Commands(attempt.session, stop=(command,)))

    def stop_unknown(
        self,
        session: identity.SessionId,
        name: identity.AttemptId,
        entry: str,
        now: int,
    ) -> None:
        """Stop an attempt that a target runs and the state does not have.

        The stop is sent to the given entry, and resent to the entry that serves
        the session until the attempt is reported as ended.
        """
        self._unknown[session, name] = now
        command = wire.StopCommand(name, is_checkpointed=False)
        self._send_to(entry, wire.Commands(session, stop=(command,)))

    def confirm_end(
        self, session: identity.SessionId, name: identity.AttemptId
    ) -> None:
        """Handle the reported end of an attempt, known or not."""
        self._unknown.pop((session, name), None)
        self._checked.discard((session, name))

    def check_later(
        self, session: identity.SessionId, name: identity.AttemptId
    ) -> None:
        """Handle a report, not yet committed, that a known attempt runs."""
        self._checked.add((session, name))

    def has_become_unknown(
        self, session: identity.SessionId, name: identity.AttemptId
    ) -> bool:
        """Return whether the state has lost an attempt that runs.

        Called once for each report of check_later, when it is committed. An
        attempt whose end was reported meanwhile doesn't count.
        """
        is_running = (session, name) in self._checked
        self._checked.discard((session, name))
        return is_running and self.is_unknown(session, name)

    def is_unknown(
        self, session: identity.SessionId, name: identity.AttemptId
    ) -> bool:
        """Return whether an attempt is not a live one of a session."""
        attempt = self._engine.tables.attempts.get(name)
        return attempt is None or attempt.session != session

    def throttle(self, attempt: job.Attempt) -> None:
        """Ask the target to limit an attempt to its declared resources."""
        self._send(wire.Commands(attempt.session, throttle=(attempt.attempt,)))

    def acknowledge(self, ended: effect.AcknowledgeEnds) -> None:
        """Acknowledge recorded ends, so that the target can drop them."""
        self._send(wire.Commands(ended.session, acknowledge=ended.attempts))

    def longest_stop_ms(self, event_time: int) -> int:
        """Return for how long the oldest stop has waited for its end.

        event_time is the time of a new event, in milliseconds since 1970. A
        stop of a silent target is left out: it waits for the lease.
        """
        tables = self._engine.tables
        attempts = (tables.attempts.get(name) for name in self._sent_at)
        waited_ms = (
            event_time - attempt.stopping_at
            for attempt in attempts
            if attempt is not None
            and attempt.stopping_at
            and tables.targets[attempt.target].silence is None
        )
        return max(waited_ms, default=0)

    def resend_overdue(self, now: int) -> None:
        """Resend the commands that were not confirmed in time."""
        self._resend_overdue_unknown(now)
        for name, sent_at in list(self._sent_at.items()):
            attempt = self._engine.tables.attempts.get(name)
            if attempt is None or not is_unconfirmed(attempt):
                self._sent_at.pop(name)
                self._expired.discard(name)
            elif now - sent_at >= RESEND_INTERVAL_MS:
                self._resend(attempt, now)

    def resend_session(self, session: identity.SessionId, now: int) -> None:
        """Resend all unconfirmed commands of a session that changed entry."""
        tables = self._engine.tables
        for name in sorted(tables.attempts_by_session.get(session, ())):
            attempt = tables.attempts[name]
            if is_unconfirmed(attempt):
                self._resend(attempt, now)

    def _resend_overdue_unknown(self, now: int) -> None:
        sessions = self._engine.tables.sessions
        for (session, name), sent_at in list(self._unknown.items()):
            if session not in sessions or not self.is_unknown(session, name):
                self._unknown.pop((session, name))
            elif now - sent_at >= RESEND_INTERVAL_MS:
                entry = self._leases.entry_of(session)
                self.stop_unknown(session, name, entry, now)

    def _resend(self, attempt: job.Attempt, now: int) -> None:
        if attempt.stopping is not None:
            self.stop(attempt, now)
        elif attempt.attempt not in self._expired:
            self.start(attempt, now)

    def _send(self, commands: wire.Commands) -> None:
        self._send_to(self._leases.entry_of(commands.session), commands)

    def _send_to(self, entry: str, commands: wire.Commands) -> None:
        with_term = msgspec.structs.replace(
            commands, term=self._engine.node.term
        )
        self._links.send(entry, with_term)


def is_unconfirmed(attempt: job.Attempt) -> bool:
    """Return whether the target has yet to confirm a command."""
    return attempt.stopping is not None or not attempt.started_at


def start_command(
    tables: state.State, attempt: job.Attempt
) -> wire.StartCommand:
    """Return the command that starts an attempt."""
    task = tables.tasks[attempt.task]
    requirements = tables.task_specification(task)
    return wire.StartCommand(
        attempt=attempt.attempt,
        task=task.task,
        millicores=requirements.millicores,
        memory_bytes=requirements.memory_bytes,
        accelerators=requirements.accelerators,
        estimate_ms=requirements.estimate_ms,
        payload=_payload_of(tables, task),
        checkpoint=task.checkpoint,
        ticket=attempt.ticket,
        latency_target_ms=getattr(requirements, 'latency_target_ms', 0),
        is_filler=getattr(requirements, 'is_filler', False),
    )


def _payload_of(tables: state.State, task: job.Task) -> str:
    requirements = tables.task_specification(task)
    if isinstance(requirements, job.TaskSpecification):
        return requirements.payload
    return tables.specification(task).payload


def stop_command(attempt: job.Attempt) -> wire.StopCommand:
    """Return the command that stops an attempt."""
    is_checkpointed = attempt.stopping in {
        job.StopReason.PREEMPTED,
        job.StopReason.OVERUSED,
        job.StopReason.EVACUATED,
    }
    return wire.StopCommand(attempt.attempt, is_checkpointed)
