"""A worker that has ended tasks crashes and starts again under its id."""

import sys
import time

import standin

DOWN_S = 0.5
PHASE = {'cpu': 1300, 'memMb': 100, 'estimateMs': 640, 'work_s': 0.64}


def play_case(deployment):
    deployment.begin()
    world, worker = deployment.world, deployment.workers[0]
    first = deployment.submit([{'count': 24, **PHASE}])
    deployment.wait(lambda: deployment.state(first) == 'completed', 'never done', 20)
    time.sleep(1)
    deployment.record.say(f'{first} is completed; {worker.name}: ackCursor {worker.cursor}')
    if standin.TROUBLE:
        worker.crash()
        time.sleep(DOWN_S)
        worker.start(first_beat_s=0.4)
    time.sleep(2)
    names = [deployment.submit([{'count': 9, **PHASE}]) for _ in range(3)]
    idle = dict.fromkeys(names, 0.0)
    since = {}
    ends_at = time.monotonic() + 35
    while time.monotonic() < ends_at:
        for name in names:
            live = [one for one in world.live() if one.task.startswith(name)]
            state = deployment.state(name)
            if state == 'completed' or live:
                since.pop(name, None)
            else:
                began = since.setdefault(name, time.monotonic())
                idle[name] = max(idle[name], time.monotonic() - began)
        time.sleep(0.2)
    for one in deployment.workers:
        deployment.record.say(f'{one.name}: ackCursor {one.cursor}, {one.end_count} ends in this life')
    last = deployment.submit([{'count': 6, **PHASE}])
    deployment.wait(lambda: deployment.state(last) == 'completed', 'no other work runs', 20)
    for name in names:
        done = len([one for one in world.runs if one.task.startswith(name) and one.how == 'done'])
        deployment.record.say(
            f'GET {name}: {deployment.state(name)}; {done} of 9 tasks have ended done; '
            f'nothing of it ran for {idle[name]:.1f} s on end'
        )
    return any(idle[name] > 7 and deployment.state(name) != 'completed' for name in names)


standin.play(sys.argv[1], 3, play_case)
