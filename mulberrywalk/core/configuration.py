"""The numbered configuration of a cell and its patches."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
from typing import Annotated, Any

import msgspec

from . import job, resource

NORMAL_WEIGHT = 100
# Shares in parts per million, queue bounds in tasks of one team.
_FLOOR = 150_000
_LOW_FLOOR = 50_000
_HEADROOM = 75_000
_SHORT_QUEUE = 2000
_LONG_QUEUE = 10_000

MAX_COUNT = 10_000_000
MAX_DURATION_MS = 604_800_000

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Share = Annotated[int, msgspec.Meta(ge=0, le=resource.PARTS_PER_MILLION)]
Duration = Annotated[int, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]


class TeamLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one team; shares are parts per million of the cell.

    weight sets the team's part among waiting teams; retry_percent how many
    retries it may cause for a hundred ended attempts.
    """

    weight: Positive = NORMAL_WEIGHT
    quota: Share = resource.PARTS_PER_MILLION
    retry_percent: Count = 20


class ClassLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one urgency; floor is its guaranteed part of the cell."""

    floor: Share
    queued_tasks_per_team: Positive


class Quarantine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When a failing target is set aside, and for how long."""

    failures: Positive = 3
    first_ms: Duration = 5000
    longest_ms: Duration = 600_000


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything an operator can set while the cell runs."""

    classes: dict[job.Urgency, ClassLimits] = msgspec.field(
        default_factory=lambda: {
            job.Urgency.CRITICAL: ClassLimits(_FLOOR, _SHORT_QUEUE),
            job.Urgency.HIGH: ClassLimits(_FLOOR, _SHORT_QUEUE),
            job.Urgency.NORMAL: ClassLimits(_FLOOR, _LONG_QUEUE),
            job.Urgency.LOW: ClassLimits(_LOW_FLOOR, _LONG_QUEUE),
        }
    )
    teams: dict[job.Name, TeamLimits] = msgspec.field(default_factory=dict)
    default_team: TeamLimits = TeamLimits()
    quarantine: Quarantine = Quarantine()
    max_failures: Positive = 3
    max_losses: Positive = 5
    retry_first_ms: Duration = 200
    retry_burst: Positive = 10
    gang_reservation_ms: Duration = 2000
    headroom: Share = _HEADROOM
    finished_retention_ms: Duration = 3_600_000
    finished_jobs: Positive = 20_000


class Queue(msgspec.Struct, frozen=True):
    """Where callers hand in workflows, and how these are served.

    Callers name a queue by host and path prefix. timeout_ms bounds a call,
    objective_ms and slack_percent set the objective of a job.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    urgency: job.Urgency
    timeout_ms: int
    objective_ms: int
    slack_percent: int
    max_failures: int
    advice: job.AdviceSettings | None = None


class PoolSettings(msgspec.Struct, frozen=True):
    """A group of targets; a standby pool is switched off."""

    name: str
    is_standby: bool = False


class Routing(msgspec.Struct, frozen=True):
    """The queues and pools, replaced as a whole under the caller's version.

    source is the document as the operator sent it, for reading it back.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    pools: tuple[PoolSettings, ...] = ()
    max_body_bytes: int = 0
    source: str = ''

    def find_queue(self, name: str) -> Queue | None:
        """Return the queue of a name, or None."""
        return next((one for one in self.queues if one.name == name), None)


class Configuration(msgspec.Struct, frozen=True):
    """A document, the routing beside it, and their common version.

    Versions count up from one with each change of either.
    """

    version: int
    document: Document
    routing: Routing = Routing()


@dataclasses.dataclass(frozen=True, slots=True)
class PatchRejected:
    """A patch that does not fit the schema, with the field it failed on."""

    reason: str


def patch(
    document: Document, changes: dict[str, Any]
) -> Document | PatchRejected:
    """Return the document after a JSON merge patch, or why it is invalid."""
    merged = merge(msgspec.to_builtins(document), changes)
    try:
        patched = msgspec.convert(merged, type=Document)
    except msgspec.ValidationError as error:
        return PatchRejected(str(error))
    floors = sum(limits.floor for limits in patched.classes.values())
    if floors > resource.PARTS_PER_MILLION:
        return PatchRejected('the floors exceed the cell - at `$.classes`')
    if set(patched.classes) != set(job.Urgency):
        return PatchRejected('each urgency needs limits - at `$.classes`')
    return patched


def merge(base: Any, changes: Any) -> Any:
    """Apply a JSON merge patch (RFC 7396) and return the outcome."""
    if not isinstance(changes, dict):
        return changes
    merged = dict(base) if isinstance(base, dict) else {}
    for name, change in changes.items():
        if change is None:
            merged.pop(name, None)
        else:
            merged[name] = merge(merged.get(name), change)
    return merged


def team_limits(document: Document, team: str) -> TeamLimits:
    """Return the limits of a team, the default ones where none are set."""
    return document.teams.get(team, document.default_team)


def digest(version: int, changes: dict[str, Any]) -> str:
    """Return a digest that tells one patch from another."""
    body = msgspec.json.encode((version, changes), order='sorted')
    return hashlib.sha256(body).hexdigest()


def find_routing_error(routing: Routing) -> str:
    """Return why a routing is invalid, or nothing."""
    pools = {pool.name for pool in routing.pools}
    unknown = [one.name for one in routing.queues if one.pool not in pools]
    if unknown:
        return f'queue {unknown[0]} names an unknown pool'
    places = collections.Counter(
        (one.host, one.path_prefix) for one in routing.queues
    )
    doubled = [place for place, count in places.items() if count > 1]
    if doubled:
        return f'two queues share host and prefix {doubled[0]}'
    endless = [one.name for one in routing.queues if one.timeout_ms <= 0]
    if endless:
        return f'queue {endless[0]} has no timeout'
    if len({one.name for one in routing.queues}) < len(routing.queues):
        return 'two queues share a name'
    return ''
