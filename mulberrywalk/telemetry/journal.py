"""Timeline events and log lines of a process."""

from __future__ import annotations

import collections
import dataclasses
import os
import sys
import traceback
from collections.abc import Iterable
from typing import Annotated, Any

import loguru
import msgspec

from . import clock

# The maximum number of timeline lines that a process keeps.
_MAX_LINES = 50_000
_MS_PER_S = 1000
# The maximum number of log lines of one kind per second.
_MAX_LINES_PER_SECOND = 200
# The last millisecond of the year 9999, since 1970.
_MAX_TIME_MS = 253_402_300_799_999
_TIME_RANGE = msgspec.Meta(ge=0, le=_MAX_TIME_MS)


class Line(msgspec.Struct, frozen=True):
    """One event of the timeline; clock is a hybrid logical timestamp."""

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
    """Selects timeline lines; empty fields match all lines.

    since and until are milliseconds since 1970, both inclusive; until is zero
    for no upper limit.
    """

    job: str = ''
    task: str = ''
    target: str = ''
    since: Annotated[int, _TIME_RANGE] = 0
    until: Annotated[int, _TIME_RANGE] = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The name of the process that writes lines, and its data centre."""

    process: str
    data_centre: str


class LineRateLimiter:
    """Limits the log lines per kind and second, and counts dropped ones."""

    def __init__(self) -> None:
        """Start with empty counts."""
        self._second = 0
        self._written: collections.Counter[str] = collections.Counter()
        self._left_out: collections.Counter[str] = collections.Counter()

    def admit(self, kind: str, now: int) -> int | None:
        """Return how many lines were dropped before, or None to drop this one.

        Both are per kind. now is a monotonic time in milliseconds.
        """
        if now // _MS_PER_S != self._second:
            self._second = now // _MS_PER_S
            self._written.clear()
        self._written[kind] += 1
        if self._written[kind] > _MAX_LINES_PER_SECOND:
            self._left_out[kind] += 1
            return None
        return self._left_out.pop(kind, 0)


class NonBlockingOutput:
    """Standard output that drops lines instead of blocking on a slow reader."""

    def __init__(self, *, is_json: bool) -> None:
        """Make the standard output of the process non-blocking."""
        self._is_json = is_json
        self._descriptor = sys.stdout.fileno()
        self._lost = 0
        os.set_blocking(self._descriptor, False)

    def __call__(self, message: str) -> None:
        """Write one line; the part that does not fit into the pipe is lost.

        The next line that fits is preceded by one that counts those lost.
        """
        lines = message.encode()
        if self._lost:
            lines = b''.join((self._describe_loss(), lines))
        try:
            written = os.write(self._descriptor, lines)
        except (BlockingIOError, BrokenPipeError):
            written = 0
        is_whole = written == len(lines)
        self._lost = 0 if is_whole else self._lost + 1

    def count_lost(self) -> int:
        """Return the number of lines lost since the last one written."""
        return self._lost

    def _describe_loss(self) -> bytes:
        text = f'{self._lost} log lines lost'
        if self._is_json:
            fields = {'level': 'WARNING', 'message': text}
            return b'%b\n' % msgspec.json.encode(fields)
        return f'{text}\n'.encode()


class Journal:
    """Keeps the latest timeline lines of a process and writes its log."""

    def __init__(self, origin: Origin) -> None:
        """Create an empty journal; log lines carry the name of the process."""
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
        """Add an event; ids names the job, task, attempt or target."""
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
        """Add an existing line, such as one that a target has sent."""
        self._lines.append(line)
        left_out = self._rate_limiter.admit(line.what, clock.monotonic_ms())
        if left_out is None:
            return
        message = f'{line.what} {line.detail}'.strip()
        self._logger.bind(line=line, left_out=left_out).info(message)

    def warn(self, what: str, detail: str = '') -> None:
        """Log a warning for operators.

        The rate limit counts by what alone, because detail may hold text from
        other processes.
        """
        left_out = self._rate_limiter.admit(what, clock.monotonic_ms())
        if left_out is not None:
            message = f'{what}: {detail}' if detail else what
            self._logger.bind(left_out=left_out).warning(message)

    def report_end(self, error: BaseException) -> None:
        """Log why this process ends; the last line is the error itself."""
        reason = _unwrap(error)
        stack = ''.join(traceback.format_exception(reason)).rstrip()
        message = f'ended by an error: {reason!r}\n{stack}'
        self._logger.critical(message)

    def find(self, line_filter: Filter) -> list[Line]:
        """Return the kept lines that match the filter."""
        return select(self._lines, line_filter)


def select(lines: Iterable[Line], line_filter: Filter) -> list[Line]:
    """Return the lines that match a filter."""
    return [line for line in lines if _matches(line, line_filter)]


def merge(lines: Iterable[Line]) -> list[Line]:
    """Return lines of several processes in causal order, without duplicates."""
    return sorted(set(lines), key=lambda line: (line.clock, line.process))


def _unwrap(error: BaseException) -> BaseException:
    """Return the only error of nested groups, or else the group."""
    reason = error
    while isinstance(reason, BaseExceptionGroup) and len(reason.exceptions) < 2:
        reason = reason.exceptions[0]
    return reason


def open_log(*, is_json: bool) -> None:
    """Send the log of this process to standard output."""
    loguru.logger.remove()
    formatter = _format_json if is_json else _format_text
    output = NonBlockingOutput(is_json=is_json)
    loguru.logger.add(output, format=formatter, catch=False)


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
    # Loguru treats the result of a format function as a template.
    doubled = text.replace('{', '{{').replace('}', '}}').replace('<', r'\<')
    return f'{doubled}\n'


def _ids_of(line: Line) -> dict[str, str]:
    ids = {
        'job': line.job,
        'task': line.task,
        'attempt': line.attempt,
        'target': line.target,
    }
    return {name: text for name, text in ids.items() if text}


def _matches(line: Line, line_filter: Filter) -> bool:
    at = clock.wall_of(line.clock)
    if at < line_filter.since or (line_filter.until and at > line_filter.until):
        return False
    job = line.job or line.task.split('.')[0]
    return (
        line_filter.job in {'', job}
        and line_filter.task in {'', line.task}
        and line_filter.target in {'', line.target}
    )
