"""The stream from an entry to the leader, and calls over it."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from ..core import configuration, identity
from ..telemetry import clock, cost, journal
from ..transport import channel, configuration_part, relief, wire
from . import address, configuration_receipt, pending

# An entry accepts no new work once the leader has not confirmed its
# configuration as current for this long.
CONFIGURATION_MAX_AGE_MS = 3000
# A call that no leader was sent in this time is refused, so that its caller can
# try another entry.
_UNSENT_TIMEOUT_S = 1.0
_REDIAL_DELAY_S = 0.1
# A heartbeat goes with each batch, and the cost is almost half of its bytes.
_COST_INTERVAL_MS = 1000
_POLL_INTERVAL_S = 0.02

MessageHandler = Callable[[Any], None]
LeaderStream = channel.Stream[wire.FromEntryBatch, wire.ToEntryBatch]


class RedirectError(ConnectionError):
    """The replica is not the leader; address is the leader's or empty."""

    def __init__(self, address: str) -> None:
        """Store the address to dial next."""
        super().__init__(f'redirected to {address}')
        self.address = address


@dataclasses.dataclass(frozen=True, slots=True)
class TargetHandlers:
    """Handlers of the leader's messages for targets.

    list_polled returns the sessions of the targets that this entry polls, to
    be sent to a new leader. take_renewals returns the renewals to send with the
    next batch.
    """

    list_polled: Callable[[], tuple[identity.SessionId, ...]]
    take_renewals: Callable[[], tuple[wire.Renewals, ...]]
    command: Callable[[wire.Commands], None]
    renew: Callable[[wire.RenewedSessions], None]
    end: Callable[[wire.EndedSessions], None]


