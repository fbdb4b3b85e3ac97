"""A worker starts again under its id and is cut off soon after."""

import sys
import time

import standin

DOWN_S = 0.5
CUT_S = 6.0


def play_case(deployment):
    deployment.begin()
    name = deployment.submit(
        [{'count': 16, 'cpu': 500, 'memMb': 100, 'estimateMs': 320, 'longRunning': True}]
    )
    world, worker = deployment.world, deployment.workers[0]
    deployment.wait(lambda: len(world.live()) == 16, 'not all tasks run', 20)
    # The earlier life has to be older than the longest hold.
    deployment.wait(lambda: worker.clock_ms() > 11_000, 'never', 20)
    deployment.record.say(f'{len(world.live(worker=worker.name))} tasks run on {worker.name}')
    if standin.TROUBLE:
        worker.crash()
        time.sleep(DOWN_S)
        worker.start(first_beat_s=0.4)
        deployment.record.say(f'{worker.name} has started again')
    deployment.wait(lambda: len(world.live()) == 16, 'not all tasks run again', 25)
    # A second job of the same kind; some of its tasks go to the new life.
    deployment.submit(
        [{'count': 16, 'cpu': 500, 'memMb': 100, 'estimateMs': 320, 'longRunning': True}]
    )
    deployment.wait(
        lambda: len(world.live()) == 32 and world.live(worker=worker.name),
        'not all tasks of the second job run', 25,
    )
    time.sleep(0.5)
    deployment.record.say(f'{len(world.live(worker=worker.name))} tasks run on {worker.name}')
    if standin.TROUBLE:
        worker.cut(True)
    time.sleep(CUT_S)
    if standin.TROUBLE:
        worker.cut(False)
    time.sleep(6)
    deployment.record.say(f'GET {name}: {deployment.state(name)}')
    return standin.report_doubles(deployment)


standin.play(sys.argv[1], 8, play_case)
