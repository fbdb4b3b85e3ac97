"""Recorded histories of callers and operators, and checks on them."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import json
import pathlib
from collections.abc import Iterable
from typing import Any

from demo import audit

DEPARTURE_GRACE_MS = 3000


@dataclasses.dataclass(frozen=True)
class Submission:
    """The final outcome of one request as its caller saw it.

    is_interrupted is set if a connection broke while the request was pending.
    """

    request_id: str
    is_idempotent: bool
    is_cancelled: bool
    outcome: str
    job: str
    body: dict[str, Any]
    is_interrupted: bool = False


@dataclasses.dataclass(frozen=True)
class Patch:
    """A configuration patch of an operator; times are monotonic seconds."""

    request_id: str
    base_version: int
    outcome: str
    version: int
    began_at: float
    ended_at: float


@dataclasses.dataclass(frozen=True)
class ConfigurationRead:
    """A configuration version read by an operator; monotonic seconds."""

    version: int
    began_at: float
    ended_at: float


@dataclasses.dataclass
class History:
    """Everything that the clients of a cell recorded."""

    submissions: list[Submission] = dataclasses.field(default_factory=list)
    patches: list[Patch] = dataclasses.field(default_factory=list)
    reads: list[ConfigurationRead] = dataclasses.field(default_factory=list)


def check_single_runs(
    submissions: Iterable[Submission], runs: Iterable[audit.Run]
) -> list[str]:
    """Return the non-idempotent requests that ran more than once."""
    counts = collections.Counter(run.label for run in runs)
    return [
        f'{one.request_id} ran {counts[one.request_id]} times'
        for one in submissions
        if not one.is_idempotent and counts[one.request_id] > 1
    ]


def check_refusals(
    submissions: Iterable[Submission], runs: Iterable[audit.Run]
) -> list[str]:
    """Return the requests that ran although they were reported as not run."""
    ran = {run.label for run in runs}
    return [
        f'{one.request_id} ran after it was refused'
        for one in submissions
        if one.outcome == 'not_run' and one.request_id in ran
    ]


def check_answers(submissions: Iterable[Submission]) -> list[str]:
    """Return the requests whose answer was malformed or of another request."""
    return [
        f'{one.request_id} got {answer!r}'
        for one in submissions
        if one.outcome == 'completed'
        for answer in _get_answers(one)
        if _get_label(answer) != one.request_id
    ]


def check_outcomes(submissions: Iterable[Submission]) -> list[str]:
    """Return the requests that ended with an unexpected outcome.

    A cancelled job may have completed first; only a non-idempotent request
    may end as unknown, or as failed after its only run.
    """
    return [
        f'{one.request_id} ended as {one.outcome}'
        for one in submissions
        if one.outcome not in _expected_outcomes(one)
    ]


def check_interruptions(submissions: Iterable[Submission]) -> list[str]:
    """Return the requests that were interrupted by a planned stop."""
    return [
        f'{one.request_id} was interrupted'
        for one in submissions
        if one.is_interrupted
    ]


def check_versions(history: History) -> list[str]:
    """Return the violations of linearizability of the configuration."""
    accepted = sorted(
        (one for one in history.patches if one.outcome == 'patch_accepted'),
        key=lambda patch: patch.version,
    )
    violations = [
        f'{one.request_id} does not follow the version it is based on'
        for one in accepted
        if one.version != one.base_version + 1
    ]
    violations.extend(
        f'{left.request_id} and {right.request_id} produced the same version'
        for left, right in itertools.pairwise(accepted)
        if left.version == right.version and left.request_id != right.request_id
    )
    violations.extend(
        f'{later.request_id} produced a version older than one accepted earlier'
        for earlier, later in itertools.permutations(accepted, 2)
        if earlier.ended_at < later.began_at and earlier.version > later.version
    )
    violations.extend(_check_reads(accepted, history.reads))
    return violations


def check_departures(path: pathlib.Path) -> list[str]:
    """Return the starts on a target later than 3 s after its departure notice.

    A target that has joined again since then is no longer leaving.
    """
    violations: list[str] = []
    leaving: dict[str, int] = {}
    for line in map(json.loads, path.read_text().splitlines()):
        target = line['target']
        if line['what'] == 'leave':
            leaving[target] = line['at']
        elif line['what'] == 'join':
            leaving.pop(target, None)
        elif _is_late_start(line, leaving.get(target, audit.NEVER)):
            attempt = line['attempt']
            violations.append(
                f'{attempt} started on {target} after its departure notice'
            )
    return violations


def _is_late_start(line: dict[str, Any], notice_at: int) -> bool:
    return (
        line['what'] == 'start' and line['at'] > notice_at + DEPARTURE_GRACE_MS
    )


def _check_reads(
    accepted: list[Patch], reads: list[ConfigurationRead]
) -> list[str]:
    violations = [
        f'version {read.version} was read after {patch.version}'
        for patch in accepted
        for read in reads
        if patch.ended_at < read.began_at and read.version < patch.version
    ]
    violations.extend(
        f'version {later.version} was read after {earlier.version}'
        for earlier, later in itertools.permutations(reads, 2)
        if earlier.ended_at < later.began_at and earlier.version > later.version
    )
    return violations


def _expected_outcomes(submission: Submission) -> set[str]:
    expected = {'completed', 'not_run'}
    if submission.is_cancelled:
        expected.add('cancelled')
    if not submission.is_idempotent:
        expected.update(('unknown', 'failed'))
    return expected


def _get_answers(submission: Submission) -> list[str]:
    return [task['answer'] for task in submission.body['tasks']]


def _get_label(answer: str) -> str:
    try:
        return str(json.loads(answer)['label'])
    except (ValueError, KeyError):
        return ''
