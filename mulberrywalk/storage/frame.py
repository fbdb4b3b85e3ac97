"""Framing of records in a file: length, CRC-32C, payload."""

from __future__ import annotations

import dataclasses
import struct

import google_crc32c

_HEADER = struct.Struct('<II')


@dataclasses.dataclass(frozen=True, slots=True)
class Frames:
    """Payloads read from a file and where the intact part ends, in bytes.

    is_damaged tells that intact frames follow the first bad one, so that the
    file was damaged in the middle and not merely cut while being written.
    """

    payloads: list[bytes]
    intact_length: int
    is_damaged: bool


def pack(payload: bytes) -> bytes:
    """Return the frame of one payload."""
    header = _HEADER.pack(len(payload), google_crc32c.value(payload))
    return b''.join((header, payload))


def unpack(blob: bytes) -> Frames:
    """Return the payloads of the intact frames at the start of a file."""
    payloads: list[bytes] = []
    offset = 0
    while True:
        payload = _read(blob, offset)
        if payload is None:
            break
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return Frames(payloads, offset, _has_frame_after(blob, offset))


def _read(blob: bytes, offset: int) -> bytes | None:
    if offset + _HEADER.size > len(blob):
        return None
    length, checksum = _HEADER.unpack_from(blob, offset)
    start = offset + _HEADER.size
    # Told before anything is copied: in search of an intact frame, most
    # lengths are arbitrary bytes.
    if not length or start + length > len(blob):
        return None
    payload = blob[start : start + length]
    if google_crc32c.value(payload) != checksum:
        return None
    return payload


def _has_frame_after(blob: bytes, offset: int) -> bool:
    # The header of the bad frame may be intact: then its end is known, and
    # the file was cut there unless another intact frame follows.
    if offset + _HEADER.size > len(blob):
        return False
    length, _ = _HEADER.unpack_from(blob, offset)
    following = offset + _HEADER.size + length
    if _read(blob, following) is not None:
        return True
    return any(
        _read(blob, start) is not None
        for start in range(offset + 1, len(blob) - _HEADER.size)
    )
