"""The link between two regions: a limited rate for all traffic together.

Replicas are started with the variable grpc_proxy of their gRPC library, so
that they open their connections through the proxy of this module (HTTP
CONNECT). Nothing else of a process changes. Connections between the regions
share the rate of the page, each way; those within a region are not limited.
"""

import socket
import threading
import time

CHUNK_BYTES = 16_384
# Small windows: a sender has little more than this under way.
WINDOW_BYTES = 65_536


class Shaper:
    """One direction of the link; senders take turns, chunk by chunk."""

    def __init__(self, mbit_per_s):
        self._bytes_per_s = mbit_per_s * 1_000_000 / 8
        self._lock = threading.Lock()
        self._free_at = 0.0
        self.sent_bytes = 0

    def wait(self, size):
        with self._lock:
            now = time.monotonic()
            self._free_at = max(now, self._free_at) + size / self._bytes_per_s
            self.sent_bytes += size
            due = self._free_at
        time.sleep(max(0, due - time.monotonic()))


class RegionProxy:
    """A proxy for the processes of one region."""

    def __init__(self, host, region_of, own_region, shapers):
        """region_of gives the region of an address of the system.

        shapers are by (from region, to region).
        """
        self._region_of = region_of
        self._own = own_region
        self._shapers = shapers
        self._listener = socket.socket()
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self._listener.bind((host, 0))
        self._listener.listen(128)
        port = self._listener.getsockname()[1]
        self.url = f'http://{host}:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                source, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(source,), daemon=True).start()

    def _serve(self, source):
        try:
            head = b''
            while b'\r\n\r\n' not in head:
                chunk = source.recv(4096)
                if not chunk:
                    source.close()
                    return
                head += chunk
            address = head.split()[1].decode()
            host, _, port = address.rpartition(':')
            target = socket.socket()
            target.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            target.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, WINDOW_BYTES)
            target.settimeout(2)
            target.connect((host, int(port)))
            target.settimeout(None)
            source.sendall(b'HTTP/1.1 200 OK\r\n\r\n')
        except OSError:
            source.close()
            return
        source.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, WINDOW_BYTES)
        for one in (source, target):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        other = self._region_of(host)
        out = self._shapers.get((self._own, other))
        back = self._shapers.get((other, self._own))
        threading.Thread(target=self._copy, args=(source, target, out),
                         daemon=True).start()
        self._copy(target, source, back)

    def _copy(self, source, target, shaper):
        try:
            while chunk := source.recv(CHUNK_BYTES):
                if shaper is not None:
                    shaper.wait(len(chunk))
                target.sendall(chunk)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            for one in (source, target):
                one.close()
