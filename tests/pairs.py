"""Runs each pair of faults together and each fault twice; see make pairs."""

from __future__ import annotations

import itertools
import pathlib
import shutil
import sys
import tempfile
from collections.abc import Iterator
from typing import Annotated

import typer

from demo import cell
from tests import fault, harness, workload

_FIRST_SEED = 1000
_TARGETS = 8
_REPAIR_MS = '3000'


def main(
    lane: Annotated[
        int, typer.Option(help='Number of the part to run, from 0.')
    ] = 0,
    lanes: Annotated[
        int, typer.Option(help='Number of parts to split the cases into.')
    ] = 1,
    seed: Annotated[
        int, typer.Option(help='Run only the case with this seed.')
    ] = 0,
) -> None:
    """Run cases and print a line for each; exits with 1 if any failed."""
    selected = [
        (number, names)
        for number, names in enumerate(_list_cases(), start=_FIRST_SEED)
        if number == (seed or number) and number % lanes == lane
    ]
    outcomes = [_run_case(number, names) for number, names in selected]
    passed = sum(outcomes)
    sys.stdout.write(f'{passed} of {len(outcomes)} cases passed\n')
    if passed < len(outcomes):
        raise typer.Exit(1)


def _list_cases() -> Iterator[tuple[str, str]]:
    """Yield all pairs of faults; an equal pair is one fault injected twice."""
    yield from itertools.combinations_with_replacement(fault.FAULTS, 2)


def _run_case(seed: int, names: tuple[str, str]) -> bool:
    folder = pathlib.Path(tempfile.mkdtemp(prefix='pairs-'))
    violations = _check_case(folder, seed, names)
    sys.stdout.write(f'{seed} | {names[0]} | {names[1]} | ')
    if violations:
        sys.stdout.write(f'failed, see {folder}: {violations[:3]}\n')
    else:
        sys.stdout.write('passed\n')
        shutil.rmtree(folder)
    sys.stdout.flush()
    return not violations


def _check_case(
    folder: pathlib.Path, seed: int, names: tuple[str, str]
) -> list[str]:
    plan = cell.Plan(
        folder,
        targets=_TARGETS,
        spares=1,
        rack_size=2,
        replica_options=('--repair-after-ms', _REPAIR_MS),
    )
    cluster = harness.create_cluster(plan)
    try:
        cluster.running_cell.start()
        cluster.start_work(workload.Mix(), seed)
        if names[0] == names[1]:
            fault.inject_twice(cluster, names[0])
        else:
            fault.inject(cluster, *names)
        return harness.find_violations(cluster)
    except (AssertionError, cell.CellError) as error:
        return [repr(error)]
    finally:
        cluster.close()


if __name__ == '__main__':
    typer.run(main)
