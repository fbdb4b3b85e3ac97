"""The settings file of a process on the platform."""

from __future__ import annotations

import os
import pathlib

import msgspec

from . import http

PATH_VARIABLE = 'MULBERRYWALK_CONFIG'


class Addresses(msgspec.Struct, frozen=True):
    """Where a process serves; empty for what it does not serve."""

    front: str = ''
    readiness: str = ''
    control: str = ''


class Tolerance(msgspec.Struct, frozen=True):
    """What may be lost at the same time."""

    machines: int = 1


class Bounds(msgspec.Struct, frozen=True, rename='camel'):
    """Times that the users' rules bound; the names say the unit."""

    config_apply_ms: int = 2000
    max_hold_ms: int = 10000
    contact_ms: int = 3000
    grace_s: float = 6
    drain_ms: int = 2000


class Settings(msgspec.Struct, frozen=True, rename='camel'):
    """What the platform tells a process; unknown fields are ignored.

    seeds are addresses of interfaces for operators and targets.
    """

    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...]
    bind_addrs: Addresses = Addresses()
    bootstrap: bool = False
    fault_tolerance: Tolerance = Tolerance()
    bounds: Bounds = Bounds()
    data_dir: str | None = None
    advice: str | None = None

    def peer_address(self) -> str:
        """Return where this process talks to others of the system."""
        return f'{self.ip}:{self.internal_ports[0]}'

    def own_address(self) -> str:
        """Return where this process serves its own interface and metrics."""
        port = self.internal_ports[0] + 1
        return f'{self.ip}:{port}'

    def metrics_address(self) -> str:
        """Return where this process shows its metrics."""
        return f'{self.ip}:{http.METRICS_PORT}'

    def seed_peers(self) -> tuple[str, ...]:
        """Return where the replicas named as seeds talk to others."""
        hosts = (seed.rpartition(':')[0] for seed in self.seeds)
        return tuple(f'{host}:{self.internal_ports[0]}' for host in hosts)


def find_path() -> pathlib.Path:
    """Return the path of the settings file."""
    return pathlib.Path(os.environ[PATH_VARIABLE])


def read(path: pathlib.Path) -> Settings:
    """Read the settings; raises msgspec.MsgspecError when they are wrong."""
    return msgspec.json.decode(path.read_bytes(), type=Settings)
