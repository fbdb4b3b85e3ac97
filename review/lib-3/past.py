"""Writes the data folders that a cell has after some minutes of its work.

usage: past.py JOBS SETUP (with target/deps and the repository on the path)

The events of the jobs go through the project's own reducer, and its own
storage writes the snapshot. The jobs are those of a site's page, with the means
of their sizes; every one of them has been done. SETUP is JSON: document,
members, folders and, if the site isn't kitamori-bind, site.
"""

import json
import pathlib
import random
import sys
import time
import typing

from mulberrywalk.consensus import message, node
from mulberrywalk.core import (
    effect, event, job, reducer, resource, snapshot, state,
)
from mulberrywalk.platform import wire
from mulberrywalk.storage import disk

import system3

WORKERS = 24
# Jobs that are decided together, to write the past quickly.
BATCH = 50
# The first entries of a log; the snapshot stands for all of them.
ENTRIES = 1500


class Kind(typing.NamedTuple):
    """A kind of request: rate, steps, tasks of a step, and their sizes."""

    per_s: float
    steps: float
    width: int
    cpu: int
    mem_mb: int
    work_ms: int


class Site(typing.NamedTuple):
    """The quick and the long kind, and the spec: its length, and its filling.

    It is filled up with spaces, or with random digits, which don't compress as
    well.
    """

    quick: Kind
    long: Kind
    spec_bytes: int
    has_digits: bool

    def per_s(self):
        return self.quick.per_s + self.long.per_s


SITES = {
    # Swatch-match and hide-sort; a body has about 500 bytes.
    'kitamori-bind': Site(
        Kind(7.75, 1.6, 6, 1300, 1800, 640),
        Kind(0.75, 2, 13, 2700, 2800, 3800), 330, False),
    # Slot-match and drive-plan; a body has about 1,200 bytes.
    'damu-salama-grown': Site(
        Kind(14.7, 1.6, 10, 8900, 9200, 850),
        Kind(1.98, 2, 21, 18000, 18000, 3200), 1000, True),
}


def body_of(draw, site):
    """Return whether the next job is a long one, and its body."""
    is_long = draw.random() < site.long.per_s / site.per_s()
    kind = site.long if is_long else site.quick
    content = {'s': kind.work_ms / 1000}
    if site.has_digits:
        content['plan'] = draw.randbytes(site.spec_bytes // 2 - 12).hex()
    spec = json.dumps(content).ljust(site.spec_bytes)
    steps = 1 + (draw.random() < kind.steps - 1)
    phases = [{'count': kind.width, 'cpu': kind.cpu, 'memMb': kind.mem_mb,
               'estimateMs': kind.work_ms,
               **({'after': [one - 1]} if one else {})}
              for one in range(steps)]
    return is_long, {'spec': spec, 'phases': phases}


def play(tables, count, document, site):
    """Apply the events of a number of jobs, the last of which has just ended."""
    draw = random.Random(1)
    now = int(time.time() * 1000) - int(count / site.per_s() * 1000) - 2000

    def apply(one):
        return reducer.reduce(tables, one)[1]

    routing = wire.read_routing(json.dumps(document).encode())
    queues = {queue.name: queue for queue in routing.queues}
    apply(event.ConfigurationReplaced(now, routing))
    sessions = []
    for number in range(WORKERS):
        # Workers of the past, which have left since.
        announcement = event.Announcement(
            f'i-past{number:04x}', system3.ZONES[number % 3],
            f'r1-{number // 8}', resource.Resources(10**7, 1 << 42, 0, 100000),
            str(number + 1), None, system3.SERVICE,
            ('a', f'r1-{number // 8}'), f'127.0.0.2:{20000 + number}',
            number + 1, 5500)
        granted = apply(event.SessionOpened(now, announcement))[0].outcome
        sessions.append(granted.session)
    names = []
    for first in range(0, count, BATCH):
        batch = []
        for _ in range(min(BATCH, count - first)):
            now += int(1000 / site.per_s())
            is_sort, body = body_of(draw, site)
            encoded = json.dumps(body).encode()
            name = f'{draw.getrandbits(64):016x}'
            queue = queues[system3.SORT[0] if is_sort else system3.SWATCH[0]]
            apply(event.JobSubmitted(
                now, wire.read_job(encoded, name, queue),
                wire.submission_digest(encoded)))
            batch.append((is_sort, name))
        while any(tables.jobs[name].unfinished for _, name in batch):
            now += 1
            by_session = {}
            for one in apply(event.TimePassed(now)):
                if isinstance(one, effect.StartAttempt):
                    by_session.setdefault(one.attempt.session, []).append(
                        one.attempt.attempt)
            for session, ones in by_session.items():
                apply(event.ReportReceived(
                    now, session,
                    tuple(event.AttemptStart(one, now) for one in ones),
                    tuple(event.AttemptEnd(one, job.EndReason.COMPLETED, now)
                          for one in ones)))
        names.extend(batch)
    for session in sessions:
        apply(event.DepartureAnnounced(now, session))
        apply(event.SessionExpired(now, session))
    apply(event.TimePassed(now))
    return names


def main():
    count = int(sys.argv[1])
    setup = json.loads(sys.argv[2])
    tables = state.State()
    site = SITES[setup.get('site', 'kitamori-bind')]
    names = play(tables, count, setup['document'], site)
    payload = snapshot.encode(tables)
    founders = message.Membership(tuple(
        message.Member(message.ReplicaId(f'replica-{host}'), address, '', True)
        for host, address in setup['members']))
    for (host, _), folder in zip(setup['members'], setup['folders'],
                                 strict=True):
        path = pathlib.Path(folder)
        disk.create_identity(path, founders, f'replica-{host}')
        loaded, opened = disk.open_folder(path, f'replica-{host}')
        taken = message.Snapshot(ENTRIES, 1, founders, payload)
        opened.write([node.SaveVote(1, None)])
        opened.install_snapshot(taken)
        opened.close()
    print(json.dumps({'jobs': len(tables.jobs), 'tasks': len(tables.tasks),
                      'snapshot_bytes': len(payload),
                      'sample': names[-900::60]}))


main()
