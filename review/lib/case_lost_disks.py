"""Replicas lose their disks one after the other, each long after the last."""

import json
import shutil
import signal
import subprocess
import sys
import threading
import time

import standin

DOWN_S = 1.0
# A machine that is back counts as lost for catchUpS, which is 4 s.
APART_S = 7.0
# finish_s, which is longer than recoveryS (12 s).
FINISH_S = 14.0
SMALL = {'count': 2, 'cpu': 300, 'memMb': 100, 'estimateMs': 300, 'work_s': 0.2}


def find_leader(deployment):
    for number, control in enumerate(deployment.controls):
        if standin.call(control, 'GET', '/config/read')[0] == 200:
            return number
    return None


def wait_for_leader(deployment):
    deployment.wait(
        lambda: find_leader(deployment) is not None, 'no replica answers a read', 10
    )
    return find_leader(deployment)


def lose_disk(deployment, number):
    """Power a replica off; it is back at its address with an empty folder."""
    process = deployment.processes[number]
    process.send_signal(signal.SIGKILL)
    process.wait()
    data = deployment.folder / f'data-{number}'
    shutil.rmtree(data)
    data.mkdir()
    path = deployment.folder / f'settings-{number}.json'
    settings = json.loads(path.read_text())
    path.write_text(json.dumps({**settings, 'bootstrap': False}))
    time.sleep(DOWN_S)
    log = open(deployment.folder / f'process-{number}-{time.time_ns()}.log', 'wb')
    deployment.processes[number] = subprocess.Popen(
        process.args, cwd=standin.ROOT, env=deployment.environments[number],
        stdin=subprocess.DEVNULL, stdout=log, stderr=log,
    )
    deployment.record.say(f'replica {number} has lost its disk and is back')


def play_case(deployment):
    deployment.begin()
    names, pause, is_over = [], [0.0], []

    def hand_in():
        while not (is_over or deployment.world.is_closed):
            try:
                names.append(deployment.submit([SMALL]))
            except standin.CannotRun:
                time.sleep(0.5)
            time.sleep(pause[0])

    for _ in range(4):
        threading.Thread(target=hand_in, daemon=True).start()
    # Until the replicas have taken a snapshot, as in any longer operation.
    deployment.wait(
        lambda: all(
            (deployment.folder / f'data-{number}' / 'snapshot.bin').exists()
            for number in range(3)
        ),
        'no snapshot was taken', 45,
    )
    pause[0] = 2.0
    deployment.record.say(f'{len(names)} jobs accepted; calm traffic from here on')
    time.sleep(3)
    if standin.TROUBLE:
        lost = []
        while (leader := wait_for_leader(deployment)) not in lost:
            deployment.record.say(f'replica {leader} answers reads')
            lost.append(leader)
            lose_disk(deployment, leader)
            time.sleep(APART_S)
        deployment.record.say(f'replica {leader} answers reads')
        for number in range(3):
            if number != leader:
                lose_disk(deployment, number)
                time.sleep(APART_S)
                deployment.record.say(
                    f'{APART_S:.0f} s later: reads are answered by replica '
                    f'{find_leader(deployment)}'
                )
    is_over.append(True)
    time.sleep(FINISH_S)
    asked = names[-20:]
    deployment.record.say(f'{FINISH_S:.0f} s after the end of the traffic {len(asked)} jobs are asked for')
    answers = []
    for name in asked:
        status, answer = deployment.call('GET', name)
        answers.append(status)
        deployment.record.add(f'client: GET {name}: {status} {answer}')
        if len(answers) >= 4 and not any(one == 200 for one in answers):
            break
    reads = [standin.call_control(one, 'GET', '/config/read')[0] for one in deployment.controls]
    deployment.record.say(f'answers: {answers}; reads of the configuration: {reads}')
    return not any(one == 200 for one in answers) and 200 not in reads


standin.play(sys.argv[1], 4, play_case)
