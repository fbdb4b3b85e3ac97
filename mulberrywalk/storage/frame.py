"""Framing of records in a file: length, CRC-32C checksum, payload."""

from __future__ import annotations

import dataclasses
import struct

import google_crc32c

_HEADER = struct.Struct('<II')


@dataclasses.dataclass(frozen=True, slots=True)
class Frames:
    """Payloads of a file and the length of its intact part in bytes.

    is_damaged is set if intact frames follow the first bad one: the file was
    then damaged in the middle, not just truncated by an interrupted write.
    """

    payloads: list[bytes]
    intact_length: int
    is_damaged: bool


def pack(payload: bytes) -> bytes:
    """Return a payload with its frame header."""
    header = _HEADER.pack(len(payload), google_crc32c.value(payload))
    return b''.join((header, payload))


def unpack(blob: bytes) -> Frames:
    """Return the intact frames at the start of a file's contents."""
    payloads: list[bytes] = []
    offset = 0
    while True:
        payload = _read_frame(blob, offset)
        if payload is None:
            break
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return Frames(payloads, offset, _has_frame_after(blob, offset))


def _read_frame(blob: bytes, offset: int) -> bytes | None:
    if offset + _HEADER.size > len(blob):
        return None
    length, checksum = _HEADER.unpack_from(blob, offset)
    start = offset + _HEADER.size
    # Checked before the payload is copied: in a search for an intact frame,
    # most length fields are arbitrary bytes.
    if not length or start + length > len(blob):
        return None
    payload = blob[start : start + length]
    if google_crc32c.value(payload) != checksum:
        return None
    return payload


def _has_frame_after(blob: bytes, offset: int) -> bool:
    # If the header of the bad frame is intact, its length field gives the
    # position of the next frame: check that position first, then all others.
    # Without an intact frame after it, the file counts as truncated here.
    if offset + _HEADER.size > len(blob):
        return False
    length, _ = _HEADER.unpack_from(blob, offset)
    next_offset = offset + _HEADER.size + length
    if _read_frame(blob, next_offset) is not None:
        return True
    return any(
        _read_frame(blob, start) is not None
        for start in range(offset + 1, len(blob) - _HEADER.size)
    )
