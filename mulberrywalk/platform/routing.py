"""Decodes the configuration that an operator sends into a routing."""

from __future__ import annotations

import msgspec

from ..core import configuration, job, resource
from ..transport import decoding
from . import bound

_PERCENT = 100
_US_PER_MS = 1000
_BYTES_PER_MIB = 1_048_576
_MILLIJOBS_PER_JOB = 1000
_URGENCIES = tuple(job.Urgency)


class AdviserSettings(msgspec.Struct, frozen=True, rename='camel'):
    """The duration and validity of replies from a queue's adviser."""

    decision_ms: bound.Duration = 0
    per_worker_ms: bound.Duration = 0
    valid_ms: bound.Duration = 0


class Route(msgspec.Struct, frozen=True, rename='camel'):
    """A queue; service is the pool of its workers."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: bound.Duration
    target_latency_ms: bound.Duration = 0
    priority: int = 0
    max_attempts: bound.Count = 0
    slack_factor: bound.Factor = 1
    advice: AdviserSettings | None = None
    public: bool = False


class Cap(msgspec.Struct, frozen=True, rename='camel'):
    """What a team may have running at a time; zero means no limit."""

    cpu: bound.Millicores = 0
    mem_mb: bound.Mebibytes = 0
    gpu: bound.Accelerators = 0


class Tenant(msgspec.Struct, frozen=True, rename='camel'):
    """A team; weight is both its share and its jobs per second."""

    name: job.Name
    api_keys: tuple[bound.Text, ...] = ()
    weight: bound.Factor = 1
    cap: Cap = Cap()


class Service(msgspec.Struct, frozen=True):
    """A pool of workers."""

    name: str
    standby: bool = False


class Limits(msgspec.Struct, frozen=True, rename='camel'):
    """Limits on requests of callers."""

    max_body_bytes: bound.Count = 0


class Configuration(msgspec.Struct, frozen=True):
    """A complete configuration; version is chosen by the operator."""

    version: bound.Integer
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = Limits()
    tenants: tuple[Tenant, ...] = ()


_configuration_decoder = msgspec.json.Decoder(Configuration)


def read_routing(body: bytes) -> configuration.Routing:
    """Decode the routing of a configuration; raises bound.WireError."""
    with decoding.translate_errors(bound.WireError):
        decoded = _configuration_decoder.decode(body)
        return configuration.Routing(
            version=decoded.version,
            queues=tuple(_to_queue(route) for route in decoded.routes),
            pools=tuple(
                configuration.PoolSettings(service.name, service.standby)
                for service in decoded.services
            ),
            max_body_bytes=decoded.limits.max_body_bytes,
            source=body.decode(),
            teams=tuple(_to_team(tenant) for tenant in decoded.tenants),
        )


def _to_queue(route: Route) -> configuration.Queue:
    """Convert a route, limiting its settings to what a job may have."""
    urgency = _URGENCIES[min(max(route.priority, 0), len(_URGENCIES) - 1)]
    return configuration.Queue(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        pool=route.service,
        urgency=urgency,
        timeout_ms=int(route.timeout_ms),
        objective_ms=min(int(route.target_latency_ms), job.MAX_RUN_MS),
        slack_percent=min(round(route.slack_factor * _PERCENT), job.MAX_TASKS),
        max_failures=min(route.max_attempts, job.MAX_TASKS),
        advice=_to_advice_settings(route.advice),
        is_public=route.public,
    )


def _to_team(tenant: Tenant) -> configuration.Team:
    """Convert a tenant, limiting its settings to what the log holds."""
    return configuration.Team(
        name=tenant.name,
        keys=tenant.api_keys,
        weight=_clamp_count(tenant.weight * configuration.NORMAL_WEIGHT, 1),
        limit=resource.Resources(
            int(tenant.cap.cpu),
            int(tenant.cap.mem_mb * _BYTES_PER_MIB),
            tenant.cap.gpu,
        ),
        millijobs_per_s=_clamp_count(tenant.weight * _MILLIJOBS_PER_JOB),
    )


def _clamp_count(amount: float, lowest: int = 0) -> int:
    return min(max(lowest, round(amount)), configuration.MAX_COUNT)


def _to_advice_settings(
    advice: AdviserSettings | None,
) -> job.AdviceSettings | None:
    if advice is None or not advice.valid_ms:
        return None
    per_worker_us = int(advice.per_worker_ms * _US_PER_MS)
    return job.AdviceSettings(
        min(int(advice.decision_ms), job.MAX_RUN_MS),
        min(per_worker_us, job.MAX_RUN_MS),
        min(max(1, int(advice.valid_ms)), job.MAX_RUN_MS),
    )
