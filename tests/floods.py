"""Runs the load tool against a cell of real processes; run by make floods."""

from __future__ import annotations

import contextlib
import pathlib
import shutil
import subprocess
import sys

from demo import cell

_FOLDER = pathlib.Path('run/floods')
_TARGETS = 8
_RUNS = (
    ('mixes/small-flood-low.json', '--calm'),
    ('mixes/small-flood-low.json',),
    ('mixes/small-flood-critical.json',),
)
_SEEDS = (1, 2, 3)


def main() -> int:
    """Run each mix and seed in a new cell; return 0 if all runs succeeded."""
    return max(_run(seed, *options) for options in _RUNS for seed in _SEEDS)


def _run(seed: int, *options: str) -> int:
    shutil.rmtree(_FOLDER, ignore_errors=True)
    running = cell.Cell(cell.Plan(_FOLDER.absolute(), targets=_TARGETS))
    sys.stdout.write(f'\nseed {seed}: {" ".join(options)}\n')
    sys.stdout.flush()
    command = [
        sys.executable,
        '-m',
        'mulberrywalk.tools.load',
        'run',
        *options,
        f'--seed={seed}',
        f'--entries={",".join(running.entry_addresses)}',
        f'--report={_FOLDER / "report"}',
    ]
    with contextlib.ExitStack() as stack:
        stack.callback(running.stop)
        running.start()
        return subprocess.run(command, check=False).returncode


if __name__ == '__main__':
    sys.exit(main())
