"""The numbered configuration of a cell and its patches."""

from __future__ import annotations

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


class Configuration(msgspec.Struct, frozen=True):
    """A document and its version; versions count up from one."""

    version: int
    document: Document


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
