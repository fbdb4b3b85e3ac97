"""The entry's stream to the leader, and the calls made over it."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from types import MappingProxyType
from typing import Any

import anyio

from ..core import configuration, identity
from ..telemetry import clock, cost, journal
from ..transport import channel, wire
from . import address, pending

# An entry that could not prove for this long that its configuration is
# current takes no new work.
CONFIGURATION_MAX_AGE_MS = 3000
_REDIAL_S = 0.1
_POLL_S = 0.02

MessageHandler = Callable[[Any], None]
LeaderStream = channel.Stream[wire.FromEntryBatch, wire.ToEntryBatch]


class RedirectError(ConnectionError):
    """The replica does not lead; the address is the leader's or empty."""

    def __init__(self, address: str) -> None:
        """Keep the address to dial next."""
        super().__init__(f'redirected to {address}')
        self.address = address


@dataclasses.dataclass(frozen=True, slots=True)
class TargetHandlers:
    """Who takes what the leader sends for targets.

    carried returns the called targets that the entry has, for a new leader.
    """

    list_polled: Callable[[], tuple[identity.SessionId, ...]]
    command: Callable[[wire.Commands], None]
    renew: Callable[[wire.Renewed], None]
    end: Callable[[wire.Gone], None]


class Upstream:
    """Keeps one stream to the leader, wherever it is."""

    def __init__(
        self,
        addresses: tuple[str, ...],
        lines: journal.Journal,
        meter: cost.Meter,
        *,
        configuration_max_age_ms: int = CONFIGURATION_MAX_AGE_MS,
    ) -> None:
        """Prepare; run dials the replicas in turn.

        configuration_max_age_ms is how long the configuration counts as
        current after the leader last confirmed it.
        """
        self.on_assignment: Callable[[wire.Assignment], None] | None = None
        self.on_advice_wanted: Callable[[wire.AdviceWanted], None] | None = None
        self.is_stopping = False
        self._current_ms = configuration_max_age_ms
        self.configuration: configuration.Configuration | None = None
        self.target_handlers: TargetHandlers | None = None
        self.addresses = address.ReplicaAddresses(addresses)
        self._journal = lines
        self._meter = meter
        self._calls = pending.PendingCalls()
        self._outbox: channel.Outbox[wire.FromEntry] = channel.Outbox()
        self._confirmed_at = -configuration_max_age_ms
        self._is_linked = False
        self._takers: MappingProxyType[Any, MessageHandler] = MappingProxyType(
            {
                wire.Redirect: self._follow,
                wire.Reply: self._calls.complete,
                wire.LeaderPulse: self._take_pulse,
                wire.ConfigurationChanged: self._take_configuration,
                wire.MembersChanged: self._take_members,
                wire.Assignment: self._take_assignment,
                wire.AdviceWanted: self._take_question,
            }
        )

    def is_current(self) -> bool:
        """Return whether the configuration was proved current lately."""
        is_known = self.configuration is not None
        return is_known and self.confirmation_age_ms() < self._current_ms

    async def wait_until_current(self, seconds: float) -> bool:
        """Return whether the configuration is, or soon was, proved current."""
        with anyio.move_on_after(seconds):
            while not self.is_current():
                await anyio.sleep(_POLL_S)
        return self.is_current()

    def confirmation_age_ms(self) -> int:
        """Return how long ago the configuration was proved current."""
        return clock.monotonic_ms() - self._confirmed_at

    async def call(
        self, request: wire.Request, seconds: float
    ) -> dict[str, Any] | None:
        """Return the reply to a request, or None when none came in time."""
        return (await self._ask(request, seconds)).body

    async def propose(
        self, request: wire.Request, seconds: float
    ) -> dict[str, Any] | None:
        """Return the reply, or a refusal when the request never left here.

        None tells, as for call, that a leader may have taken it.
        """
        return (await self._ask(request, seconds)).reply_or_refusal()

    def send(self, message: wire.FromEntry) -> None:
        """Send a message that nobody waits for; dropped without a leader."""
        self._put(message)

    async def run(self) -> None:
        """Dial the replicas for ever, the leader first when it is known."""
        preferred = ''
        while True:
            dialled = preferred or self.addresses.next(clock.monotonic_ms())
            try:
                await self._serve_link(dialled)
            except* RedirectError as errors:
                preferred = _first_address(errors)
            except* ConnectionError:
                preferred = ''
                self.addresses.mark_failed(dialled, clock.monotonic_ms())
            self._is_linked = False
            await anyio.sleep(_REDIAL_S)

    async def _ask(
        self, request: wire.Request, seconds: float
    ) -> pending.PendingCall:
        with self._calls.open(request) as asked:
            self._put(asked.message)
            with anyio.move_on_after(seconds):
                await asked.done.wait()
            return asked

    def _put(self, message: wire.FromEntry) -> None:
        if self._is_linked:
            self._outbox.put(message)

    async def _serve_link(self, replica: str) -> None:
        async with channel.dial(replica) as dialled:
            stream = channel.open_stream(
                dialled, channel.LINK, wire.ToEntryBatch, self._meter
            )
            self._outbox = channel.Outbox()
            self._is_linked = True
            if self.target_handlers is not None:
                self._outbox.put(
                    wire.Carried(self.target_handlers.list_polled())
                )
            for message in self._calls.unanswered():
                self._outbox.put(message)
            async with anyio.create_task_group() as group:
                group.start_soon(self._write, stream)
                group.start_soon(self._read, stream)

    async def _write(self, stream: LeaderStream) -> None:
        messages: tuple[wire.FromEntry, ...] = ()
        while True:
            await stream.send(self._batch((*messages, self._pulse())))
            taken = await self._outbox.take(channel.PULSE_S)
            messages = tuple(filter(self._calls.mark_sent, taken))

    async def _read(self, stream: LeaderStream) -> None:
        while True:
            batch = await stream.receive()
            self._journal.clock.witness(batch.clock)
            for message in batch.messages:
                self._receive(message)

    def _pulse(self) -> wire.EntryPulse:
        current = self.configuration
        version = current.version if current else 0
        now = clock.monotonic_ms()
        return wire.EntryPulse(
            version, now, self._meter.read(), self.is_stopping
        )

    def _batch(
        self, messages: tuple[wire.FromEntry, ...]
    ) -> wire.FromEntryBatch:
        origin = self._journal.origin
        return wire.FromEntryBatch(
            origin.process,
            origin.data_centre,
            self._journal.clock.read(),
            messages,
        )

    def _receive(self, message: wire.ToEntry) -> None:
        taker = self._takers.get(type(message))
        if taker is not None:
            taker(message)
        elif self.target_handlers is not None:
            _take_for_targets(self.target_handlers, message)

    def _follow(self, redirect: wire.Redirect) -> None:
        raise RedirectError(redirect.address)

    def _take_members(self, changed: wire.MembersChanged) -> None:
        self.addresses.replace(changed.addresses)

    def _take_assignment(self, assigned: wire.Assignment) -> None:
        if self.on_assignment is not None:
            self.on_assignment(assigned)

    def _take_question(self, wanted: wire.AdviceWanted) -> None:
        if self.on_advice_wanted is not None:
            self.on_advice_wanted(wanted)

    def _take_pulse(self, pulse: wire.LeaderPulse) -> None:
        current = self.configuration
        if current is not None and current.version == pulse.version:
            self._confirmed_at = max(self._confirmed_at, pulse.echo)

    def _take_configuration(self, changed: wire.ConfigurationChanged) -> None:
        # A deposed leader's stream may still deliver an older version.
        received = changed.configuration
        current = self.configuration
        if current is None or received.version >= current.version:
            self.configuration = received
            self._journal.record('configured', f'version {received.version}')


def _first_address(errors: BaseExceptionGroup[RedirectError]) -> str:
    return next(
        (
            error.address
            for error in errors.exceptions
            if isinstance(error, RedirectError)
        ),
        '',
    )


def _take_for_targets(
    target_handlers: TargetHandlers, message: wire.ToEntry
) -> None:
    if isinstance(message, wire.Commands):
        target_handlers.command(message)
    elif isinstance(message, wire.Renewed):
        target_handlers.renew(message)
    elif isinstance(message, wire.Gone):
        target_handlers.end(message)
