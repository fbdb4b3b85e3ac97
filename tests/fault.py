"""Faults that are injected into processes of a cell and reverted later.

The processes are selected before any fault is injected, so that any two
faults can be combined.
"""

from __future__ import annotations

import dataclasses
import signal
import time
from collections.abc import Callable
from types import MappingProxyType

from tests import harness

DURATION_S = 8
PARTITION_S = 12
_INTERVAL_S = 0.5
_FAILED_DATA_CENTRE = 'doto-obihiro'

ProcessNames = list[str]
Action = Callable[[harness.Cluster, ProcessNames], None]


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault: which processes it affects, its effect and its duration.

    duration_s is in seconds; its default is longer than every lease.
    """

    select: Callable[[harness.Cluster], ProcessNames]
    apply: Action
    revert: Action
    duration_s: int = DURATION_S


def inject(cluster: harness.Cluster, *names: str) -> None:
    """Inject faults in quick succession, revert them all and settle."""
    faults = [FAULTS[name] for name in names]
    affected = [one.select(cluster) for one in faults]
    for one, selected in zip(faults, affected, strict=True):
        one.apply(cluster, selected)
        time.sleep(_INTERVAL_S)
    time.sleep(max(fault.duration_s for fault in faults))
    for reverted, affected_names in zip(faults, affected, strict=True):
        reverted.revert(cluster, affected_names)
    harness.settle()


def inject_twice(cluster: harness.Cluster, name: str) -> None:
    """Inject a fault, revert it and soon after inject it again."""
    fault = FAULTS[name]
    chosen = fault.select(cluster)
    fault.apply(cluster, chosen)
    time.sleep(fault.duration_s)
    fault.revert(cluster, chosen)
    time.sleep(harness.WARM_UP_S)
    inject(cluster, name)


def _leader(cluster: harness.Cluster) -> ProcessNames:
    return [cluster.running_cell.leader()]


def _follower(cluster: harness.Cluster) -> ProcessNames:
    return [cluster.follower()]


def _replicas(cluster: harness.Cluster) -> ProcessNames:
    return cluster.replicas()


def _entry(_: harness.Cluster) -> ProcessNames:
    return ['entry-0']


def _other_entry(_: harness.Cluster) -> ProcessNames:
    return ['entry-1']


def _target(_: harness.Cluster) -> ProcessNames:
    return ['target-0']


def _targets(_: harness.Cluster) -> ProcessNames:
    return ['target-0', 'target-1']


def _data_centre(cluster: harness.Cluster) -> ProcessNames:
    return [
        name
        for name, process in cluster.running_cell.processes.items()
        if process.data_centre == _FAILED_DATA_CENTRE
    ]


def _kill(cluster: harness.Cluster, names: ProcessNames) -> None:
    for name in names:
        cluster.process(name).kill()


def _restart(cluster: harness.Cluster, names: ProcessNames) -> None:
    for name in names:
        cluster.process(name).start_again()


def _kill_and_erase_disk(cluster: harness.Cluster, names: ProcessNames) -> None:
    for name in names:
        cluster.process(name).kill()
        harness.clear_folder(cluster.running_cell.plan.folder / name)


def _pause(cluster: harness.Cluster, names: ProcessNames) -> None:
    for name in names:
        cluster.process(name).signal(signal.SIGSTOP)


def _resume(cluster: harness.Cluster, names: ProcessNames) -> None:
    for name in names:
        cluster.process(name).signal(signal.SIGCONT)


def _isolate(cluster: harness.Cluster, names: ProcessNames) -> None:
    cluster.network.isolate(*names)


def _block_inbound(cluster: harness.Cluster, names: ProcessNames) -> None:
    for name in names:
        cluster.network.block_inbound(name)


def _heal(cluster: harness.Cluster, _: ProcessNames) -> None:
    cluster.network.heal()


def _blackhole(cluster: harness.Cluster, names: ProcessNames) -> None:
    for name in names:
        cluster.network.blackhole(name)


def _do_nothing(cluster: harness.Cluster, _: ProcessNames) -> None:
    """Revert nothing: the processes must detect dead connections."""


FAULTS = MappingProxyType(
    {
        'the leader is killed': Fault(_leader, _kill, _restart),
        'a follower is killed': Fault(_follower, _kill, _restart),
        'all replicas are killed': Fault(
            _replicas, _kill, _restart, duration_s=0
        ),
        'an entry is killed': Fault(_entry, _kill, _restart),
        'two targets are killed': Fault(_targets, _kill, _restart),
        'a follower loses its disk': Fault(
            _follower, _kill_and_erase_disk, _restart
        ),
        'the leader is paused': Fault(_leader, _pause, _resume),
        'an entry is paused': Fault(_other_entry, _pause, _resume),
        'a target is paused': Fault(_target, _pause, _resume),
        'the leader is isolated': Fault(_leader, _isolate, _heal, PARTITION_S),
        'the leader receives no connections': Fault(
            _leader, _block_inbound, _heal, PARTITION_S
        ),
        'an entry is isolated': Fault(
            _other_entry, _isolate, _heal, PARTITION_S
        ),
        'all connections of the leader are blackholed': Fault(
            _leader, _blackhole, _do_nothing
        ),
        'all connections of an entry are blackholed': Fault(
            _entry, _blackhole, _do_nothing
        ),
        'a data centre is lost': Fault(_data_centre, _kill, _restart),
        'a data centre is isolated': Fault(
            _data_centre, _isolate, _heal, PARTITION_S
        ),
    }
)
