"""The events of one process for the time line, and its log lines."""

from __future__ import annotations

import collections
import dataclasses
import sys
from collections.abc import Iterable

import loguru
import msgspec

from . import clock

_KEPT = 50_000
_TEXT_FORMAT = (
    '{time:HH:mm:ss.SSS} {level: <7} {extra[process]} '
    '{extra[data_centre]} {message} {extra[ids]}'
)


class Line(msgspec.Struct, frozen=True):
    """One event of the time line; clock is a hybrid logical stamp."""

    clock: int
    process: str
    data_centre: str
    what: str
    job: str = ''
    task: str = ''
    attempt: str = ''
    target: str = ''
    detail: str = ''


class Filter(msgspec.Struct, frozen=True):
    """Which lines are wanted; empty fields match all.

    since and until are milliseconds since 1970, until zero for no end.
    """

    job: str = ''
    task: str = ''
    target: str = ''
    since: int = 0
    until: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The process that writes, and where it runs."""

    process: str
    data_centre: str


class Journal:
    """Keeps the latest lines of a process and writes them to its log."""

    def __init__(self, origin: Origin) -> None:
        """Start empty; the log names the origin on each line."""
        self.origin = origin
        self.clock = clock.HybridClock()
        self._lines: collections.deque[Line] = collections.deque(maxlen=_KEPT)
        self._logger = loguru.logger.bind(
            process=origin.process, data_centre=origin.data_centre, ids={}
        )

    def record(self, what: str, detail: str = '', **ids: str) -> None:
        """Add an event about the jobs, tasks, attempts or targets named."""
        line = Line(
            self.clock.read(),
            self.origin.process,
            self.origin.data_centre,
            what,
            detail=detail,
            **ids,
        )
        self.keep(line)

    def keep(self, line: Line) -> None:
        """Add a line as it is, also one that a target has sent."""
        self._lines.append(line)
        present = {
            name: text
            for name, text in msgspec.structs.asdict(line).items()
            if text and name in {'job', 'task', 'attempt', 'target', 'clock'}
        }
        message = f'{line.what} {line.detail}'.strip()
        self._logger.bind(ids=present).info(message)

    def warn(self, message: str) -> None:
        """Log something an operator should look at."""
        self._logger.warning(message)

    def find(self, wanted: Filter) -> list[Line]:
        """Return the lines kept that match."""
        return select(self._lines, wanted)


def select(lines: Iterable[Line], wanted: Filter) -> list[Line]:
    """Return the lines that match a filter."""
    return [line for line in lines if _matches(line, wanted)]


def merge(collected: Iterable[Line]) -> list[Line]:
    """Return lines of several processes once each, in causal order."""
    return sorted(set(collected), key=lambda line: (line.clock, line.process))


def open_log(*, is_json: bool) -> None:
    """Send the log of this process to standard error."""
    loguru.logger.remove()
    if is_json:
        loguru.logger.add(sys.stderr, serialize=True)
    else:
        loguru.logger.add(sys.stderr, format=_TEXT_FORMAT)


def _matches(line: Line, wanted: Filter) -> bool:
    at = clock.wall_of(line.clock)
    if at < wanted.since or (wanted.until and at > wanted.until):
        return False
    job = line.job or line.task.split('.')[0]
    return (
        wanted.job in {'', job}
        and wanted.task in {'', line.task}
        and wanted.target in {'', line.target}
    )
