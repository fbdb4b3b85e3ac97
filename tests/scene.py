"""A running cell with a network that can be cut and a load that watches."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import time
from collections.abc import Callable, Iterator
from typing import Any

import httpx

from demo import audit, cell
from tests import history, relay
from tests import load as work_load

SETTLE_S = 8
WORK_S = 3
RECOVERY_S = 40
_POLL_S = 0.3
_LEAST_SUBMISSIONS = 20
_EXPLAINED = 3
_UNENDED = frozenset(('queued', 'running'))


@dataclasses.dataclass
class Scene:
    """A cell, the relays between its processes, and its callers."""

    running: cell.Cell
    network: relay.Network
    work: work_load.Load | None = None
    seen: history.History | None = None

    def process(self, name: str) -> cell.Process:
        """Return a process of the cell."""
        return self.running.processes[name]

    def follower(self) -> str:
        """Return the name of a replica that does not lead."""
        leader = self.running.leader()
        return next(name for name in self.replicas() if name != leader)

    def replicas(self) -> list[str]:
        """Return the names of all replicas, spares included."""
        return [
            name
            for name in self.running.processes
            if name.startswith('replica')
        ]

    def start_work(self, mix: work_load.Mix, seed: int) -> None:
        """Let callers and operators begin, and work for a while."""
        self.work = work_load.Load(self.running, mix, seed)
        self.work.start()
        time.sleep(WORK_S)

    def close(self) -> None:
        """End all processes and the relays."""
        self.running.stop()
        self.network.stop()


def prepare(plan: cell.Plan) -> Scene:
    """Return a scene with a relay before each process, not started."""
    running = cell.Cell(plan)
    network = relay.Network(lambda: _pids_of(running))
    scene = Scene(running, network)
    count = len(running.replica_addresses) + len(running.entry_addresses)
    ports = iter(cell.free_ports(count))
    running.dialled_replicas = list(
        _put_relays(network, 'replica', running.replica_addresses, ports)
    )
    running.dialled_entries = list(
        _put_relays(network, 'entry', running.entry_addresses, ports)
    )
    return scene


def settle() -> None:
    """Wait until leases have run out and elections are over."""
    time.sleep(SETTLE_S)


def wait_until(is_done: Callable[[], bool], complaint: str) -> None:
    """Poll a condition; raises AssertionError when it does not come."""
    deadline = time.monotonic() + RECOVERY_S
    while not is_done():
        assert time.monotonic() < deadline, complaint
        time.sleep(_POLL_S)


def find_violations(scene: Scene) -> list[str]:
    """End the work and return every promise that its history breaks."""
    assert scene.work is not None
    scene.seen = scene.work.stop()
    runs = audit.read(scene.running.history, _killed_at(scene))
    submissions = scene.seen.submissions
    if len(submissions) <= _LEAST_SUBMISSIONS:
        scene.work.errors.append('too little was submitted to tell anything')
    violations = [
        *scene.work.errors,
        *audit.check_overlaps(runs),
        *audit.check_capacity(runs, cell.CAPACITY),
        *history.check_single_runs(submissions, runs),
        *history.check_refusals(submissions, runs),
        *history.check_answers(submissions),
        *history.check_ends(submissions),
        *history.check_versions(scene.seen),
        *history.check_departures(scene.running.history),
    ]
    if violations:
        violations.extend(_gather_evidence(scene, submissions))
    return violations


def _gather_evidence(
    scene: Scene, submissions: list[history.Submission]
) -> Iterator[str]:
    """Yield what the cell says of itself while it still runs.

    A failure that shows once can be traced only by that.
    """
    unended = [one.job for one in submissions if one.outcome in _UNENDED]
    paths = [
        '/v1/members',
        '/v1/targets',
        *(f'/v1/jobs/{name}/explanation' for name in unended[:_EXPLAINED]),
    ]
    for path in paths:
        try:
            shown = json.dumps(scene.running.get(path))
        except (httpx.HTTPError, ValueError) as error:
            shown = f'not to be had: {error}'
        yield f'evidence {path}: {shown}'


def members(scene: Scene) -> dict[str, Any]:
    """Return what the first entry says about the replicas."""
    return scene.running.get('/v1/members')


def _killed_at(scene: Scene) -> dict[str, int]:
    return {
        name: process.killed_at
        for name, process in scene.running.processes.items()
        if process.killed_at
    }


def _put_relays(
    network: relay.Network,
    role: str,
    addresses: list[str],
    ports: Iterator[int],
) -> Iterator[str]:
    for number, address in enumerate(addresses):
        yield network.relay(f'{role}-{number}', address, next(ports))


def _pids_of(running: cell.Cell) -> dict[str, int]:
    return {
        name: process.running.pid
        for name, process in running.processes.items()
        if process.running is not None
    }


def clear(folder: pathlib.Path) -> None:
    """Delete the files of a data folder."""
    for path in folder.iterdir():
        path.unlink()
