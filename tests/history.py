"""Histories of callers and operators, and the checks over them."""

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
    """What one caller was told in the end of one request.

    is_interrupted tells that a connection broke while the request was open.
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
    """A patch of an operator; times are monotonic seconds."""

    request_id: str
    base_version: int
    outcome: str
    version: int
    began_at: float
    ended_at: float


@dataclasses.dataclass(frozen=True)
class ConfigurationRead:
    """A version of the configuration that an operator read."""

    version: int
    began_at: float
    ended_at: float


@dataclasses.dataclass
class History:
    """Everything that was recorded from outside."""

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
    """Return the requests that ran although they were said not to."""
    ran = {run.label for run in runs}
    return [
        f'{one.request_id} ran after it was refused'
        for one in submissions
        if one.outcome == 'not_run' and one.request_id in ran
    ]


def check_answers(submissions: Iterable[Submission]) -> list[str]:
    """Return the callers whose answer was not whole or not their own."""
    return [
        f'{one.request_id} got {answer!r}'
        for one in submissions
        if one.outcome == 'completed'
        for answer in _answers(one)
        if _label(answer) != one.request_id
    ]


def check_outcomes(submissions: Iterable[Submission]) -> list[str]:
    """Return the accepted jobs that came to no expected end.

    A cancelled job may have completed before; only a request that must not
    run twice may end as unknown, or as failed after its one run.
    """
    return [
        f'{one.request_id} ended as {one.outcome}'
        for one in submissions
        if one.outcome not in _expected_outcomes(one)
    ]


def check_interruptions(submissions: Iterable[Submission]) -> list[str]:
    """Return the requests that a planned stop has cut off."""
    return [
        f'{one.request_id} was cut off'
        for one in submissions
        if one.is_interrupted
    ]


def check_versions(history: History) -> list[str]:
    """Return where the configuration was not linearizable."""
    accepted = sorted(
        (one for one in history.patches if one.outcome == 'patch_accepted'),
        key=lambda patch: patch.version,
    )
    faults = [
        f'{one.request_id} did not amend the version that it named'
        for one in accepted
        if one.version != one.base_version + 1
    ]
    faults.extend(
        f'{left.request_id} and {right.request_id} gave one version'
        for left, right in itertools.pairwise(accepted)
        if left.version == right.version and left.request_id != right.request_id
    )
    faults.extend(
        f'{later.request_id} gave a version older than one accepted before'
        for earlier, later in itertools.permutations(accepted, 2)
        if earlier.ended_at < later.began_at and earlier.version > later.version
    )
    faults.extend(_check_reads(accepted, history.reads))
    return faults


def check_departures(path: pathlib.Path) -> list[str]:
    """Return the starts on a target more than 3 s after its notice.

    A target that has joined again since is not leaving any more.
    """
    faults: list[str] = []
    left: dict[str, int] = {}
    for line in map(json.loads, path.read_text().splitlines()):
        target = line['target']
        if line['what'] == 'leave':
            left[target] = line['at']
        elif line['what'] == 'join':
            left.pop(target, None)
        elif _is_late_start(line, left.get(target, audit.NEVER)):
            attempt = line['attempt']
            faults.append(f'{attempt} started on {target}, leaving')
    return faults


def _is_late_start(line: dict[str, Any], left_at: int) -> bool:
    return line['what'] == 'start' and line['at'] > left_at + DEPARTURE_GRACE_MS


def _check_reads(
    accepted: list[Patch], reads: list[ConfigurationRead]
) -> list[str]:
    faults = [
        f'version {read.version} was read after {patch.version}'
        for patch in accepted
        for read in reads
        if patch.ended_at < read.began_at and read.version < patch.version
    ]
    faults.extend(
        f'version {later.version} was read after {earlier.version}'
        for earlier, later in itertools.permutations(reads, 2)
        if earlier.ended_at < later.began_at and earlier.version > later.version
    )
    return faults


def _expected_outcomes(submission: Submission) -> set[str]:
    expected = {'completed', 'not_run'}
    if submission.is_cancelled:
        expected.add('cancelled')
    if not submission.is_idempotent:
        expected.update(('unknown', 'failed'))
    return expected


def _answers(submission: Submission) -> list[str]:
    return [task['answer'] for task in submission.body['tasks']]


def _label(answer: str) -> str:
    try:
        return str(json.loads(answer)['label'])
    except (ValueError, KeyError):
        return ''
