"""What the platform's messages may say, in ranges with their units.

They are wider than anything that a worker, an operator or a caller has to say,
and narrow enough for all that is computed from them to be kept in the log.
"""

from __future__ import annotations

import re
from typing import Annotated, TypeAlias, TypeGuard

import msgspec

from ..core import job

# The largest whole number of 64 bits with a sign, which the log holds.
MAX_INTEGER = job.MAX_INT64
# The last millisecond of the year 9999, counted from 1970.
MAX_TIME_MS = 253_402_300_799_999
# Thousandths of a core: a million cores.
MAX_MILLICORES = 1_000_000_000
_BYTES_PER_MIB = 1_048_576
MAX_MEMORY_MIB = job.MAX_MEMORY_BYTES // _BYTES_PER_MIB
# Characters of a name, a label or an id.
MAX_TEXT_LENGTH = 256
MAX_LABELS = 64
MAX_FACTOR = 1_000_000
# Rows of one listing; a worker lists no more than 500 ends at a time.
MAX_ROWS = 10_000
# Characters of what an attempt has saved.
MAX_CHECKPOINT_LENGTH = 65_536

_PORT = re.compile('[0-9]{1,5}')
_MAX_PORT = 65_535
_OCTET = '(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])'
_IPV4_ADDRESS = re.compile(rf'({_OCTET}\.){{3}}{_OCTET}')
# An id goes into paths and headers.
_WORKER_ID = re.compile(f'[!-~]{{1,{MAX_TEXT_LENGTH}}}')

Port: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]
Integer: TypeAlias = job.Int64
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
# Milliseconds since 1970 of something that has happened.
Timestamp: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=MAX_TIME_MS)]
# Milliseconds of a length of time, or of a worker's own clock.
Duration: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
# Milliseconds that may be told as passed already.
SignedDuration: TypeAlias = Annotated[
    float, msgspec.Meta(ge=-MAX_TIME_MS, le=MAX_TIME_MS)
]
# Times of its longest chain of work that a job may take.
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


def is_address(text: str) -> bool:
    """Return whether a text is an address to call: IPv4:port."""
    host, _, port = text.rpartition(':')
    if not _IPV4_ADDRESS.fullmatch(host) or not _PORT.fullmatch(port):
        return False
    return 0 < int(port) <= _MAX_PORT


def is_worker_id(text: str) -> bool:
    """Return whether a text can be the id of a worker."""
    return bool(_WORKER_ID.fullmatch(text))


def is_task_name(told: object) -> TypeGuard[str]:
    """Return whether something can be the name of a task."""
    return isinstance(told, str) and 0 < len(told) <= MAX_TEXT_LENGTH


def is_count(told: object) -> TypeGuard[int]:
    """Return whether something is a whole number that the log holds."""
    # A truth value is an integer too.
    if not isinstance(told, int) or isinstance(told, bool):
        return False
    return 0 <= told <= MAX_INTEGER
