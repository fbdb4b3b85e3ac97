"""The settings file of a process on the platform."""

from __future__ import annotations

import os
import pathlib

import msgspec

from ..transport import decoding
from . import bound, http

PATH_VARIABLE = 'MULBERRYWALK_CONFIG'


class SettingsError(Exception):
    """Settings that cannot be read; the text says where."""


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
    internal_ports: tuple[bound.Port, bound.Port]
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

    def seed_hosts(self) -> tuple[str, ...]:
        """Return the hosts of the seeds, those that are no address left out."""
        return tuple(
            seed.rpartition(':')[0]
            for seed in self.seeds
            if bound.is_address(seed)
        )

    def odd_seeds(self) -> tuple[str, ...]:
        """Return the seeds that are no address."""
        return tuple(one for one in self.seeds if not bound.is_address(one))

    def seed_peers(self) -> tuple[str, ...]:
        """Return where the replicas named as seeds talk to others."""
        port = self.internal_ports[0]
        return tuple(f'{host}:{port}' for host in self.seed_hosts())


def find_path() -> pathlib.Path:
    """Return the path of the settings file."""
    return pathlib.Path(os.environ[PATH_VARIABLE])


def read(path: pathlib.Path) -> Settings:
    """Read the settings; raises SettingsError when that cannot be done."""
    try:
        encoded = path.read_bytes()
    except OSError as error:
        raise SettingsError(str(error)) from error
    with decoding.translate_errors(SettingsError):
        return msgspec.json.decode(encoded, type=Settings)


def changed_at(path: pathlib.Path) -> int | None:
    """Return when the settings were changed, in nanoseconds since 1970.

    None while the file is not there: it may be about to be replaced.
    """
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return None
