"""A worker that leaves is cut off one way while it deregisters."""

from __future__ import annotations

import os
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

import cell as cells  # noqa: E402
import worker as workers  # noqa: E402
from record import Record  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# One of 16 workers is 0.0625 of them: scale_in takes up to 0.065, and node_cut
# up to 0.17 for 5.5 s.
WORKERS = 16
CUT_S = 5.5
# The time from the acknowledgement of draining to the start of the cut.
CUT_AFTER_S = 1.8
# It serves for drainMs (2 s) "and a little longer", and ends "some seconds"
# after a deregistration that gets no acknowledgement.
LINGER_S = 0.3
STAY_S = 4.0
RUN_S = 14.0
PREFIX = '/sort/'
JOBS = 8


def main() -> int:
    """Play the case; return the exit code."""
    record = Record(HERE / 'record.txt')
    record.write(f'trouble: {HAS_TROUBLE}')
    cell = cells.Cell(record)
    fleet: list[workers.Worker] = []
    try:
        return play(cell, fleet, record)
    except Exception as error:
        record.write(f'the case could not run: {error!r}')
        return 2
    finally:
        for one in fleet:
            one.close()
        cell.stop()


def play(
    cell: cells.Cell, fleet: list[workers.Worker], record: Record
) -> int:
    """Run the jobs, let a busy worker leave, and look for double runs."""
    cell.start()
    cell.configure(1, [cells.queue('q', PREFIX)])
    for number in range(WORKERS):
        fleet.append(
            workers.Worker(
                f'w{number}', cell.next_host(), cell.controls, record,
                lambda task, spec: RUN_S,
                zone=cells.ZONES[number % 3], rack=f'r{number // 8}',
            )
        )
        fleet[-1].start()
    cell.wait_ready(PREFIX)
    time.sleep(2)
    names = [f'{0x5c0e7a21d94b3600 + number:016x}' for number in range(JOBS)]
    phase = {'count': 4, 'cpu': 2000, 'memMb': 256, 'estimateMs': 1500}
    for name in names:
        body = {'spec': 'sort', 'phases': [phase]}
        if cell.request(0, 'POST', PREFIX + name, body)[0] != 200:
            raise cells.CaseError('a job was not accepted')
    time.sleep(1.5)
    leaving = max(fleet, key=lambda one: len(one.active()))
    if not leaving.active():
        raise cells.CaseError('no worker runs anything')
    record.write(f'{leaving.name} leaves with {len(leaving.active())} runs')
    thread = threading.Thread(target=leaving.leave, args=(LINGER_S, STAY_S))
    thread.start()
    while leaving.drained_at is None:
        time.sleep(0.005)
    if HAS_TROUBLE:
        time.sleep(CUT_AFTER_S)
        leaving.cut_from_system()
        time.sleep(CUT_S)
        leaving.heal()
    thread.join()
    time.sleep(4)
    for name in names:
        cell.request(1, 'GET', PREFIX + name)
    found = workers.overlaps(fleet)
    for earlier, later, seconds in found:
        record.write(
            f'TWICE {earlier.task}: run {earlier.number} on {earlier.worker} '
            f'and run {later.number} on {later.worker} at once for '
            f'{seconds:.3f} s'
        )
    record.write('broken' if found else 'held')
    return 1 if found else 0


if __name__ == '__main__':
    sys.exit(cells.run_case(main))
