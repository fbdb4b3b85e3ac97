"""The events of one process for the time line, and its log lines."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import os
import sys
from collections.abc import Iterable
from typing import Annotated, Any

import loguru
import msgspec

from . import clock

_MAX_LINES = 50_000
_MS_PER_S = 1000
# Lines of one kind that a process writes in a second.
_LINES_PER_SECOND = 200
# The last millisecond of the year 9999, counted from 1970.
_MAX_TIME_MS = 253_402_300_799_999
_TIME = msgspec.Meta(ge=0, le=_MAX_TIME_MS)


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
    since: Annotated[int, _TIME] = 0
    until: Annotated[int, _TIME] = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The process that writes, and where it runs."""

    process: str
    data_centre: str


class LineRateLimiter:
    """Bounds the log lines of each kind, and counts those left out."""

    def __init__(self) -> None:
        """Start a first second."""
        self._second = 0
        self._written: collections.Counter[str] = collections.Counter()
        self._left_out: collections.Counter[str] = collections.Counter()

    def admit(self, kind: str, now: int) -> int | None:
        """Return how many of a kind were left out before, or None to omit.

        now is a monotonic time in milliseconds.
        """
        if now // _MS_PER_S != self._second:
            self._second = now // _MS_PER_S
            self._written.clear()
        self._written[kind] += 1
        if self._written[kind] > _LINES_PER_SECOND:
            self._left_out[kind] += 1
            return None
        return self._left_out.pop(kind, 0)


class NonBlockingOutput:
    """Standard output that drops a line rather than wait for its reader."""

    def __init__(self) -> None:
        """Write to the standard output of the process."""
        self._descriptor = sys.stdout.fileno()
        os.set_blocking(self._descriptor, False)

    def __call__(self, message: str) -> None:
        """Write one line; what does not fit into the pipe is lost."""
        with contextlib.suppress(BlockingIOError, BrokenPipeError):
            os.write(self._descriptor, message.encode())


class Journal:
    """Keeps the latest lines of a process and writes them to its log."""

    def __init__(self, origin: Origin) -> None:
        """Start empty; the log names the origin on each line."""
        self.origin = origin
        self.clock = clock.HybridClock()
        self._lines: collections.deque[Line] = collections.deque(
            maxlen=_MAX_LINES
        )
        self._rate_limiter = LineRateLimiter()
        self._logger = loguru.logger.bind(
            process=origin.process,
            data_centre=origin.data_centre,
            line=None,
            left_out=0,
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
        self.add_line(line)

    def add_line(self, line: Line) -> None:
        """Add a line as it is, also one that a target has sent."""
        self._lines.append(line)
        left_out = self._rate_limiter.admit(line.what, clock.monotonic_ms())
        if left_out is None:
            return
        message = f'{line.what} {line.detail}'.strip()
        self._logger.bind(line=line, left_out=left_out).info(message)

    def warn(self, what: str, detail: str = '') -> None:
        """Log something an operator should look at.

        Lines are bounded by what they are about; the detail may be a text of
        others.
        """
        left_out = self._rate_limiter.admit(what, clock.monotonic_ms())
        if left_out is not None:
            message = f'{what}: {detail}' if detail else what
            self._logger.bind(left_out=left_out).warning(message)

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
    """Send the log of this process to standard output."""
    loguru.logger.remove()
    form = _format_json if is_json else _format_text
    loguru.logger.add(NonBlockingOutput(), format=form, catch=False)


def _format_json(record: Any) -> str:
    extra = record['extra']
    fields = {
        'at': record['time'].timestamp(),
        'level': record['level'].name,
        'process': extra['process'],
        'message': record['message'],
    }
    if extra['line'] is not None:
        fields.update(_ids_of(extra['line']))
    if extra['left_out']:
        fields['left_out'] = extra['left_out']
    return _escape(msgspec.json.encode(fields).decode())


def _format_text(record: Any) -> str:
    extra = record['extra']
    words = [
        record['time'].strftime('%H:%M:%S.%f'),
        record['level'].name,
        extra['process'],
        record['message'],
    ]
    if extra['line'] is not None:
        ids = _ids_of(extra['line'])
        words.extend(f'{name}={text}' for name, text in ids.items())
    return _escape(' '.join(words))


def _escape(text: str) -> str:
    # The logger takes what a format function returns as a template.
    doubled = text.replace('{', '{{').replace('}', '}}').replace('<', r'\<')
    return f'{doubled}\n'


def _ids_of(line: Line) -> dict[str, str]:
    named = {
        'job': line.job,
        'task': line.task,
        'attempt': line.attempt,
        'target': line.target,
    }
    return {name: text for name, text in named.items() if text}


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
