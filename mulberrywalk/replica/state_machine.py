"""The replicated state of one replica and its unapplied log entries.

A replica that starts or reconnects may have thousands of entries to apply.
They are applied one at a time, so that the engine can exchange messages in
between.
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


def encode_event(new_event: event.Event) -> msgspec.Raw:
    """Return the encoding of an event in the log.

    Raises MalformedMessageError when the event cannot be encoded, or when its
    encoding cannot be decoded: such an entry would crash every replica each
    time that it starts.
    """
    with decoding.translate_errors():
        encoded = _encoder.encode(new_event)
        _event_decoder.decode(encoded)
    return msgspec.Raw(encoded)


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedEntry:
    """An applied entry and the effects of each of its events."""

    entry: message.LogEntry
    effects: list[list[effect.Effect]]

    def outcomes(self) -> list[outcome.Outcome]:
        """Return the outcome of each event of the entry."""
        return [_outcome_of(effects) for effects in self.effects]


class StateMachine:
    """Applies committed log entries in order."""

    def __init__(
        self,
        loaded: message.Snapshot | None,
        committed: Iterable[message.LogEntry],
    ) -> None:
        """Start from a snapshot and the committed entries that follow it."""
        self.tables = state.State()
        self.applied_index = 0
        self._committed = collections.deque(committed)
        if loaded is not None:
            self.install(loaded)

    def enqueue(self, entry: message.LogEntry) -> None:
        """Queue a committed entry to be applied, unless the state has it.

        A snapshot that is received in the same round is installed first.
        """
        if entry.index > self.applied_index:
            self._committed.append(entry)

    def install(self, received: message.Snapshot) -> None:
        """Replace the state and skip the queued entries that it includes."""
        self.tables = snapshot.decode(received.payload)
        self.applied_index = received.index
        self._skip_applied()

    def has_pending(self) -> bool:
        """Return whether committed entries are waiting to be applied."""
        return bool(self._committed)

    def apply_next(self) -> AppliedEntry:
        """Apply the first waiting entry."""
        entry = self._committed.popleft()
        self.applied_index = entry.index
        events: list[event.Event] = []
        if entry.kind is message.EntryKind.COMMAND:
            events = _events_decoder.decode(entry.payload)
        effects = [reducer.reduce(self.tables, logged)[1] for logged in events]
        return AppliedEntry(entry, effects)

    def _skip_applied(self) -> None:
        waiting = self._committed
        while waiting and waiting[0].index <= self.applied_index:
            waiting.popleft()


def _outcome_of(effects: list[effect.Effect]) -> outcome.Outcome:
    first = effects[0]
    if not isinstance(first, effect.Answer):
        raise TypeError('the first effect of an event must be its answer')
    return first.outcome
