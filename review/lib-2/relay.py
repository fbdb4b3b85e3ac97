"""A TCP relay that delays, holds or resets what passes through it."""

from __future__ import annotations

import contextlib
import socket
import threading

_CHUNK = 65536


class Gate:
    """Lets bytes of one direction pass, or holds them back."""

    def __init__(self) -> None:
        """Start open."""
        self._open = threading.Event()
        self._open.set()

    def close(self) -> None:
        """Hold all bytes from now on."""
        self._open.clear()

    def open(self) -> None:
        """Let all bytes pass, those held back first."""
        self._open.set()

    def wait(self) -> None:
        """Wait until bytes may pass."""
        self._open.wait()


class Relay:
    """Listens on an address and relays each connection to another one.

    Bytes that are held count as lost packets of an open connection: they
    arrive once the link is back. A new connection needs both directions.
    """

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        """Listen on a free port of the host."""
        self._target = target
        self.towards = Gate()
        self.back = Gate()
        self._sockets: list[socket.socket] = []
        self._listener = socket.create_server((host, 0), backlog=128)
        self.port = self._listener.getsockname()[1]
        self.address = f'{host}:{self.port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def hold_all(self) -> None:
        """Hold both directions."""
        self.towards.close()
        self.back.close()

    def release_all(self) -> None:
        """Let both directions pass."""
        self.towards.open()
        self.back.open()

    def close(self) -> None:
        """Stop listening and end all connections."""
        self._listener.close()
        self.reset()
        self.release_all()

    def reset(self) -> None:
        """End all connections."""
        for one in list(self._sockets):
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
        self._sockets.clear()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(near,), daemon=True
            ).start()

    def _serve(self, near: socket.socket) -> None:
        self.towards.wait()
        self.back.wait()
        try:
            far = socket.create_connection(self._target, timeout=2)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for one in (near, far):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sockets += [near, far]
        forward = threading.Thread(
            target=_copy, args=(near, far, self.towards), daemon=True
        )
        forward.start()
        _copy(far, near, self.back)
        forward.join()
        for one in (near, far):
            one.close()
            with contextlib.suppress(ValueError):
                self._sockets.remove(one)


def _copy(source: socket.socket, sink: socket.socket, gate: Gate) -> None:
    with contextlib.suppress(OSError):
        while chunk := source.recv(_CHUNK):
            gate.wait()
            sink.sendall(chunk)
    gate.wait()
    with contextlib.suppress(OSError):
        sink.shutdown(socket.SHUT_WR)
