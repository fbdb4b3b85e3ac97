"""The replica program: settings, composition and life cycle."""

from __future__ import annotations

import abc
import collections
import dataclasses
import pathlib
import signal
from types import MappingProxyType
from typing import Annotated

import anyio
import msgspec
import typer
from anyio.abc import TaskGroup

from ..consensus import message, node
from ..storage import disk as storage
from ..telemetry import cost, journal, metric, setting
from ..transport import channel, wire
from . import engine, leader, peer, status

_EXIT_STORAGE = 3
_HANDOVER_S = 4.0
_POLL_S = 0.05
_JOIN_S = 0.2
# Silence of the leader after which a replica asks whether it still counts.
_UNHEARD_MS = 2500
_LOG_FORMATS = frozenset(('text', 'json'))
_LONGEST_MS = 86_400_000
_MOST_ENTRIES = 10_000_000

application = typer.Typer(add_completion=False, no_args_is_help=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Checked settings of a replica; addresses are host:port."""

    name: str
    data_centre: str
    listen: str
    advertise: str
    folder: pathlib.Path
    replicas: tuple[str, ...]
    statsd: str
    log_format: str
    policy: leader.MembershipPolicy
    snapshot_entries: int


@application.command()
def init(
    folder: Annotated[str, typer.Option('--data', envvar='MULBERRYWALK_DATA')],
    name: Annotated[str, typer.Option(envvar='MULBERRYWALK_NAME')],
    founders: Annotated[str, typer.Option(envvar='MULBERRYWALK_FOUNDERS')],
) -> None:
    """Write the identity of a founding voter into an empty data folder.

    Founders are NAME=HOST:PORT@DATA_CENTRE with commas between them, the
    same list on each. Run it once, when a cell is first set up, and never
    to replace a lost disk.
    """
    checker = setting.Checker()
    members = tuple(
        parse_founder(checker, part.strip()) for part in founders.split(',')
    )
    if name not in {member.identity for member in members}:
        checker.errors.append(f'--name: {name!r} is not among the founders')
    checker.finish()
    try:
        storage.create_identity(
            pathlib.Path(folder), message.Membership(members), name
        )
    except storage.StorageError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_EXIT_STORAGE) from error


@application.command()
def run(
    folder: Annotated[
        str, typer.Option('--data', envvar='MULBERRYWALK_DATA')
    ] = '',
    name: Annotated[str, typer.Option(envvar='MULBERRYWALK_NAME')] = '',
    data_centre: Annotated[
        str, typer.Option(envvar='MULBERRYWALK_DATA_CENTRE')
    ] = '',
    listen: Annotated[str, typer.Option(envvar='MULBERRYWALK_LISTEN')] = '',
    advertise: Annotated[
        str, typer.Option(envvar='MULBERRYWALK_ADVERTISE')
    ] = '',
    replicas: Annotated[str, typer.Option(envvar='MULBERRYWALK_REPLICAS')] = '',
    statsd: Annotated[str, typer.Option(envvar='MULBERRYWALK_STATSD')] = '',
    log_format: Annotated[
        str, typer.Option(envvar='MULBERRYWALK_LOG_FORMAT')
    ] = 'text',
    voters: Annotated[str, typer.Option(envvar='MULBERRYWALK_VOTERS')] = '3',
    repair_after_ms: Annotated[
        str, typer.Option(envvar='MULBERRYWALK_REPAIR_AFTER_MS')
    ] = '30000',
    snapshot_entries: Annotated[
        str, typer.Option(envvar='MULBERRYWALK_SNAPSHOT_ENTRIES')
    ] = '20000',
) -> None:
    """Run the replica of a data folder; an empty one joins as a spare."""
    checker = setting.Checker()
    if not folder:
        checker.errors.append('--data: a folder is needed')
    checked = Settings(
        name=checker.name('--name', name),
        data_centre=checker.name('--data-centre', data_centre),
        listen=checker.address('--listen', listen),
        advertise=checker.address('--advertise', advertise or listen),
        folder=pathlib.Path(folder),
        replicas=checker.addresses('--replicas', replicas),
        statsd=checker.optional_address('--statsd', statsd),
        log_format=checker.choice('--log-format', log_format, _LOG_FORMATS),
        policy=leader.MembershipPolicy(
            checker.number('--voters', voters, 1, 9),
            checker.number(
                '--repair-after-ms', repair_after_ms, 1000, _LONGEST_MS
            ),
        ),
        snapshot_entries=checker.number(
            '--snapshot-entries', snapshot_entries, 10, _MOST_ENTRIES
        ),
    )
    checker.finish()
    journal.open_log(is_json=checked.log_format == 'json')
    try:
        anyio.run(serve, checked, backend='asyncio')
    except* (storage.StorageError, OSError) as errors:
        for error in errors.exceptions:
            typer.echo(str(error), err=True)
        raise typer.Exit(_EXIT_STORAGE) from errors


def parse_founder(checker: setting.Checker, text: str) -> message.Member:
    """Return the member that NAME=HOST:PORT@DATA_CENTRE stands for."""
    name, _, rest = text.partition('=')
    address, _, data_centre = rest.partition('@')
    return message.Member(
        identity=message.ReplicaId(checker.name('--founders', name)),
        address=checker.address('--founders', address),
        data_centre=checker.name('--founders', data_centre),
        voter=True,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaComponents:
    """What an extension of the replica is composed with."""

    settings: Settings
    engine: engine.Engine
    leader: leader.Leader
    logger: journal.Journal
    metrics: metric.Exposition


class Extension(abc.ABC):
    """Adds interfaces of another kind to a replica."""

    @abc.abstractmethod
    async def run(self, parts: ReplicaComponents) -> None:
        """Serve until it is cancelled."""


class NoExtension(Extension):
    """The replica as it is."""

    async def run(self, parts: ReplicaComponents) -> None:
        """Do nothing."""


async def serve(settings: Settings, extension: Extension | None = None) -> None:
    """Compose the replica and run it until a signal."""
    lines = journal.Journal(journal.Origin(settings.name, settings.data_centre))
    loaded = storage.load(settings.folder, settings.name)
    disk = storage.Disk(settings.folder, loaded)
    running = engine.Engine(
        loaded,
        disk,
        node.Timing(),
        lines,
        snapshot_entries=settings.snapshot_entries,
    )
    metrics = metric.Exposition(
        metric.connect(settings.statsd, f'mulberrywalk.{settings.name}')
    )
    statuses = status.Statuses(running, cost.Meter())
    leading = leader.Leader(running, lines, metrics, settings.policy, statuses)
    server = channel.Server(settings.listen)
    async with anyio.create_task_group() as group:
        peers = peer.Peers(running, lines, statuses, group)
        running.callbacks = _callbacks(peers, leading)
        await _start_server(server, peers, leading, lines)
        lines.record('replica running', loaded.identity.identity)
        group.start_soon(running.run)
        group.start_soon(leading.run)
        group.start_soon(_join_cell, settings, running, peers, lines)
        group.start_soon(_stop_on_signal, running, lines, group)
        extended = extension or NoExtension()
        parts = ReplicaComponents(settings, running, leading, lines, metrics)
        group.start_soon(extended.run, parts)
    await server.stop()
    disk.close()


async def _start_server(
    server: channel.Server,
    peers: peer.Peers,
    leading: leader.Leader,
    lines: journal.Journal,
) -> None:
    streams = {channel.PEER: peers.accept, channel.LINK: leading.links.accept}
    calls = _Calls(leading, lines)
    await server.start(
        MappingProxyType(streams),
        MappingProxyType(
            {
                channel.JOIN: calls.join,
                channel.TIMELINE: calls.show_timeline,
            }
        ),
    )


def _callbacks(peers: peer.Peers, leading: leader.Leader) -> engine.Callbacks:
    def changed() -> None:
        peers.close_removed()
        leading.update_role()

    return engine.Callbacks(peers.send, leading.carry_out, changed)


class _Calls:
    """The methods that are called once and answered."""

    def __init__(self, leading: leader.Leader, lines: journal.Journal) -> None:
        self._leader = leading
        self._journal = lines

    async def join(self, encoded: bytes) -> bytes:
        """Admit a spare."""
        request = msgspec.msgpack.decode(encoded, type=wire.JoinRequest)
        return msgspec.msgpack.encode(self._leader.join(request))

    async def show_timeline(self, encoded: bytes) -> bytes:
        """Return the lines that this replica keeps."""
        request = msgspec.msgpack.decode(encoded, type=wire.TimelineRequest)
        found = self._journal.find(request.wanted)
        return msgspec.msgpack.encode(wire.TimelineReply(tuple(found)))


async def _join_cell(
    settings: Settings,
    running: engine.Engine,
    peers: peer.Peers,
    lines: journal.Journal,
) -> None:
    """Ask to be admitted whenever no leader counts this replica in.

    A replica that was away for long may have been replaced meanwhile: its own
    log does not tell it.
    """
    member = message.Member(
        running.node.identity,
        settings.advertise,
        settings.data_centre,
        voter=False,
    )
    encoded = msgspec.msgpack.encode(wire.JoinRequest(member))
    asked = collections.deque(settings.replicas)
    is_counted = False
    while True:
        await anyio.sleep(_JOIN_S)
        if _is_counted_in(running):
            if not is_counted:
                lines.record('member of the cell', running.node.identity)
            is_counted = True
            continue
        is_counted = False
        known = (one.address for one in running.node.membership.members)
        asked.extend(one for one in known if one not in asked)
        address = asked[0]
        asked.rotate(-1)
        reply = await _ask_to_join(address, encoded)
        if reply.members:
            peers.learn_members(reply.members)
        if reply.leader:
            asked.appendleft(reply.leader)


async def _ask_to_join(address: str, encoded: bytes) -> wire.JoinReply:
    """Ask a replica to be admitted; one that is silent tells nothing."""
    try:
        return await channel.ask(address, channel.JOIN, encoded, wire.JoinReply)
    except ConnectionError:
        return wire.JoinReply(is_admitted=False, leader='')


def _is_counted_in(running: engine.Engine) -> bool:
    """Return whether this replica is a member and hears its leader."""
    replica = running.node
    is_member = replica.membership.find(replica.identity) is not None
    heard_ago = replica.now - replica.leader_contact_at
    is_led = replica.role is node.Role.LEADER or heard_ago < _UNHEARD_MS
    return is_member and is_led


async def _stop_on_signal(
    running: engine.Engine,
    lines: journal.Journal,
    group: TaskGroup,
) -> None:
    """Hand over and stop on SIGTERM; a second signal stops at once."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            lines.record('stopping')
            group.start_soon(_hand_over, running, group)
            break
        async for _ in signals:
            group.cancel_scope.cancel()


async def _hand_over(running: engine.Engine, group: TaskGroup) -> None:
    with anyio.move_on_after(_HANDOVER_S):
        running.enqueue(node.HandoverProposed())
        while running.node.role is node.Role.LEADER:
            await anyio.sleep(_POLL_S)
    group.cancel_scope.cancel()


def main() -> None:
    """Run the command line."""
    application()


if __name__ == '__main__':
    main()
