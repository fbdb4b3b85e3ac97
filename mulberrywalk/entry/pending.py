"""Pending calls to the leader."""

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
    """A call without a reply yet; it is resent to each new leader.

    Once is_sent is set, a replica may have processed the call.
    """

    message: wire.Call
    is_sent: bool = False
    body: dict[str, Any] | None = None
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def reply_or_refusal(self) -> dict[str, Any] | None:
        """Return the reply, or a refusal when the call was never sent.

        A call that was not sent has not been processed, so its caller may
        safely retry. None means that it may have been processed.
        """
        if self.body is None and not self.is_sent:
            return codec.to_builtins(_NEVER_SENT)
        return self.body


class PendingCalls:
    """All calls that await a reply, by ticket."""

    def __init__(self) -> None:
        """Start with no calls."""
        self._calls: dict[int, PendingCall] = {}
        self._tickets = itertools.count(1)

    @contextlib.contextmanager
    def open(self, request: wire.Request) -> Iterator[PendingCall]:
        """Register a call for as long as its caller waits."""
        ticket = next(self._tickets)
        pending = PendingCall(wire.Call(ticket, request))
        self._calls[ticket] = pending
        try:
            yield pending
        finally:
            self._calls.pop(ticket)

    def unanswered(self) -> list[wire.Call]:
        """Return the calls to resend to a new leader."""
        return [pending.message for pending in self._calls.values()]

    def mark_sent(self, message: wire.FromEntry) -> bool:
        """Return whether to send a message, and mark a call as sent.

        A call whose caller no longer waits is not sent.
        """
        if not isinstance(message, wire.Call):
            return True
        pending = self._calls.get(message.ticket)
        if pending is None:
            return False
        pending.is_sent = True
        return True

    def complete(self, reply: wire.Reply) -> None:
        """Deliver a reply to its caller, if it is still waiting."""
        pending = self._calls.get(reply.ticket)
        if pending is not None:
            pending.body = reply.body
            pending.done.set()
