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

from tests import scene

HOLD_S = 8
CUT_S = 12
_APART_S = 0.5
_LOST_CENTRE = 'doto-obihiro'

Names = list[str]
Strike = Callable[[scene.Scene, Names], None]


@dataclasses.dataclass(frozen=True)
class Fault:
    """What is done to which processes, and for how long.

    hold_s, in seconds, outlasts every lease.
    """

    choose: Callable[[scene.Scene], Names]
    strike: Strike
    mend: Strike
    hold_s: int = HOLD_S


def suffer(struck: scene.Scene, *names: str) -> None:
    """Let faults strike shortly after each other, then mend them all."""
    faults = [FAULTS[name] for name in names]
    victims = [one.choose(struck) for one in faults]
    for one, hit in zip(faults, victims, strict=True):
        one.strike(struck, hit)
        time.sleep(_APART_S)
    time.sleep(max(fault.hold_s for fault in faults))
    for mended, victim in zip(faults, victims, strict=True):
        mended.mend(struck, victim)
    scene.settle()


def suffer_twice(struck: scene.Scene, name: str) -> None:
    """Let a fault strike again soon after it was mended."""
    fault = FAULTS[name]
    chosen = fault.choose(struck)
    fault.strike(struck, chosen)
    time.sleep(fault.hold_s)
    fault.mend(struck, chosen)
    time.sleep(scene.WORK_S)
    suffer(struck, name)


def _leader(struck: scene.Scene) -> Names:
    return [struck.running.leader()]


def _follower(struck: scene.Scene) -> Names:
    return [struck.follower()]


def _replicas(struck: scene.Scene) -> Names:
    return struck.replicas()


def _entry(_: scene.Scene) -> Names:
    return ['entry-0']


def _other_entry(_: scene.Scene) -> Names:
    return ['entry-1']


def _target(_: scene.Scene) -> Names:
    return ['target-0']


def _targets(_: scene.Scene) -> Names:
    return ['target-0', 'target-1']


def _data_centre(struck: scene.Scene) -> Names:
    return [
        name
        for name, process in struck.running.processes.items()
        if process.data_centre == _LOST_CENTRE
    ]


def _kill(struck: scene.Scene, names: Names) -> None:
    for name in names:
        struck.process(name).kill()


def _start(struck: scene.Scene, names: Names) -> None:
    for name in names:
        struck.process(name).start_again()


def _lose_disk(struck: scene.Scene, names: Names) -> None:
    for name in names:
        struck.process(name).kill()
        scene.clear(struck.running.plan.folder / name)


def _pause(struck: scene.Scene, names: Names) -> None:
    for name in names:
        struck.process(name).signal(signal.SIGSTOP)


def _resume(struck: scene.Scene, names: Names) -> None:
    for name in names:
        struck.process(name).signal(signal.SIGCONT)


def _isolate(struck: scene.Scene, names: Names) -> None:
    struck.network.isolate(*names)


def _deafen(struck: scene.Scene, names: Names) -> None:
    for name in names:
        struck.network.deafen(name)


def _heal(struck: scene.Scene, _: Names) -> None:
    struck.network.heal()


def _silence(struck: scene.Scene, names: Names) -> None:
    for name in names:
        struck.network.silence(name)


def _leave(struck: scene.Scene, _: Names) -> None:
    """Mend nothing: the processes must find out for themselves."""


FAULTS = MappingProxyType(
    {
        'the leader is killed': Fault(_leader, _kill, _start),
        'a follower is killed': Fault(_follower, _kill, _start),
        'all replicas are killed': Fault(_replicas, _kill, _start, hold_s=0),
        'an entry is killed': Fault(_entry, _kill, _start),
        'two targets are killed': Fault(_targets, _kill, _start),
        'a follower loses its disk': Fault(_follower, _lose_disk, _start),
        'the leader is paused': Fault(_leader, _pause, _resume),
        'an entry is paused': Fault(_other_entry, _pause, _resume),
        'a target is paused': Fault(_target, _pause, _resume),
        'the leader is isolated': Fault(_leader, _isolate, _heal, CUT_S),
        'the leader hears nothing': Fault(_leader, _deafen, _heal, CUT_S),
        'an entry is isolated': Fault(_other_entry, _isolate, _heal, CUT_S),
        'all connections of the leader fall silent': Fault(
            _leader, _silence, _leave
        ),
        'all connections of an entry fall silent': Fault(
            _entry, _silence, _leave
        ),
        'a data centre is lost': Fault(_data_centre, _kill, _start),
        'a data centre is cut off': Fault(_data_centre, _isolate, _heal, CUT_S),
    }
)
