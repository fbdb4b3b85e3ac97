"""The versioned configuration of a cell, and patches of it."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
from typing import Annotated, Any

import msgspec

from . import job, resource

NORMAL_WEIGHT = 100
# Default shares in parts per million, default queue limits in tasks per team.
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

    weight sets the team's fair share among the active teams; retry_percent
    is the number of retries that a hundred completed attempts allow.
    """

    weight: Positive = NORMAL_WEIGHT
    quota: Share = resource.PARTS_PER_MILLION
    retry_percent: Count = 20


class ClassLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one urgency; floor is its guaranteed share of the cell."""

    floor: Share
    queued_tasks_per_team: Positive


class Quarantine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """After how many failures a target is quarantined, and for how long."""

    failures: Positive = 3
    first_ms: Duration = 5000
    longest_ms: Duration = 600_000


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings that an operator can change while the cell runs."""

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
    """A queue of workflows and the settings of its jobs.

    Callers address a queue by host and path prefix. timeout_ms limits a call;
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
    is_public: bool = False


class Team(msgspec.Struct, frozen=True):
    """A team whose callers authenticate with one of its keys.

    weight sets its fair share among the active teams. limit is what it may
    hold over all targets at a time, zero of a resource for no limit.
    millijobs_per_s is its agreed submission rate, in thousandths of a job per
    second.
    """

    name: job.Name
    keys: tuple[str, ...] = ()
    weight: Positive = NORMAL_WEIGHT
    limit: resource.Resources = resource.NOTHING
    millijobs_per_s: Count = 0


class PoolSettings(msgspec.Struct, frozen=True):
    """A group of targets; a standby pool is disabled."""

    name: str
    is_standby: bool = False


class Routing(msgspec.Struct, frozen=True):
    """The queues and pools, replaced as a whole under the operator's version.

    source is the document as the operator sent it, returned when it is read.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    pools: tuple[PoolSettings, ...] = ()
    max_body_bytes: int = 0
    source: str = ''
    teams: tuple[Team, ...] = ()

    def find_queue(self, name: str) -> Queue | None:
        """Return the queue with this name, or None."""
        return next(
            (queue for queue in self.queues if queue.name == name), None
        )


class Configuration(msgspec.Struct, frozen=True):
    """A document and a routing with a common version.

    The version starts at one and increases by one with each change of either.
    """

    version: int
    document: Document
    routing: Routing = Routing()


@dataclasses.dataclass(frozen=True, slots=True)
class PatchRejected:
    """A patch that is invalid; reason names the field."""

    reason: str


def patch(
    document: Document, changes: dict[str, Any]
) -> Document | PatchRejected:
    """Apply a JSON merge patch; return the document, or why it is invalid."""
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
    """Apply a JSON merge patch (RFC 7396) and return the result."""
    if not isinstance(changes, dict):
        return changes
    merged = dict(base) if isinstance(base, dict) else {}
    for name, change in changes.items():
        if change is None:
            merged.pop(name, None)
        else:
            merged[name] = merge(merged.get(name), change)
    return merged


def hide_keys(current: Configuration) -> Configuration:
    """Return a configuration for display: without the keys of its teams.

    The operator's document is left out as well, because it contains the keys.
    """
    routing = current.routing
    if not routing.teams:
        return current
    teams = tuple(
        msgspec.structs.replace(team, keys=()) for team in routing.teams
    )
    shown = msgspec.structs.replace(routing, source='', teams=teams)
    return msgspec.structs.replace(current, routing=shown)


def team_limits(document: Document, team: str) -> TeamLimits:
    """Return the limits of a team, or the default limits if it has none."""
    return document.teams.get(team, document.default_team)


def digest(version: int, changes: dict[str, Any]) -> str:
    """Return a digest that identifies a patch by its version and changes."""
    body = msgspec.json.encode((version, changes), order='sorted')
    return hashlib.sha256(body).hexdigest()


def find_routing_error(routing: Routing) -> str:
    """Return why a routing is invalid, or the empty string."""
    pools = {pool.name for pool in routing.pools}
    without_pool = [
        queue.name for queue in routing.queues if queue.pool not in pools
    ]
    if without_pool:
        return f'queue {without_pool[0]} names an unknown pool'
    locations = collections.Counter(
        (queue.host, queue.path_prefix) for queue in routing.queues
    )
    duplicates = [
        location for location, count in locations.items() if count > 1
    ]
    if duplicates:
        return f'two queues share host and prefix {duplicates[0]}'
    without_timeout = [
        queue.name for queue in routing.queues if queue.timeout_ms <= 0
    ]
    if without_timeout:
        return f'queue {without_timeout[0]} has no timeout'
    if len({queue.name for queue in routing.queues}) < len(routing.queues):
        return 'two queues share a name'
    return _find_team_error(routing.teams)


def _find_team_error(teams: tuple[Team, ...]) -> str:
    """Return why the teams are invalid, without their keys, or ''."""
    owners: dict[str, str] = {}
    names: set[str] = set()
    for team in teams:
        if team.name in names:
            return f'two teams are named {team.name}'
        names.add(team.name)
        for key in team.keys:
            owner = owners.setdefault(key, team.name)
            if owner != team.name:
                return f'teams {owner} and {team.name} share a key'
    return ''
