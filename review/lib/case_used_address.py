"""A worker starts again elsewhere; a new one starts at its old address."""

import sys
import time

import standin

DOWN_S = 3.0


def play_case(deployment):
    deployment.begin()
    world, worker = deployment.world, deployment.workers[0]
    old_port = worker.port
    if standin.TROUBLE:
        # The worker starts again under its id, and says its new address.
        worker.crash()
        time.sleep(DOWN_S)
        worker.port = standin._free_ports([worker.host], 1)[0]
        worker.start()
    time.sleep(8)
    deployment.submit(
        [{'count': 22, 'cpu': 1100, 'memMb': 100, 'estimateMs': 320, 'longRunning': True}]
    )
    deployment.wait(lambda: len(world.live()) == 22, 'not all tasks run', 25)
    time.sleep(2)
    deployment.record.say(f'{len(world.live(worker=worker.name))} tasks run on {worker.name}')
    # An empty worker is added; with the disruption, at the address left free.
    added = deployment.new_worker('w9', port=old_port if standin.TROUBLE else 0)
    added.start()
    deployment.record.say(f'{added.name} starts at {added.address()}')
    time.sleep(10)
    return standin.report_doubles(deployment)


standin.play(sys.argv[1], 8, play_case)
