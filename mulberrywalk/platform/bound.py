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
MOST_WHOLE = job.MAX_INT64
# The last millisecond of the year 9999, counted from 1970.
LAST_MS = 253_402_300_799_999
# Thousandths of a core: a million cores.
MOST_MILLICORES = 1_000_000_000
_BYTES_PER_MIB = 1_048_576
MOST_MIB = job.MAX_MEMORY_BYTES // _BYTES_PER_MIB
# Characters of a name, a label or an id.
MOST_TEXT = 256
MOST_LABELS = 64
MOST_FACTOR = 1_000_000
# Rows of one listing; a worker lists no more than 500 ends at a time.
MOST_ROWS = 10_000
# Characters of what an attempt has saved.
MOST_SAVED = 65_536

_PORT = re.compile('[0-9]{1,5}')
_LAST_PORT = 65_535
_OCTET = '(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])'
_HOST = re.compile(rf'({_OCTET}\.){{3}}{_OCTET}')
# An id goes into paths and headers.
_ID = re.compile(f'[!-~]{{1,{MOST_TEXT}}}')

Port: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=_LAST_PORT)]
Whole: TypeAlias = job.Int64
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MOST_WHOLE)]
# Milliseconds since 1970 of something that has happened.
Moment: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=LAST_MS)]
# Milliseconds of a length of time, or of a worker's own clock.
Span: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=LAST_MS)]
# Milliseconds that may be told as passed already.
Rest: TypeAlias = Annotated[float, msgspec.Meta(ge=-LAST_MS, le=LAST_MS)]
# Times of its longest chain of work that a job may take.
Factor: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MOST_FACTOR)]
Millicores: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MOST_MILLICORES)]
Mebibytes: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MOST_MIB)]
Accelerators: TypeAlias = Annotated[
    int, msgspec.Meta(ge=0, le=job.MAX_ACCELERATORS)
]
Text: TypeAlias = Annotated[str, msgspec.Meta(max_length=MOST_TEXT)]
Labels: TypeAlias = Annotated[
    tuple[Text, ...], msgspec.Meta(max_length=MOST_LABELS)
]
Rows: TypeAlias = Annotated[
    tuple[tuple[object, ...], ...], msgspec.Meta(max_length=MOST_ROWS)
]


def is_address(text: str) -> bool:
    """Return whether a text is an address to call: IPv4:port."""
    host, _, port = text.rpartition(':')
    if not _HOST.fullmatch(host) or not _PORT.fullmatch(port):
        return False
    return 0 < int(port) <= _LAST_PORT


def is_id(text: str) -> bool:
    """Return whether a text can be the id of a worker."""
    return bool(_ID.fullmatch(text))


def is_name(told: object) -> TypeGuard[str]:
    """Return whether something can be the name of a task."""
    return isinstance(told, str) and 0 < len(told) <= MOST_TEXT


def is_count(told: object) -> TypeGuard[int]:
    """Return whether something is a whole number that the log holds."""
    # A truth value is an integer too.
    if not isinstance(told, int) or isinstance(told, bool):
        return False
    return 0 <= told <= MOST_WHOLE
