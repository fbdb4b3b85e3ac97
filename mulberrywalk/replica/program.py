"""The replica program: settings, composition and lifecycle."""

from __future__ import annotations

import abc
import collections
import contextlib
import dataclasses
import pathlib
import signal
import sys
from types import MappingProxyType

import anyio
import msgspec
from anyio.abc import TaskGroup

from ..consensus import message, node
from ..core import locality_wait
from ..storage import disk as storage
from ..telemetry import cost, journal, metric, retry
from ..transport import admission, channel, region, wire
from . import engine, leader, membership, peer, retirement, status

_EXIT_FAILURE = 1
EXIT_STORAGE = 3
# How long the server may take to close its streams when the process ends.
_SERVER_STOP_TIMEOUT_S = 1.0
_JOIN_INTERVAL_S = 0.2
# Silence of the leader after which a replica asks to join again.
_LEADER_TIMEOUT_MS = 2500


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings of a replica; addresses are host:port."""

    name: str
    data_centre: str
    listen: str
    advertise: str
    folder: pathlib.Path
    replicas: tuple[str, ...]
    statsd: str
    log_format: str
    policy: membership.Policy
    snapshot_entries: int
    regions: region.Regions = region.ONE_REGION
    remote_permille: int = locality_wait.NO_SLOWDOWN


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaComponents:
    """The components of a replica that an extension can use."""

    settings: Settings
    engine: engine.Engine
    leader: leader.Leader
    logger: journal.Journal
    metrics: metric.Exposition


class Extension(abc.ABC):
    """Adds further interfaces to a replica."""

    @abc.abstractmethod
    async def run(self, parts: ReplicaComponents) -> None:
        """Serve until cancelled."""


class NoExtension(Extension):
    """A replica without further interfaces."""

    async def run(self, parts: ReplicaComponents) -> None:
        """Do nothing."""


def run_to_end(settings: Settings, extension: Extension | None = None) -> None:
    """Run the replica until a signal stops it.

    An error that ends it is the last line of the log, with its stack, and
    gives the exit code.
    """
    try:
        anyio.run(serve, settings, extension, backend='asyncio')
    except Exception as error:
        create_journal(settings).report_end(error)
        sys.exit(_exit_code(error))


def create_journal(settings: Settings) -> journal.Journal:
    """Return a journal with the name of the replica."""
    return journal.Journal(journal.Origin(settings.name, settings.data_centre))


def _exit_code(error: Exception) -> int:
    """Return the exit code; errors of the data folder have their own."""
    group = ExceptionGroup('', [error])
    has_storage_error = group.subgroup((storage.StorageError, OSError))
    return EXIT_STORAGE if has_storage_error else _EXIT_FAILURE


async def serve(settings: Settings, extension: Extension | None = None) -> None:
    """Compose the replica and run it until a signal stops it."""
    logger = create_journal(settings)
    loaded, disk = await retry.in_thread(
        logger,
        'data folder',
        storage.open_folder,
        settings.folder,
        settings.name,
    )
    replica_engine = engine.Engine(
        loaded,
        disk,
        node.Timing(),
        logger,
        snapshot_entries=settings.snapshot_entries,
    )
    metrics = metric.Exposition(
        metric.connect(settings.statsd, f'mulberrywalk.{settings.name}')
    )
    statuses = status.Statuses(replica_engine, cost.Meter())
    replica_leader = leader.Leader(
        replica_engine,
        logger,
        metrics,
        settings.policy,
        statuses,
        settings.regions,
        settings.remote_permille,
    )
    server = channel.Server(settings.listen)
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(disk.close)
        stack.push_async_callback(_stop_server, server)
        group = await stack.enter_async_context(anyio.create_task_group())
        peers = peer.Peers(
            replica_engine,
            logger,
            statuses,
            group,
            settings.advertise,
            settings.regions,
        )
        replica_engine.callbacks = _create_callbacks(peers, replica_leader)
        await _start_server(server, peers, replica_leader, logger)
        logger.record('replica running', loaded.identity.identity)
        group.start_soon(replica_engine.run)
        group.start_soon(replica_leader.run)
        group.start_soon(_join_cell, settings, replica_engine, logger)
        parts = ReplicaComponents(
            settings, replica_engine, replica_leader, logger, metrics
        )
        group.start_soon(_stop_on_signal, parts, group)
        group.start_soon((extension or NoExtension()).run, parts)


async def _stop_server(server: channel.Server) -> None:
    """Close all streams, also when an error or a cancellation ends serve.

    A server that is left running when the event loop closes prints a stack of
    its own after the reason for the end.
    """
    with anyio.move_on_after(_SERVER_STOP_TIMEOUT_S, shield=True):
        await server.stop()


async def _start_server(
    server: channel.Server,
    peers: peer.Peers,
    replica_leader: leader.Leader,
    logger: journal.Journal,
) -> None:
    streams = {
        channel.PEER: peers.accept,
        channel.LINK: replica_leader.links.accept,
    }
    unary_methods = _UnaryMethods(replica_leader, logger)
    calls = {
        channel.JOIN: unary_methods.join,
        channel.LEAVE: unary_methods.leave,
        channel.TIMELINE: unary_methods.show_timeline,
    }
    await retry.until_done(
        logger,
        'listen',
        lambda: server.start(
            MappingProxyType(streams), MappingProxyType(calls)
        ),
    )


def _create_callbacks(
    peers: peer.Peers, replica_leader: leader.Leader
) -> engine.Callbacks:
    def on_changed() -> None:
        peers.close_removed()
        replica_leader.update_role()

    return engine.Callbacks(peers.send, replica_leader.carry_out, on_changed)


class _UnaryMethods:
    """The unary methods of the server."""

    def __init__(
        self, replica_leader: leader.Leader, logger: journal.Journal
    ) -> None:
        self._membership = replica_leader.membership
        self._journal = logger

    async def join(self, encoded: bytes) -> bytes:
        """Answer a request of a replica to join the cell."""
        request = msgspec.msgpack.decode(encoded, type=admission.JoinRequest)
        return msgspec.msgpack.encode(self._membership.join(request))

    async def leave(self, encoded: bytes) -> bytes:
        """Answer a request of a replica that is ending."""
        request = msgspec.msgpack.decode(encoded, type=admission.LeaveRequest)
        return msgspec.msgpack.encode(self._membership.leave(request))

    async def show_timeline(self, encoded: bytes) -> bytes:
        """Return the matching log lines that this replica holds."""
        request = msgspec.msgpack.decode(encoded, type=wire.TimelineRequest)
        found = self._journal.find(request.wanted)
        return msgspec.msgpack.encode(wire.TimelineReply(tuple(found)))


async def _join_cell(
    settings: Settings,
    replica_engine: engine.Engine,
    logger: journal.Journal,
) -> None:
    """Ask to join whenever this replica is not a member or hears no leader.

    A replica that was disconnected for long may have been replaced, which its
    own log does not show.
    """
    member = message.Member(
        replica_engine.node.identity,
        settings.advertise,
        settings.data_centre,
        voter=False,
    )
    encoded = msgspec.msgpack.encode(admission.JoinRequest(member))
    addresses = _initial_addresses(settings)
    was_member = False
    while True:
        await anyio.sleep(_JOIN_INTERVAL_S)
        if _is_active_member(replica_engine):
            if not was_member:
                logger.record(
                    'member of the cell', replica_engine.node.identity
                )
            was_member = True
            continue
        was_member = False
        known = (
            other.address for other in replica_engine.node.membership.members
        )
        addresses.extend(
            candidate for candidate in known if candidate not in addresses
        )
        address = addresses[0]
        addresses.rotate(-1)
        reply = await _ask_to_join(address, encoded)
        if reply.leader:
            addresses.appendleft(reply.leader)


def _initial_addresses(settings: Settings) -> collections.deque[str]:
    # Without any other address it asks itself, until another one is learned.
    return collections.deque(settings.replicas or (settings.advertise,))


async def _ask_to_join(address: str, encoded: bytes) -> admission.JoinReply:
    """Ask a replica to admit this one; without an answer, return no leader."""
    try:
        return await channel.call_decoded(
            address, channel.JOIN, encoded, admission.JoinReply
        )
    except ConnectionError:
        return admission.JoinReply(is_admitted=False, leader='')


def _is_active_member(replica_engine: engine.Engine) -> bool:
    """Return whether this replica is a member and leads or hears a leader."""
    raft_node = replica_engine.node
    is_member = raft_node.membership.find(raft_node.identity) is not None
    silent_ms = raft_node.now - raft_node.leader_contact_at
    has_leader = (
        raft_node.role is node.Role.LEADER or silent_ms < _LEADER_TIMEOUT_MS
    )
    return is_member and has_leader


async def _stop_on_signal(parts: ReplicaComponents, group: TaskGroup) -> None:
    """Retire and stop on SIGTERM or SIGINT; a second stops at once."""
    retiring = retirement.Retirement(
        parts.engine, parts.leader.membership, parts.settings.policy.voters
    )

    async def retire_and_stop() -> None:
        await retiring.run()
        group.cancel_scope.cancel()

    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            parts.logger.record('stopping')
            group.start_soon(retire_and_stop)
            break
        async for _ in signals:
            group.cancel_scope.cancel()
