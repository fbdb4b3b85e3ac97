"""Authentication of callers by the keys of their teams.

The decision is a function of the request's header, its queue and the keys of
the routing in force. Keys are compared by digest, so that the index holds none.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import re
from collections.abc import Mapping
from types import MappingProxyType
from typing import TypeAlias

from ..core import configuration
from . import http

HEADER = 'authorization'
# The value of WWW-Authenticate in a response with status 401.
CHALLENGE = 'Token'
_SCHEME = b'token'
_MAX_KEY_BYTES = 256
_CONTROL_BYTE = re.compile(rb'[\x00-\x1f\x7f]')
# Characters of the digest in log lines; enough to tell the keys of a routing
# apart.
_SHOWN_DIGEST_LENGTH = 8


class Fault(enum.Enum):
    """Why a request is refused."""

    MISSING = 'missing'
    OTHER_SCHEME = 'other_scheme'
    MALFORMED = 'malformed'
    REPEATED = 'repeated'
    UNKNOWN_KEY = 'unknown_key'


_STATUSES = MappingProxyType(
    {
        Fault.MISSING: http.UNAUTHORIZED,
        Fault.OTHER_SCHEME: http.UNAUTHORIZED,
        Fault.MALFORMED: http.BAD_REQUEST,
        Fault.REPEATED: http.BAD_REQUEST,
        Fault.UNKNOWN_KEY: http.UNAUTHORIZED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """The owners of the keys of a routing, by digest of the key."""

    is_required: bool
    owners: Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """An accepted caller.

    team is empty on a public queue, and None when no key is checked because
    the routing has no teams.
    """

    team: str | None

    def shown(self) -> str:
        """Return the team for a log line, with a space before it, or ''."""
        return f' team={self.team}' if self.team else ''


# A caller whose key is not checked.
UNCHECKED = Caller(None)


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A refused caller; digest is that of the key, if the header has one."""

    fault: Fault
    digest: str = ''

    def status(self) -> int:
        """Return the HTTP status of the response."""
        return _STATUSES[self.fault]


# Before the first routing.
NO_KEYS = Keys(is_required=True, owners=MappingProxyType({}))

Decision: TypeAlias = Caller | Refusal


def index_keys(routing: configuration.Routing) -> Keys:
    """Return the index of the keys of a routing."""
    owners = {
        _digest(key.encode()): team.name
        for team in routing.teams
        for key in team.keys
    }
    return Keys(bool(routing.teams), owners)


def authenticate(
    request: http.Request,
    queue: configuration.Queue,
    keys: Keys,
    *,
    is_for_job: bool = True,
) -> Decision:
    """Return the caller of a request on a queue, or why it is refused.

    A request that is not for a job, such as a count, may come without a key.
    """
    if not keys.is_required:
        return UNCHECKED
    if queue.is_public:
        return Caller('')
    if HEADER in request.repeated:
        return Refusal(Fault.REPEATED)
    # Header values are decoded as Latin-1, which maps each byte to itself.
    header = request.headers.get(HEADER, '').encode('latin-1')
    if not header:
        return Refusal(Fault.MISSING) if is_for_job else Caller('')
    if _CONTROL_BYTE.search(header):
        return Refusal(Fault.MALFORMED)
    scheme, _, rest = header.partition(b' ')
    if scheme.lower() != _SCHEME:
        return Refusal(Fault.OTHER_SCHEME)
    return _find_owner(rest.strip(b' '), keys)


def _find_owner(key: bytes, keys: Keys) -> Decision:
    if not key:
        return Refusal(Fault.MISSING)
    if len(key) > _MAX_KEY_BYTES:
        return Refusal(Fault.MALFORMED)
    digest = _digest(key)
    owner = keys.owners.get(digest)
    if owner is None:
        return Refusal(Fault.UNKNOWN_KEY, digest[:_SHOWN_DIGEST_LENGTH])
    return Caller(owner)


def _digest(key: bytes) -> str:
    return hashlib.sha256(key).hexdigest()
