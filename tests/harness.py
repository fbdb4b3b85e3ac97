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
from tests import history, relay, workload

SETTLE_S = 8
WARM_UP_S = 3
RECOVERY_S = 40
_POLL_S = 0.3
_LEAST_SUBMISSIONS = 20
_EXPLAINED = 3
_UNENDED = frozenset(('queued', 'running'))


@dataclasses.dataclass
class Cluster:
    """A cell, the relays between its processes, and its callers."""

    running_cell: cell.Cell
    network: relay.Network
    load: workload.Workload | None = None
    recorded: history.History | None = None

    def process(self, name: str) -> cell.Process:
        """Return a process of the cell."""
        return self.running_cell.processes[name]

    def follower(self) -> str:
        """Return the name of a replica that does not lead."""
        leader = self.running_cell.leader()
        return next(name for name in self.replicas() if name != leader)

    def replicas(self) -> list[str]:
        """Return the names of all replicas, spares included."""
        return [
            name
            for name in self.running_cell.processes
            if name.startswith('replica')
        ]

    def start_work(self, mix: workload.Mix, seed: int) -> None:
        """Let callers and operators begin, and work for a while."""
        self.load = workload.Workload(self.running_cell, mix, seed)
        self.load.start()
        time.sleep(WARM_UP_S)

    def close(self) -> None:
        """End all processes and the relays."""
        self.running_cell.stop()
        self.network.stop()


def create_cluster(plan: cell.Plan) -> Cluster:
    """Return a scene with a relay before each process, not started."""
    running = cell.Cell(plan)
    network = relay.Network(lambda: _pids_of(running))
    cluster = Cluster(running, network)
    count = len(running.replica_addresses) + len(running.entry_addresses)
    ports = iter(cell.free_ports(count))
    running.dialled_replicas = list(
        _put_relays(network, 'replica', running.replica_addresses, ports)
    )
    running.dialled_entries = list(
        _put_relays(network, 'entry', running.entry_addresses, ports)
    )
    return cluster


def settle() -> None:
    """Wait until leases have run out and elections are over."""
    time.sleep(SETTLE_S)


def wait_until(is_done: Callable[[], bool], complaint: str) -> None:
    """Poll a condition; raises AssertionError when it does not come."""
    deadline = time.monotonic() + RECOVERY_S
    while not is_done():
        assert time.monotonic() < deadline, complaint
        time.sleep(_POLL_S)


def find_violations(cluster: Cluster) -> list[str]:
    """End the work and return every promise that its history breaks."""
    assert cluster.load is not None
    cluster.recorded = cluster.load.stop()
    runs = audit.read(cluster.running_cell.history, _killed_at(cluster))
    submissions = cluster.recorded.submissions
    if len(submissions) <= _LEAST_SUBMISSIONS:
        cluster.load.errors.append('too little was submitted to tell anything')
    violations = [
        *cluster.load.errors,
        *audit.check_overlaps(runs),
        *audit.check_capacity(runs, cell.CAPACITY),
        *history.check_single_runs(submissions, runs),
        *history.check_refusals(submissions, runs),
        *history.check_answers(submissions),
        *history.check_outcomes(submissions),
        *history.check_versions(cluster.recorded),
        *history.check_departures(cluster.running_cell.history),
    ]
    if violations:
        violations.extend(_gather_evidence(cluster, submissions))
    return violations


def _gather_evidence(
    cluster: Cluster, submissions: list[history.Submission]
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
            shown = json.dumps(cluster.running_cell.get(path))
        except (httpx.HTTPError, ValueError) as error:
            shown = f'not to be had: {error}'
        yield f'evidence {path}: {shown}'


def members(cluster: Cluster) -> dict[str, Any]:
    """Return what the first entry says about the replicas."""
    return cluster.running_cell.get('/v1/members')


def _killed_at(cluster: Cluster) -> dict[str, int]:
    return {
        name: process.killed_at
        for name, process in cluster.running_cell.processes.items()
        if process.killed_at
    }


def _put_relays(
    network: relay.Network,
    role: str,
    addresses: list[str],
    ports: Iterator[int],
) -> Iterator[str]:
    for number, address in enumerate(addresses):
        yield network.add_relay(f'{role}-{number}', address, next(ports))


def _pids_of(running: cell.Cell) -> dict[str, int]:
    return {
        name: process.running.pid
        for name, process in running.processes.items()
        if process.running is not None
    }


def clear_folder(folder: pathlib.Path) -> None:
    """Delete the files of a data folder."""
    for path in folder.iterdir():
        path.unlink()
