"""Writes what was sent, answered and run to the record of a case."""

from __future__ import annotations

import pathlib
import threading
import time


class Record:
    """A text file with one line for each thing seen."""

    def __init__(self, path: pathlib.Path) -> None:
        """Replace the file of an earlier run."""
        self._file = path.open('w')
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        with self._lock:
            now = time.monotonic() - self._started_at
            self._file.write(f'{now:8.3f} {text}\n')
            self._file.flush()

    def seconds(self, at: float) -> float:
        """Return a monotonic time as seconds since the start."""
        return at - self._started_at
