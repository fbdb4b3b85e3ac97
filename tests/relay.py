"""A TCP relay in front of each process, to cut and to silence connections."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import threading
from collections.abc import Callable

CHUNK_BYTES = 65_536
_HEXADECIMAL = 16
_INODE_COLUMN = 9
_LOCAL_ADDRESS_COLUMN = 1

PidSource = Callable[[], dict[str, int]]


@dataclasses.dataclass(eq=False)
class Connection:
    """One relayed connection; swallowed bytes go nowhere, for ever.

    source is found out only while connections are to be told apart, because
    that reads the tables of all sockets; None while it is not known.
    """

    port: int
    destination: str
    source: str | None = None
    is_blackholed: bool = False


class Network:
    """Relays for all processes of a cell, run by a thread of its own."""

    def __init__(self, pids: PidSource) -> None:
        """Start the thread; pids names the processes that may connect."""
        self._pids = pids
        self._partitions: list[set[str]] = []
        self._inbound_blocked: set[str] = set()
        self._connections: set[Connection] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()

    def add_relay(self, destination: str, address: str, port: int) -> str:
        """Listen on a port for a process and return the new address."""
        listening = self._listen(destination, address, port)
        asyncio.run_coroutine_threadsafe(listening, self._loop).result()
        return f'127.0.0.1:{port}'

    def isolate(self, *names: str) -> None:
        """Let no byte through between these processes and the others."""
        self._resolve_sources()
        self._partitions.append(set(names))
        asyncio.run_coroutine_threadsafe(
            self._resolve_periodically(), self._loop
        )

    def block_inbound(self, name: str) -> None:
        """Let no connection to a process work; its own ones do."""
        self._inbound_blocked.add(name)

    def heal(self) -> None:
        """Let new connections through; bytes lost before stay lost."""
        for connection in list(self._connections):
            if self._is_blocked(connection):
                connection.is_blackholed = True
        self._partitions.clear()
        self._inbound_blocked.clear()

    def blackhole(self, name: str) -> None:
        """Swallow all bytes of the connections that now touch a process."""
        self._resolve_sources()
        for connection in list(self._connections):
            if name in {connection.source, connection.destination}:
                connection.is_blackholed = True

    def stop(self) -> None:
        """End the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _listen(self, destination: str, address: str, port: int) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            port = writer.get_extra_info('peername')[1]
            connection = Connection(port, destination)
            self._connections.add(connection)
            await self._forward(connection, address, reader, writer)
            self._connections.discard(connection)

        await asyncio.start_server(serve, '127.0.0.1', port)

    async def _forward(
        self,
        connection: Connection,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, _, port = address.rpartition(':')
        while self._is_blocked(connection) or self._is_unresolved(connection):
            await asyncio.sleep(0.05)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy(connection, reader, far_writer),
            self._copy(connection, far_reader, writer),
        )

    async def _copy(
        self,
        connection: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self._is_blocked(connection):
                    connection.is_blackholed = True
                if not connection.is_blackholed:
                    writer.write(chunk)
                    await writer.drain()
        except OSError:
            connection.is_blackholed = False
        if not connection.is_blackholed:
            writer.close()

    async def _resolve_periodically(self) -> None:
        while self._partitions:
            await asyncio.to_thread(self._resolve_sources)
            await asyncio.sleep(0.3)

    def _is_unresolved(self, connection: Connection) -> bool:
        return bool(self._partitions) and connection.source is None

    def _is_blocked(self, connection: Connection) -> bool:
        is_partitioned = any(
            (connection.source in group) != (connection.destination in group)
            for group in self._partitions
        )
        return is_partitioned or connection.destination in self._inbound_blocked

    def _resolve_sources(self) -> None:
        """Find the processes at the near ends of all connections."""
        unresolved = [
            one for one in list(self._connections) if one.source is None
        ]
        owners = {
            inode: name
            for name, pid in list(self._pids().items())
            for inode in _sockets_of(pid)
        }
        inodes = _inodes_by_port()
        for connection in unresolved:
            inode = inodes.get(connection.port, '')
            connection.source = owners.get(inode, '')


def _inodes_by_port() -> dict[int, str]:
    tables = [pathlib.Path('/proc/net/tcp'), pathlib.Path('/proc/net/tcp6')]
    rows = [
        line.split()
        for table in tables
        for line in table.read_text().splitlines()[1:]
    ]
    return {
        _port_of(
            columns[_LOCAL_ADDRESS_COLUMN]
        ): f'socket:[{columns[_INODE_COLUMN]}]'
        for columns in rows
        if columns[_INODE_COLUMN] != '0'
    }


def _port_of(address: str) -> int:
    return int(address.rpartition(':')[2], _HEXADECIMAL)


def _sockets_of(pid: int) -> set[str]:
    try:
        links = list(pathlib.Path(f'/proc/{pid}/fd').iterdir())
    except OSError:
        return set()
    return {_target_of(link) for link in links}


def _target_of(link: pathlib.Path) -> str:
    try:
        return str(link.readlink())
    except OSError:
        return ''
