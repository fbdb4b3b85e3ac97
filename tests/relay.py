"""TCP relays in front of processes, to partition and blackhole connections."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import threading
from collections.abc import Callable

CHUNK_BYTES = 65_536
_HEX_BASE = 16
_INODE_COLUMN = 9
_LOCAL_ADDRESS_COLUMN = 1

PidSource = Callable[[], dict[str, int]]


@dataclasses.dataclass(eq=False)
class Connection:
    """One relayed connection; a blackholed one discards all further bytes.

    source is the name of the connecting process, empty for a process outside
    the cell and None while unresolved. It is resolved only when a fault needs
    it, because that reads the socket tables of the whole system.
    """

    port: int
    destination: str
    source: str | None = None
    is_blackholed: bool = False


class Network:
    """Relays for the processes of a cell, run in a separate thread."""

    def __init__(self, pids: PidSource) -> None:
        """Start the thread; pids returns the pid of each process by name."""
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
        """Relay a port to the address of a process; returns the new address."""
        listening = self._listen(destination, address, port)
        asyncio.run_coroutine_threadsafe(listening, self._loop).result()
        return f'127.0.0.1:{port}'

    def isolate(self, *names: str) -> None:
        """Block all traffic between these processes and all others."""
        self._resolve_sources()
        self._partitions.append(set(names))
        asyncio.run_coroutine_threadsafe(
            self._resolve_periodically(), self._loop
        )

    def block_inbound(self, name: str) -> None:
        """Block connections to a process; those it opens still work."""
        self._inbound_blocked.add(name)

    def heal(self) -> None:
        """Unblock new connections; those blocked until now stay blackholed."""
        for connection in list(self._connections):
            if self._is_blocked(connection):
                connection.is_blackholed = True
        self._partitions.clear()
        self._inbound_blocked.clear()

    def blackhole(self, name: str) -> None:
        """Discard all further bytes of the open connections of a process."""
        self._resolve_sources()
        for connection in list(self._connections):
            if name in {connection.source, connection.destination}:
                connection.is_blackholed = True

    def stop(self) -> None:
        """Stop the thread."""
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
            remote_reader, remote_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy(connection, reader, remote_writer),
            self._copy(connection, remote_reader, writer),
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
        """Find the processes that opened the unresolved connections."""
        unresolved = [
            one for one in list(self._connections) if one.source is None
        ]
        owners = {
            inode: name
            for name, pid in list(self._pids().items())
            for inode in _list_sockets(pid)
        }
        inodes = _read_inodes_by_port()
        for connection in unresolved:
            inode = inodes.get(connection.port, '')
            connection.source = owners.get(inode, '')


def _read_inodes_by_port() -> dict[int, str]:
    tables = [pathlib.Path('/proc/net/tcp'), pathlib.Path('/proc/net/tcp6')]
    rows = [
        line.split()
        for table in tables
        for line in table.read_text().splitlines()[1:]
    ]
    return {
        _parse_port(
            columns[_LOCAL_ADDRESS_COLUMN]
        ): f'socket:[{columns[_INODE_COLUMN]}]'
        for columns in rows
        if columns[_INODE_COLUMN] != '0'
    }


def _parse_port(address: str) -> int:
    return int(address.rpartition(':')[2], _HEX_BASE)


def _list_sockets(pid: int) -> set[str]:
    try:
        links = list(pathlib.Path(f'/proc/{pid}/fd').iterdir())
    except OSError:
        return set()
    return {_read_link(link) for link in links}


def _read_link(link: pathlib.Path) -> str:
    try:
        return str(link.readlink())
    except OSError:
        return ''
