"""Delivery of commands to the targets, sent again until confirmed."""

from __future__ import annotations

import msgspec

from ..core import effect, identity, job, state
from ..transport import wire
from . import engine, lease, link

RESEND_INTERVAL_MS = 1500


class Delivery:
    """Commands that the leader has sent and no target has confirmed.

    All of it can be derived from the state: a new leader starts with every
    attempt that is unconfirmed or being stopped.
    """

    def __init__(
        self, running: engine.Engine, links: link.Links, leases: lease.Leases
    ) -> None:
        """Start with what the state says is unconfirmed."""
        self._engine = running
        self._links = links
        self._leases = leases
        self._sent: dict[identity.AttemptId, int] = {
            attempt.attempt: 0
            for attempt in running.tables.attempts.values()
            if is_unconfirmed(attempt)
        }

    def start(self, attempt: job.Attempt, now: int) -> None:
        """Send the start of an attempt that was placed."""
        self._sent[attempt.attempt] = now
        command = start_command(self._engine.tables, attempt)
        self._send(wire.Commands(attempt.session, start=(command,)))

    def stop(self, attempt: job.Attempt, now: int) -> None:
        """Send the stop of an attempt."""
        self._sent[attempt.attempt] = now
        command = stop_command(attempt)
        self._send(wire.Commands(attempt.session, stop=(command,)))

    def throttle(self, attempt: job.Attempt) -> None:
        """Ask the target to hold an attempt to what it declared."""
        self._send(wire.Commands(attempt.session, throttle=(attempt.attempt,)))

    def acknowledge(self, ends: effect.AcknowledgeEnds) -> None:
        """Let a target forget the ends that were recorded."""
        self._send(wire.Commands(ends.session, acknowledge=ends.attempts))

    def resend_overdue(self, now: int) -> None:
        """Send again what was not confirmed in time."""
        for name, sent_at in list(self._sent.items()):
            attempt = self._engine.tables.attempts.get(name)
            if attempt is None or not is_unconfirmed(attempt):
                self._sent.pop(name)
            elif now - sent_at >= RESEND_INTERVAL_MS:
                self._send_again(attempt, now)

    def resend_session(self, session: identity.SessionId, now: int) -> None:
        """Send again all that is unconfirmed of a session that has moved."""
        tables = self._engine.tables
        for name in sorted(tables.attempts_by_session.get(session, ())):
            attempt = tables.attempts[name]
            if is_unconfirmed(attempt):
                self._send_again(attempt, now)

    def _send_again(self, attempt: job.Attempt, now: int) -> None:
        if attempt.stopping is None:
            self.start(attempt, now)
        else:
            self.stop(attempt, now)

    def _send(self, commands: wire.Commands) -> None:
        fenced = msgspec.structs.replace(commands, term=self._engine.node.term)
        self._links.send(self._leases.entry_of(commands.session), fenced)


def is_unconfirmed(attempt: job.Attempt) -> bool:
    """Return whether the target has yet to confirm a command."""
    return attempt.stopping is not None or not attempt.started_at


def start_command(
    tables: state.State, attempt: job.Attempt
) -> wire.StartCommand:
    """Return the command that starts an attempt."""
    task = tables.tasks[attempt.task]
    needs = tables.task_specification(task)
    return wire.StartCommand(
        attempt=attempt.attempt,
        task=task.task,
        millicores=needs.millicores,
        memory_bytes=needs.memory_bytes,
        accelerators=needs.accelerators,
        estimate_ms=needs.estimate_ms,
        payload=_payload_of(tables, task),
        checkpoint=task.checkpoint,
        ticket=attempt.ticket,
        latency_target_ms=getattr(needs, 'latency_target_ms', 0),
        is_filler=getattr(needs, 'is_filler', False),
    )


def _payload_of(tables: state.State, task: job.Task) -> str:
    needs = tables.task_specification(task)
    if isinstance(needs, job.TaskSpecification):
        return needs.payload
    return tables.specification(task).payload


def stop_command(attempt: job.Attempt) -> wire.StopCommand:
    """Return the command that stops an attempt."""
    is_checkpointed = attempt.stopping in {
        job.StopReason.PREEMPTED,
        job.StopReason.OVERUSED,
        job.StopReason.EVACUATED,
    }
    return wire.StopCommand(attempt.attempt, is_checkpointed)