class Upstream:
    """Maintains a stream to the current leader."""

    def __init__(
        self,
        addresses: tuple[str, ...],
        event_log: journal.Journal,
        meter: cost.Meter,
        *,
        configuration_max_age_ms: int = CONFIGURATION_MAX_AGE_MS,
        limit_millicores: int = 0,
    ) -> None:
        """Set up the state; run dials the replicas.

        configuration_max_age_ms is how long the configuration counts as
        current after the leader last confirmed it. limit_millicores is the
        limit of this process's processor share, zero if it is not known.
        """
        self.is_stopping = False
        # The number of streams on which a leader has answered.
        self.link_count = 0
        # Whether this entry is overloaded, and may report that it is unready.
        self.relief = relief.Relief.NONE
        self.may_be_unready = False
        self._configuration_max_age_ms = configuration_max_age_ms
        self._limit_millicores = limit_millicores
        self._cost_sent_at = -_COST_INTERVAL_MS
        self.configuration: configuration.Configuration | None = None
        self.target_handlers: TargetHandlers | None = None
        self.addresses = address.ReplicaAddresses(addresses)
        self._event_log = event_log
        self._meter = meter
        self._calls = pending.PendingCalls()
        self.receipts = configuration_receipt.Receipts()
        self._outbox: channel.Outbox[wire.FromEntry] = channel.Outbox()
        self._confirmed_at = -configuration_max_age_ms
        self._is_connected = False
        self._handlers: dict[Any, MessageHandler] = {
            wire.Redirect: self._handle_redirect,
            wire.Reply: self._calls.complete,
            wire.LeaderHeartbeat: self._handle_pulse,
            configuration_part.ConfigurationPart: self._handle_part,
            wire.MembersChanged: self._handle_members,
        }

    def register(self, kind: type[Any], on_message: MessageHandler) -> None:
        """Pass the leader's messages of one kind to a function."""
        self._handlers[kind] = on_message

    def is_current(self) -> bool:
        """Return whether the configuration was recently confirmed."""
        is_known = self.configuration is not None
        return (
            is_known
            and self.confirmation_age_ms() < self._configuration_max_age_ms
        )

    async def wait_until_current(self, seconds: float) -> bool:
        """Wait up to seconds for is_current, and return its value."""
        with anyio.move_on_after(seconds):
            while not self.is_current():
                await anyio.sleep(_POLL_INTERVAL_S)
        return self.is_current()

    def confirmation_age_ms(self) -> int:
        """Return the time since the configuration was last confirmed."""
        return clock.monotonic_ms() - self._confirmed_at

    async def call(
        self, request: wire.Request, seconds: float
    ) -> dict[str, Any] | None:
        """Return the reply to a request, or None on a timeout."""
        return (await self._ask(request, seconds)).body

    async def propose(
        self, request: wire.Request, seconds: float
    ) -> dict[str, Any] | None:
        """Return the reply, or a refusal when the request was never sent.

        None means that a leader may have processed the request.
        """
        return (await self._ask(request, seconds)).reply_or_refusal()

    def flush(self) -> None:
        """Send a batch soon, with the renewals that are due."""
        self._outbox.flush()

    def send(self, message: wire.FromEntry) -> None:
        """Send a message without a reply; dropped when there is no stream."""
        self._enqueue(message)

    async def run(self) -> None:
        """Dial the replicas until cancelled, a known leader first."""
        preferred = ''
        while True:
            dialled = preferred or self.addresses.next(clock.monotonic_ms())
            try:
                await self._serve_connection(dialled)
            except* RedirectError as errors:
                preferred = _first_address(errors)
            except* ConnectionError:
                preferred = ''
                self.addresses.mark_failed(dialled, clock.monotonic_ms())
            self._is_connected = False
            self.may_be_unready = False
            await anyio.sleep(_REDIAL_DELAY_S)

    async def _ask(
        self, request: wire.Request, seconds: float
    ) -> pending.PendingCall:
        with self._calls.open(request) as pending_call:
            self._enqueue(pending_call.message)
            unsent_s = min(seconds, _UNSENT_TIMEOUT_S)
            with anyio.move_on_after(unsent_s):
                await pending_call.done.wait()
            if pending_call.is_sent:
                with anyio.move_on_after(seconds - unsent_s):
                    await pending_call.done.wait()
            return pending_call

    def _enqueue(self, message: wire.FromEntry) -> None:
        if self._is_connected:
            self._outbox.put(message)

    async def _serve_connection(self, replica: str) -> None:
        async with channel.dial(replica) as dialled:
            stream = channel.open_stream(
                dialled, channel.LINK, wire.ToEntryBatch, self._meter
            )
            self._outbox = channel.Outbox()
            self._cost_sent_at = -_COST_INTERVAL_MS
            self._is_connected = True
            if self.target_handlers is not None:
                self._outbox.put(
                    wire.PolledSessions(self.target_handlers.list_polled())
                )
            for message in self._calls.unanswered():
                self._outbox.put(message)
            async with anyio.create_task_group() as group:
                group.start_soon(self._write, stream)
                group.start_soon(self._read, stream)

    async def _write(self, stream: LeaderStream) -> None:
        messages: tuple[wire.FromEntry, ...] = ()
        while True:
            handlers = self.target_handlers
            renewals = handlers.take_renewals() if handlers else ()
            batch = self._batch((*messages, *renewals, self._pulse()))
            await stream.send(batch)
            queued = await self._outbox.take(channel.HEARTBEAT_INTERVAL_S)
            messages = tuple(filter(self._calls.mark_sent, queued))

    async def _read(self, stream: LeaderStream) -> None:
        self._receive_batch(await stream.receive())
        # A replica that does not lead redirects in its first batch.
        self.link_count += 1
        self.flush()
        while True:
            self._receive_batch(await stream.receive())

    def _receive_batch(self, batch: wire.ToEntryBatch) -> None:
        self._event_log.clock.observe(batch.clock)
        for message in batch.messages:
            self._receive(message)

    def _pulse(self) -> wire.EntryHeartbeat:
        current = self.configuration
        version = current.version if current else 0
        now = clock.monotonic_ms()
        heartbeat = wire.EntryHeartbeat(
            version, now, is_stopping=self.is_stopping, relief=self.relief
        )
        if now - self._cost_sent_at < _COST_INTERVAL_MS:
            return heartbeat
        self._cost_sent_at = now
        return msgspec.structs.replace(
            heartbeat,
            cost=self._meter.read(),
            limit_millicores=self._limit_millicores,
        )

    def _batch(
        self, messages: tuple[wire.FromEntry, ...]
    ) -> wire.FromEntryBatch:
        origin = self._event_log.origin
        return wire.FromEntryBatch(
            origin.process,
            origin.data_centre,
            self._event_log.clock.read(),
            messages,
        )

    def _receive(self, message: wire.ToEntry) -> None:
        handle_message = self._handlers.get(type(message))
        if handle_message is not None:
            handle_message(message)
        elif self.target_handlers is not None:
            _dispatch_to_targets(self.target_handlers, message)

    def _handle_redirect(self, redirect: wire.Redirect) -> None:
        raise RedirectError(redirect.address)

    def _handle_members(self, changed: wire.MembersChanged) -> None:
        self.addresses.replace(changed.addresses)

    def _handle_pulse(self, pulse: wire.LeaderHeartbeat) -> None:
        self.may_be_unready = pulse.may_be_unready
        current = self.configuration
        if current is not None and current.version == pulse.version:
            self._confirmed_at = max(self._confirmed_at, pulse.echo)

    def _handle_part(self, part: configuration_part.ConfigurationPart) -> None:
        current = self.configuration
        known_version = current.version if current else 0
        receipt = self.receipts.receive(
            part, known_version, clock.monotonic_ms()
        )
        self._enqueue(receipt.progress)
        if not part.offset and self.receipts.describe():
            self._event_log.record('configuring', self.receipts.describe())
        if receipt.received is not None:
            self._handle_configuration(receipt.received)

    def _handle_configuration(
        self, received: configuration.Configuration
    ) -> None:
        # The stream of a deposed leader may still deliver an older version.
        current = self.configuration
        if current is None or received.version >= current.version:
            self.configuration = received
            self._event_log.record('configured', f'version {received.version}')


def _first_address(errors: BaseExceptionGroup[RedirectError]) -> str:
    return next(
        (
            error.address
            for error in errors.exceptions
            if isinstance(error, RedirectError)
        ),
        '',
    )


def _dispatch_to_targets(
    target_handlers: TargetHandlers, message: wire.ToEntry
) -> None:
    if isinstance(message, wire.Commands):
        target_handlers.command(message)
    elif isinstance(message, wire.RenewedSessions):
        target_handlers.renew(message)
    elif isinstance(message, wire.EndedSessions):
        target_handlers.end(message)
