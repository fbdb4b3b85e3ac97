"""A cell of real processes with a faulty network and a recorded workload."""

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
_MIN_SUBMISSIONS = 20
_MAX_EXPLANATIONS = 3
_UNFINISHED_STATES = frozenset(('queued', 'running'))


@dataclasses.dataclass
class Cluster:
    """A cell, the relays in front of its processes, and its workload."""

    running_cell: cell.Cell
    network: relay.Network
    load: workload.Workload | None = None
    recorded: history.History | None = None

    def process(self, name: str) -> cell.Process:
        """Return a process of the cell."""
        return self.running_cell.processes[name]

    def follower(self) -> str:
        """Return the name of a replica that is not the leader."""
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
        """Start callers and operators and wait WARM_UP_S seconds."""
        self.load = workload.Workload(self.running_cell, mix, seed)
        self.load.start()
        time.sleep(WARM_UP_S)

    def close(self) -> None:
        """Stop all processes and the relays."""
        self.running_cell.stop()
        self.network.stop()


def create_cluster(plan: cell.Plan) -> Cluster:
    """Return an unstarted cluster with relays to replicas and entries."""
    running = cell.Cell(plan)
    network = relay.Network(lambda: _get_pids(running))
    cluster = Cluster(running, network)
    count = len(running.replica_addresses) + len(running.entry_addresses)
    ports = iter(cell.free_ports(count))
    running.dialled_replicas = list(
        _add_relays(network, 'replica', running.replica_addresses, ports)
    )
    running.dialled_entries = list(
        _add_relays(network, 'entry', running.entry_addresses, ports)
    )
    return cluster


def settle() -> None:
    """Wait until leases have expired and elections are over."""
    time.sleep(SETTLE_S)


def wait_until(is_done: Callable[[], bool], message: str) -> None:
    """Poll a condition; raises AssertionError after RECOVERY_S seconds."""
    deadline = time.monotonic() + RECOVERY_S
    while not is_done():
        assert time.monotonic() < deadline, message
        time.sleep(_POLL_S)


def find_violations(cluster: Cluster) -> list[str]:
    """Stop the workload and return the guarantees its history violates."""
    assert cluster.load is not None
    cluster.recorded = cluster.load.stop()
    runs = audit.read(cluster.running_cell.history, _get_kill_times(cluster))
    submissions = cluster.recorded.submissions
    if len(submissions) <= _MIN_SUBMISSIONS:
        cluster.load.errors.append('too few submissions for a meaningful check')
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
    """Yield the cell's view of members, targets and unfinished jobs.

    It is read while the cell still runs, since a failure that is not
    reproducible can be traced only by it.
    """
    unfinished = [
        one.job for one in submissions if one.outcome in _UNFINISHED_STATES
    ]
    paths = [
        '/v1/members',
        '/v1/targets',
        *(
            f'/v1/jobs/{name}/explanation'
            for name in unfinished[:_MAX_EXPLANATIONS]
        ),
    ]
    for path in paths:
        try:
            state = json.dumps(cluster.running_cell.get(path))
        except (httpx.HTTPError, ValueError) as error:
            state = f'not available: {error}'
        yield f'evidence {path}: {state}'


def members(cluster: Cluster) -> dict[str, Any]:
    """Return the state of the replicas as reported by the first entry."""
    return cluster.running_cell.get('/v1/members')


def _get_kill_times(cluster: Cluster) -> dict[str, int]:
    return {
        name: process.killed_at
        for name, process in cluster.running_cell.processes.items()
        if process.killed_at
    }


def _add_relays(
    network: relay.Network,
    role: str,
    addresses: list[str],
    ports: Iterator[int],
) -> Iterator[str]:
    for number, address in enumerate(addresses):
        yield network.add_relay(f'{role}-{number}', address, next(ports))


def _get_pids(running: cell.Cell) -> dict[str, int]:
    return {
        name: process.running.pid
        for name, process in running.processes.items()
        if process.running is not None
    }


def clear_folder(folder: pathlib.Path) -> None:
    """Delete all files in a data folder."""
    for path in folder.iterdir():
        path.unlink()
