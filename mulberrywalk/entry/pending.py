"""Calls to the leader that were not answered yet."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
from collections.abc import Iterator
from typing import Any

import anyio

from ..core import outcome
from ..transport import codec, wire

_NEVER_SENT = outcome.Unavailable(
    outcome.RefusalReason.NOT_READY,
    'no leader could be asked in time',
    retry_after_ms=1000,
)


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A call that was not answered yet; sent again to each new leader.

    Once is_sent, a replica may have taken it, whatever comes back.
    """

    message: wire.Call
    is_sent: bool = False
    body: dict[str, Any] | None = None
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def reply_or_refusal(self) -> dict[str, Any] | None:
        """Return the reply, or a refusal when the call never left here.

        A call that was not sent has surely not been taken: its caller may
        come back. None tells that it may have been.
        """
        if self.body is None and not self.is_sent:
            return codec.to_builtins(_NEVER_SENT)
        return self.body


class PendingCalls:
    """All calls that wait for their replies, by ticket."""

    def __init__(self) -> None:
        """Start without calls."""
        self._calls: dict[int, PendingCall] = {}
        self._tickets = itertools.count(1)

    @contextlib.contextmanager
    def open(self, request: wire.Request) -> Iterator[PendingCall]:
        """Keep a call for as long as its caller waits."""
        ticket = next(self._tickets)
        pending = PendingCall(wire.Call(ticket, request))
        self._calls[ticket] = pending
        try:
            yield pending
        finally:
            self._calls.pop(ticket)

    def unanswered(self) -> list[wire.Call]:
        """Return what a new leader has to be asked."""
        return [pending.message for pending in self._calls.values()]

    def mark_sent(self, message: wire.FromEntry) -> bool:
        """Return whether to send a message: not a call that was given up."""
        if not isinstance(message, wire.Call):
            return True
        pending = self._calls.get(message.ticket)
        if pending is None:
            return False
        pending.is_sent = True
        return True

    def complete(self, reply: wire.Reply) -> None:
        """Hand a reply to its caller, if that still waits."""
        pending = self._calls.get(reply.ticket)
        if pending is not None:
            pending.body = reply.body
            pending.done.set()
