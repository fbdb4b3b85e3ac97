"""Types, units and limits of the values in the platform's messages.

The limits exceed every value that workers, operators and callers need to send.
They are low enough that all values computed from them fit into the log.
"""

from __future__ import annotations

import re
from typing import Annotated, TypeAlias, TypeGuard

import msgspec

from ..core import job

# The largest signed 64-bit integer, which is the largest that the log holds.
MAX_INTEGER = job.MAX_INT64
# The last millisecond of the year 9999, in milliseconds since 1970.
MAX_TIME_MS = 253_402_300_799_999
# One million cores.
MAX_MILLICORES = 1_000_000_000
_BYTES_PER_MIB = 1_048_576
MAX_MEMORY_MIB = job.MAX_MEMORY_BYTES // _BYTES_PER_MIB
# Characters in a name, a label or an id.
MAX_TEXT_LENGTH = 256
MAX_LABELS = 64
MAX_FACTOR = 1_000_000
# Rows in a listing; a worker lists at most 500 ended attempts at a time.
MAX_ROWS = 10_000
# Characters in the checkpoint of an attempt.
MAX_CHECKPOINT_LENGTH = 65_536

_PORT = re.compile('[0-9]{1,5}')
_MAX_PORT = 65_535
_OCTET = '(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])'
_IPV4_ADDRESS = re.compile(rf'({_OCTET}\.){{3}}{_OCTET}')
# Printable ASCII without spaces, because paths and headers contain the id.
_WORKER_ID = re.compile(f'[!-~]{{1,{MAX_TEXT_LENGTH}}}')

Port: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]
Integer: TypeAlias = job.Int64
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
# Milliseconds since 1970 of an event in the past.
Timestamp: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=MAX_TIME_MS)]
# Milliseconds of a duration, or a reading of a worker's clock.
Duration: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
# Milliseconds of a duration or a time that may be in the past.
SignedDuration: TypeAlias = Annotated[
    float, msgspec.Meta(ge=-MAX_TIME_MS, le=MAX_TIME_MS)
]
# The allowed duration of a job as a multiple of its critical path.
Factor: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_FACTOR)]
Millicores: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_MILLICORES)]
Mebibytes: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_MEMORY_MIB)]
Accelerators: TypeAlias = Annotated[
    int, msgspec.Meta(ge=0, le=job.MAX_ACCELERATORS)
]
Text: TypeAlias = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]
Labels: TypeAlias = Annotated[
    tuple[Text, ...], msgspec.Meta(max_length=MAX_LABELS)
]
Rows: TypeAlias = Annotated[
    tuple[tuple[object, ...], ...], msgspec.Meta(max_length=MAX_ROWS)
]


class WireError(Exception):
    """A message is invalid; the error text says why."""


def is_address(text: str) -> bool:
    """Return whether the text is an address of the form IPv4:port."""
    host, _, port = text.rpartition(':')
    if not _IPV4_ADDRESS.fullmatch(host) or not _PORT.fullmatch(port):
        return False
    return 0 < int(port) <= _MAX_PORT


def is_worker_id(text: str) -> bool:
    """Return whether the text is a valid worker id."""
    return bool(_WORKER_ID.fullmatch(text))


def is_task_name(field: object) -> TypeGuard[str]:
    """Return whether the value is a valid task name."""
    return isinstance(field, str) and 0 < len(field) <= MAX_TEXT_LENGTH


def is_count(field: object) -> TypeGuard[int]:
    """Return whether the value is a non-negative integer for the log."""
    # bool is a subclass of int.
    if not isinstance(field, int) or isinstance(field, bool):
        return False
    return 0 <= field <= MAX_INTEGER
