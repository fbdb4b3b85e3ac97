"""Faults that strike processes of a cell and are mended later.

Victims are chosen before anything is struck, so that any two faults can
strike together.
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

Names = list[str]
Action = Callable[[harness.Cluster, Names], None]


@dataclasses.dataclass(frozen=True)
class Fault:
    """What is done to which processes, and for how long.

    duration_s, in seconds, outlasts every lease.
    """

    select: Callable[[harness.Cluster], Names]
    inject: Action
    revert: Action
    duration_s: int = DURATION_S


def inject(cluster: harness.Cluster, *names: str) -> None:
    """Let faults strike shortly after each other, then mend them all."""
    faults = [FAULTS[name] for name in names]
    victims = [one.select(cluster) for one in faults]
    for one, hit in zip(faults, victims, strict=True):
        one.inject(cluster, hit)
        time.sleep(_INTERVAL_S)
    time.sleep(max(fault.duration_s for fault in faults))
    for mended, victim in zip(faults, victims, strict=True):
        mended.revert(cluster, victim)
    harness.settle()


def inject_twice(cluster: harness.Cluster, name: str) -> None:
    """Let a fault strike again soon after it was mended."""
    fault = FAULTS[name]
    chosen = fault.select(cluster)
    fault.inject(cluster, chosen)
    time.sleep(fault.duration_s)
    fault.revert(cluster, chosen)
    time.sleep(harness.WARM_UP_S)
    inject(cluster, name)


def _leader(cluster: harness.Cluster) -> Names:
    return [cluster.running_cell.leader()]


def _follower(cluster: harness.Cluster) -> Names:
    return [cluster.follower()]


def _replicas(cluster: harness.Cluster) -> Names:
    return cluster.replicas()


def _entry(_: harness.Cluster) -> Names:
    return ['entry-0']


def _other_entry(_: harness.Cluster) -> Names:
    return ['entry-1']


def _target(_: harness.Cluster) -> Names:
    return ['target-0']


def _targets(_: harness.Cluster) -> Names:
    return ['target-0', 'target-1']


def _data_centre(cluster: harness.Cluster) -> Names:
    return [
        name
        for name, process in cluster.running_cell.processes.items()
        if process.data_centre == _FAILED_DATA_CENTRE
    ]


def _kill(cluster: harness.Cluster, names: Names) -> None:
    for name in names:
        cluster.process(name).kill()


def _restart(cluster: harness.Cluster, names: Names) -> None:
    for name in names:
        cluster.process(name).start_again()


def _kill_and_erase_disk(cluster: harness.Cluster, names: Names) -> None:
    for name in names:
        cluster.process(name).kill()
        harness.clear_folder(cluster.running_cell.plan.folder / name)


def _pause(cluster: harness.Cluster, names: Names) -> None:
    for name in names:
        cluster.process(name).signal(signal.SIGSTOP)


def _resume(cluster: harness.Cluster, names: Names) -> None:
    for name in names:
        cluster.process(name).signal(signal.SIGCONT)


def _isolate(cluster: harness.Cluster, names: Names) -> None:
    cluster.network.isolate(*names)


def _block_inbound(cluster: harness.Cluster, names: Names) -> None:
    for name in names:
        cluster.network.block_inbound(name)


def _heal(cluster: harness.Cluster, _: Names) -> None:
    cluster.network.heal()


def _blackhole(cluster: harness.Cluster, names: Names) -> None:
    for name in names:
        cluster.network.blackhole(name)


def _do_nothing(cluster: harness.Cluster, _: Names) -> None:
    """Mend nothing: the processes must find out for themselves."""


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
        'the leader hears nothing': Fault(
            _leader, _block_inbound, _heal, PARTITION_S
        ),
        'an entry is isolated': Fault(
            _other_entry, _isolate, _heal, PARTITION_S
        ),
        'all connections of the leader fall silent': Fault(
            _leader, _blackhole, _do_nothing
        ),
        'all connections of an entry fall silent': Fault(
            _entry, _blackhole, _do_nothing
        ),
        'a data centre is lost': Fault(_data_centre, _kill, _restart),
        'a data centre is cut off': Fault(
            _data_centre, _isolate, _heal, PARTITION_S
        ),
    }
)
