"""Two planned replacements of replicas, one after the other."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

import cell as cells  # noqa: E402
import worker as workers  # noqa: E402
from record import Record  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
WORKERS = 6
PREFIX = '/sort/'
# catchUpS of the bounds, and a margin after it.
CATCH_UP_S = 4.0
MARGIN_S = 0.5
# The pause between the two replicas that leave, as roll_term has it.
GAP_S = 2.0
RECOVERY_S = 12.0
ASKED_S = 8.0


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
    """Accept work, replace two replicas, and ask for the work."""
    cell.start()
    queues = [cells.queue('q', PREFIX)]
    cell.configure(1, queues)
    for number in range(WORKERS):
        fleet.append(
            workers.Worker(
                f'w{number}', cell.next_host(), cell.controls, record,
                lambda task, spec: 2.0, zone=cells.ZONES[number % 3],
            )
        )
        fleet[-1].start()
    cell.wait_ready(PREFIX)
    time.sleep(5)
    names = [f'{0x5c0e7a21d94b3800 + number:016x}' for number in range(6)]
    for name in names:
        body = {'spec': 'sort', 'phases': [
            {'count': 4, 'cpu': 500, 'memMb': 64, 'estimateMs': 2000}]}
        if cell.request(0, 'POST', PREFIX + name, body)[0] != 200:
            raise cells.CaseError('a job was not accepted')
    cell.configure(2, queues)
    if HAS_TROUBLE:
        disturb(cell, record)
    # Nothing else happens from here on.
    time.sleep(RECOVERY_S)
    return ask(cell, names, record)


def disturb(cell: cells.Cell, record: Record) -> None:
    """Replace both followers, each once its successor has had its time."""
    leader = cell.leader()
    if leader is None:
        raise cells.CaseError('there is no leader')
    leaving = [one for one in cell.replicas if one is not leader]
    names = ' and '.join(one.name for one in leaving)
    record.write(f'{leader.name} leads; {names} are to be replaced')
    for _ in leaving:
        cell.add_replica()
        time.sleep(CATCH_UP_S + MARGIN_S)
    record.write(f'both successors have had catchUpS ({CATCH_UP_S} s)')
    for one in leaving:
        one.send(signal.SIGTERM)
        code = one.wait(6)
        record.write(f'{one.name} has ended with {code}, gone for good')
        time.sleep(GAP_S)


def ask(cell: cells.Cell, names: list[str], record: Record) -> int:
    """Ask for the jobs and the configuration; return the exit code."""
    deadline = time.monotonic() + ASKED_S
    missing = set(names)
    read: bytes | None = None
    while time.monotonic() < deadline and (missing or read is None):
        for name in sorted(missing):
            for entry in range(len(cell.entries)):
                status, _ = cell.request(entry, 'GET', PREFIX + name)
                if status == 200:
                    missing.discard(name)
                    break
        status, text = cell.operate('GET', '/config/read')
        record.write(f'operator GET /config/read: {status}')
        if status == 200:
            read = text
        time.sleep(1)
    version = json.loads(read)['version'] if read else None
    record.write(
        f'{len(missing)} of {len(names)} accepted jobs have no answer; the '
        f'configuration read back is {version}, acknowledged was 2'
    )
    is_broken = bool(missing) or version != 2
    record.write('LOST: broken' if is_broken else 'held')
    return 1 if is_broken else 0


if __name__ == '__main__':
    sys.exit(cells.run_case(main))
