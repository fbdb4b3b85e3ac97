"""Two workers of one gang are cut off, one a little after the other."""

import sys
import time

import standin

CUT_S = 6.0
LATER_S = 2.0
WORK_S = 4.0


def play_case(deployment):
    deployment.begin()
    world = deployment.world
    name = deployment.submit(
        [{
            'count': 2, 'cpu': 3000, 'memMb': 100, 'estimateMs': 4000,
            'gang': True, 'work_s': WORK_S,
        }]
    )
    deployment.wait(
        lambda: len([one for one in world.live() if one.works_from]) == 2,
        'the gang does not work', 20,
    )
    members = sorted(world.live(), key=lambda one: one.task)
    first, second = (
        next(worker for worker in deployment.workers if worker.name == one.worker)
        for one in members
    )
    deployment.record.say(f'the gang works on {first.name} and {second.name}')
    if standin.TROUBLE:
        first.cut(True)
    time.sleep(LATER_S)
    if standin.TROUBLE:
        second.cut(True)
    time.sleep(CUT_S - LATER_S)
    if standin.TROUBLE:
        first.cut(False)
        second.cut(False)
    # Long after all is calm again: 14 s (finish_s) and more.
    idle_since, longest = None, 0.0
    ends_at = time.monotonic() + 30
    while time.monotonic() < ends_at:
        state = deployment.state(name)
        now = time.monotonic()
        if state == 'completed' or world.live():
            idle_since = None
        else:
            idle_since = idle_since or now
            longest = max(longest, now - idle_since)
        time.sleep(0.2)
    for worker in deployment.workers:
        deployment.record.say(f'{worker.name}: ackCursor {worker.cursor} of {worker.end_count}')
    # That other work runs shows that there is room and that all workers serve.
    other = deployment.submit([{'count': 10, 'cpu': 1500, 'memMb': 100, 'estimateMs': 300}])
    deployment.wait(lambda: deployment.state(other) == 'completed', 'no other work runs', 20)
    state = deployment.state(name)
    deployment.record.say(
        f'GET {name}: {state}; nothing of it ran for {longest:.1f} s on end, '
        'with twelve free workers'
    )
    return state != 'completed' and longest > 3 + 4


standin.play(sys.argv[1], 12, play_case)
