"""Byte strings that are sent in parts, each of which is answered.

One part is under way at a time, so that what is sent beside it waits for no
more than one part. The answer tells how much is there, and the sender goes on
from that, also after a lost message or a broken stream.
"""

from __future__ import annotations

import dataclasses

import google_crc32c

# A part is made as large as the link carries in about this time.
PART_MS = 100
MIN_PART_BYTES = 16_384
MAX_PART_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """The size of a byte string, and its CRC-32C."""

    size: int
    checksum: int


def digest_of(payload: bytes) -> Digest:
    """Return the digest of a byte string."""
    return Digest(len(payload), google_crc32c.value(payload))


@dataclasses.dataclass(slots=True)
class Outgoing:
    """A byte string on its way to one receiver.

    received is what the receiver is known to have, in bytes. sent_at is when
    the last part was sent, in monotonic milliseconds.
    """

    payload: bytes
    received: int = 0
    sent_at: int = 0
    part_bytes: int = MIN_PART_BYTES

    def is_complete(self) -> bool:
        """Return whether the receiver has all of it."""
        return self.received >= len(self.payload)

    def take_part(self, now: int) -> bytes:
        """Return the part that follows what the receiver has."""
        self.sent_at = now
        return self.payload[self.received : self.received + self.part_bytes]

    def acknowledge(self, received: int, now: int) -> bool:
        """Record how much the receiver has; return whether that has changed.

        If not, the answer is to a copy of a part, and another one follows.
        """
        if received == self.received:
            return False
        elapsed_ms = max(1, now - self.sent_at)
        fitting = self.part_bytes * PART_MS // elapsed_ms
        self.part_bytes = min(max(MIN_PART_BYTES, fitting), MAX_PART_BYTES)
        self.received = min(received, len(self.payload))
        return True


@dataclasses.dataclass(slots=True)
class Incoming:
    """A byte string of which a part is there.

    at is when the last part came, in monotonic milliseconds.
    """

    digest: Digest
    at: int
    payload: bytearray = dataclasses.field(default_factory=bytearray)

    def add(self, offset: int, payload: bytes, now: int) -> int:
        """Add a part unless it leaves a gap; return how many bytes are there.

        A part that reaches beyond the end is dropped with all before it.
        """
        self.at = now
        if offset == len(self.payload):
            self.payload += payload
        if len(self.payload) > self.digest.size:
            self.payload.clear()
        return len(self.payload)

    def is_whole(self) -> bool:
        """Return whether all bytes are there."""
        return len(self.payload) == self.digest.size

    def take(self) -> bytes | None:
        """Return the payload, None after dropping one that is damaged."""
        payload = bytes(self.payload)
        self.payload.clear()
        return payload if digest_of(payload) == self.digest else None
