"""The settings file of a process on the platform."""

from __future__ import annotations

import os
import pathlib
from typing import Annotated

import msgspec

from ..transport import decoding, region
from . import bound, http

_PERMILLE = 1000
# Keeps the factor within the integers of the log.
_MAX_REMOTE_FACTOR = 100
PATH_VARIABLE = 'MULBERRYWALK_CONFIG'
_MAX_CORES = 10_000


class SettingsError(Exception):
    """The settings cannot be read; the message says why."""


class BindAddresses(msgspec.Struct, frozen=True):
    """Listen addresses; empty for an interface that is not served."""

    front: str = ''
    readiness: str = ''
    control: str = ''


class FaultTolerance(msgspec.Struct, frozen=True):
    """The simultaneous failures that the system must tolerate."""

    machines: int = 1


class Bounds(msgspec.Struct, frozen=True, rename='camel'):
    """Time limits set by the users; the unit is part of each name."""

    config_apply_ms: int = 2000
    max_hold_ms: int = 10000
    contact_ms: int = 3000
    grace_s: float = 6
    drain_ms: int = 2000
    stop_ms: int = 200
    remote_factor: float = 1

    def remote_permille(self) -> int:
        """Return the factor in permille, limited to a plausible range."""
        factor = min(max(1, self.remote_factor), _MAX_REMOTE_FACTOR)
        return round(factor * _PERMILLE)


class Limits(msgspec.Struct, frozen=True, rename='camel'):
    """Limits of this process; cpu_share is in cores, None without a limit."""

    cpu_share: Annotated[float, msgspec.Meta(ge=0, le=_MAX_CORES)] | None = None


class Settings(msgspec.Struct, frozen=True, rename='camel'):
    """Settings that the platform provides; unknown fields are ignored.

    seeds are addresses of control interfaces, for operators and workers.
    """

    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[bound.Port, bound.Port]
    seeds: tuple[str, ...]
    bind_addrs: BindAddresses = BindAddresses()
    bootstrap: bool = False
    fault_tolerance: FaultTolerance = FaultTolerance()
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    data_dir: str | None = None
    advice: str | None = None
    # The region of this process, and that of each data centre.
    region: str | None = None
    zones: dict[str, str] | None = None

    def peer_address(self) -> str:
        """Return this process's address for other processes of the system."""
        return f'{self.ip}:{self.internal_ports[0]}'

    def api_address(self) -> str:
        """Return the address of the entry's HTTP API."""
        port = self.internal_ports[0] + 1
        return f'{self.ip}:{port}'

    def metrics_address(self) -> str:
        """Return the address at which this process serves its metrics."""
        return f'{self.ip}:{http.METRICS_PORT}'

    def seed_hosts(self) -> tuple[str, ...]:
        """Return the hosts of all seeds that are valid addresses."""
        return tuple(
            seed.rpartition(':')[0]
            for seed in self.seeds
            if bound.is_address(seed)
        )

    def invalid_seeds(self) -> tuple[str, ...]:
        """Return the seeds that are not valid addresses."""
        return tuple(seed for seed in self.seeds if not bound.is_address(seed))

    def seed_peer_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the seed replicas for other processes."""
        port = self.internal_ports[0]
        return tuple(f'{host}:{port}' for host in self.seed_hosts())


def regions_of(settings: Settings) -> region.Regions:
    """Return the regions of the data centres."""
    own = {settings.zone: settings.region} if settings.region else {}
    return region.create({**own, **(settings.zones or {})})


def find_path() -> pathlib.Path:
    """Return the path of the settings file."""
    return pathlib.Path(os.environ[PATH_VARIABLE])


def read(path: pathlib.Path) -> Settings:
    """Read the settings; raises SettingsError if they are unreadable."""
    try:
        encoded = path.read_bytes()
    except OSError as error:
        raise SettingsError(str(error)) from error
    with decoding.translate_errors(SettingsError):
        return msgspec.json.decode(encoded, type=Settings)


def modified_at_ns(path: pathlib.Path) -> int | None:
    """Return the modification time of the file, in nanoseconds since 1970.

    Returns None if the file is missing, as it may be during a replacement.
    """
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return None
