"""A submission whose client has left runs after its cancel was answered."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-3'))
import system3  # noqa: E402

FREEZE_S = 3.5
JOB = '5c0e7a21d94b36f8'
PATH = f'/pufi791/{JOB}'


def play(record, has_trouble):
    system = system3.System(record, entries=9, log_to=FOLDER / 'logs'
                            if '--keep-logs' in sys.argv else None)
    try:
        system.start()
        for number in range(3):
            system.add_worker(f'i-7f3a91c{number}', zone=number)
        system.configure(system3.document(1, [system3.SWATCH, system3.SORT]))
        for worker in system.workers:
            worker.start_heartbeats()
        system.wait_ready()
        time.sleep(4)
        frozen = system.entries[0]
        # Overnight sorting: two steps, each a few seconds of work.
        job = {'spec': '{"s": 3.8}', 'phases': [
            {'count': 4, 'cpu': 2700, 'memMb': 2800, 'estimateMs': 3800},
            {'count': 4, 'cpu': 2700, 'memMb': 2800, 'estimateMs': 3800,
             'after': [0]}]}
        if has_trouble:
            frozen.signal(signal.SIGSTOP)
            record.note(f'{frozen.name} freezes')
            wakes = threading.Timer(FREEZE_S, frozen.signal,
                                    (signal.SIGCONT,))
            wakes.start()
        answer = system.call('POST', PATH, 0, job, timeout=3.0)
        # The client gives up and cancels at another daemon.
        while True:
            cancelled = system.call('DELETE', PATH, 1, timeout=3.0)
            if cancelled is not None and cancelled[0] in {200, 410}:
                break
            time.sleep(0.2)
        acknowledged = time.monotonic()
        record.note(f'the cancel is answered with {cancelled[0]}')
        time.sleep(16)
        shown = system.call('GET', PATH, 1)
        limit = acknowledged + system3.BOUNDS['cancel_ms'] / 1000
        late = [run for worker in system.workers for run in worker.runs
                if run.began > limit]
        for run in late:
            record.note(f'{run.task} run {run.number} began '
                        f'{run.began - acknowledged:.2f} s after the cancel '
                        'was answered')
        return (f'UNASKED: {len(late)} starts later than cancel_ms after the '
                f'cancel was answered with {cancelled[0]}') if late else ''
    finally:
        system.close()


system3.main(FOLDER, play)
