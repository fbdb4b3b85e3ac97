"""The replicated state of one replica, and the entries it has yet to apply.

A replica that starts, or that was away, has to apply thousands of entries.
They are applied in slices, so that it goes on hearing and being heard.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

import msgspec

from ..consensus import message
from ..core import effect, event, outcome, reducer, snapshot, state
from ..transport import decoding

_events_decoder = msgspec.msgpack.Decoder(list[event.Event])
_event_decoder = msgspec.msgpack.Decoder(event.Event)
_encoder = msgspec.msgpack.Encoder()


def encode_event(occurred: event.Event) -> msgspec.Raw:
    """Return an event as it stands in the log.

    Raises MalformedMessageError when the log cannot hold it, or when no replica
    could read it there: it would end each of them, at each start again.
    """
    with decoding.translate_errors():
        written = _encoder.encode(occurred)
        _event_decoder.decode(written)
    return msgspec.Raw(written)


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedEntry:
    """An entry that was applied, and the effects of each of its events."""

    entry: message.LogEntry
    effects: list[list[effect.Effect]]

    def outcomes(self) -> list[outcome.Outcome]:
        """Return the outcome of each event of the entry."""
        return [_outcome_of(effects) for effects in self.effects]


class StateMachine:
    """Applies committed entries in order."""

    def __init__(
        self,
        held: message.Snapshot | None,
        committed: Iterable[message.LogEntry],
    ) -> None:
        """Start from a snapshot; committed are the known entries behind it."""
        self.tables = state.State()
        self.applied_index = 0
        self._committed = collections.deque(committed)
        if held is not None:
            self.install(held)

    def enqueue(self, entry: message.LogEntry) -> None:
        """Keep a committed entry to be applied."""
        self._committed.append(entry)

    def install(self, received: message.Snapshot) -> None:
        """Replace the state; the entries that it covers are passed over."""
        self.tables = snapshot.decode(received.payload)
        self.applied_index = received.index
        self._pass_over()

    def has_pending(self) -> bool:
        """Return whether entries wait to be applied."""
        return bool(self._committed)

    def apply_next(self) -> AppliedEntry:
        """Apply the first entry that waits."""
        entry = self._committed.popleft()
        self.applied_index = entry.index
        events: list[event.Event] = []
        if entry.kind is message.EntryKind.COMMAND:
            events = _events_decoder.decode(entry.payload)
        effects = [reducer.reduce(self.tables, one)[1] for one in events]
        return AppliedEntry(entry, effects)

    def _pass_over(self) -> None:
        waiting = self._committed
        while waiting and waiting[0].index <= self.applied_index:
            waiting.popleft()


def _outcome_of(effects: list[effect.Effect]) -> outcome.Outcome:
    first = effects[0]
    if not isinstance(first, effect.Answer):
        raise TypeError('the first effect of an event is its answer')
    return first.outcome
