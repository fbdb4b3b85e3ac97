"""The resource usage of a process: CPU time, memory, control traffic."""

from __future__ import annotations

import resource

import msgspec

_BYTES_PER_KIB = 1024
_MS_PER_S = 1000


class Cost(msgspec.Struct, frozen=True):
    """Resource usage since the process started; memory_bytes is the peak.

    sent_bytes and received_bytes count messages between processes of the
    system, without the framing of the transport.
    """

    processor_ms: int = 0
    memory_bytes: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class Meter:
    """Counts the control traffic of this process."""

    def __init__(self) -> None:
        """Start with zero bytes."""
        self._sent_bytes = 0
        self._received_bytes = 0

    def count_sent(self, size: int) -> None:
        """Add the size of a sent message, in bytes."""
        self._sent_bytes += size

    def count_received(self, size: int) -> None:
        """Add the size of a received message, in bytes."""
        self._received_bytes += size

    def read(self) -> Cost:
        """Return the resource usage so far."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return Cost(
            round((usage.ru_utime + usage.ru_stime) * _MS_PER_S),
            usage.ru_maxrss * _BYTES_PER_KIB,
            self._sent_bytes,
            self._received_bytes,
        )
