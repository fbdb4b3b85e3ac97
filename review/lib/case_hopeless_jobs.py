"""Three jobs in a hundred ask for more than any worker has."""

import itertools
import queue
import sys
import threading
import time

import standin

JOBS_PER_S = 14
HOPELESS_SHARE = 0.03
FLOW_S = 55
# finish_s: the rule is judged this long after the last job was handed in.
FINISH_S = 14
WATCH_S = FINISH_S + 6
IDLE_S = 3
SMALL = {'count': 1, 'cpu': 500, 'memMb': 100, 'estimateMs': 640, 'work_s': 0.2}
# Four steps that don't wait for each other, each on 20 cores; workers have 4.
HOPELESS = {
    'count': 1, 'cpu': 20_000, 'memMb': 100, 'estimateMs': 640, 'longRunning': True,
}
CAPACITY = 4 * 4000


def play_case(deployment):
    deployment.begin({'targetLatencyMs': 1200, 'slackFactor': 2.2, 'priority': 2})
    world = deployment.world
    todo, accepted, hopeless = queue.Queue(), {}, []

    def hand_in():
        while True:
            is_hopeless = todo.get()
            try:
                phases = [HOPELESS] * 4 if is_hopeless else [SMALL]
                name = deployment.submit(phases)
            except standin.CannotRun:
                continue
            if is_hopeless:
                hopeless.append(name)
            else:
                accepted[name] = time.monotonic()

    for _ in range(8):
        threading.Thread(target=hand_in, daemon=True).start()
    began = time.monotonic()
    every = round(1 / HOPELESS_SHARE)
    longest, at_worst = 0.0, ''
    for number in itertools.count(1):
        elapsed = time.monotonic() - began
        if elapsed > FLOW_S + WATCH_S:
            break
        if elapsed < FLOW_S and number / JOBS_PER_S <= elapsed + 0.1:
            todo.put(standin.TROUBLE and number % every == 0)
        time.sleep(max(0.0, number / JOBS_PER_S - elapsed))
        if number % JOBS_PER_S:
            continue
        with world.lock:
            started = {one.task.split('.')[0] for one in world.runs}
            used = sum(world.phase(one.task)['cpu'] for one in world.live())
        waiting = {name: at for name, at in accepted.items() if name not in started}
        oldest = time.monotonic() - min(waiting.values(), default=time.monotonic())
        if elapsed > FLOW_S + FINISH_S and used < CAPACITY / 2 and oldest > longest:
            longest = oldest
            at_worst = (
                f'{len(waiting)} small jobs have not started, the oldest for '
                f'{oldest:.1f} s, with {used} of {CAPACITY} in use; '
                f'{len(hopeless)} of {len(accepted) + len(hopeless)} jobs are hopeless'
            )
        deployment.record.add(
            f'{len(waiting)} small jobs wait, the oldest for {oldest:.1f} s; {used} in use'
        )
    deployment.record.say(f'at worst: {at_worst}')
    return longest > IDLE_S


standin.play(sys.argv[1], 4, play_case)
