"""The platform's messages, each decoded once into the product's records."""

from __future__ import annotations

import hashlib
from types import MappingProxyType

import msgspec

from ..core import configuration, event, identity, job, resource
from ..entry import target_client
from ..replica import registry
from ..transport import decoding
from . import bound

_PERCENT = 100
_US_PER_MS = 1000
_BYTES_PER_MIB = 1_048_576
# Targets of the platform have no slots: other resources bound their tasks.
_SLOTS = 100_000
_URGENCIES = tuple(job.Urgency)
# The place of the rough figure in a row of what runs.
_GAUGE = 4
_READY = 'ready'
_DRAINING = 'draining'


class WireError(Exception):
    """A message that does not fit; the text says where."""


class Advice(msgspec.Struct, frozen=True, rename='camel'):
    """What an answer of a queue's adviser costs."""

    decision_ms: bound.Span = 0
    per_worker_ms: bound.Span = 0
    valid_ms: bound.Span = 0


class Route(msgspec.Struct, frozen=True, rename='camel'):
    """A queue; service names the pool of its workers."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: bound.Span
    target_latency_ms: bound.Span = 0
    priority: int = 0
    max_attempts: bound.Count = 0
    slack_factor: bound.Factor = 1
    advice: Advice | None = None


class Service(msgspec.Struct, frozen=True):
    """A pool of workers."""

    name: str
    standby: bool = False


class Limits(msgspec.Struct, frozen=True, rename='camel'):
    """Limits of callers' requests."""

    max_body_bytes: bound.Count = 0


class Configuration(msgspec.Struct, frozen=True):
    """A complete configuration under the operator's version."""

    version: bound.Whole
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = Limits()


class Phase(msgspec.Struct, frozen=True, rename='camel'):
    """One step of a job; cpu is in thousandths of a core."""

    count: bound.Count
    cpu: bound.Millicores = 0
    mem_mb: bound.Mebibytes = 0
    gpu: bound.Accelerators = 0
    estimate_ms: bound.Span = 0
    after: tuple[bound.Count, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    rack_local: bool = False
    constraints: str = ''
    data_rack: str = ''
    anti_affinity: bound.Count = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: bound.Span = 0
    fills: bool = False
    may_miss: bound.Count = 0


class Job(msgspec.Struct, frozen=True, rename='camel'):
    """A job as a caller hands it in; phases are its steps."""

    phases: tuple[Phase, ...]
    spec: str = ''
    repeat_count: bound.Whole = 0
    interval_ms: bound.Rest = 0
    first_ms: bound.Rest = 0


class Capacity(msgspec.Struct, frozen=True, rename='camel'):
    """What a worker holds; cpu is in thousandths of a core."""

    cpu: bound.Millicores
    mem_mb: bound.Mebibytes
    gpu: bound.Accelerators = 0


class Heartbeat(msgspec.Struct, frozen=True):
    """What a worker says of itself; labels end with its rack."""

    service: bound.Text
    address: bound.Text
    zone: bound.Text
    state: str
    capacity: Capacity
    seq: bound.Count
    born: bound.Moment
    labels: bound.Labels = ()
    # Told while the worker drains: the least time that it stays.
    remaining_ms: bound.Rest | None = msgspec.field(
        name='remainingMs', default=None
    )


class Listing(msgspec.Struct, frozen=True, rename='camel'):
    """What runs on a worker and what has ended there."""

    clock_ms: bound.Span
    born: bound.Count
    running: bound.Rows = ()
    finished: bound.Rows = ()


class Refusal(msgspec.Struct, frozen=True):
    """Why a worker refuses an order."""

    reason: str = ''


class Ticket(msgspec.Struct, frozen=True):
    """Leave of the adviser for one worker."""

    id: str
    ticket: str


class Advised(msgspec.Struct, frozen=True):
    """The workers that may run a step: rows of id and ticket."""

    allowed: tuple[tuple[str, str] | Ticket, ...]


_ENDS = MappingProxyType(
    {
        'done': job.EndReason.COMPLETED,
        'failed': job.EndReason.FAILED,
        'stopped': job.EndReason.STOPPED,
        'lapsed': job.EndReason.LEASE_LAPSED,
        'broken': job.EndReason.GANG_BROKEN,
        'alone': job.EndReason.GANG_INCOMPLETE,
    }
)
_REFUSALS = MappingProxyType(
    {
        'fence': target_client.CallResult.FENCED,
        'old': target_client.CallResult.BARRED,
        'late': target_client.CallResult.LEASE_EXPIRED,
        'room': target_client.CallResult.NO_CAPACITY,
        'ticket': target_client.CallResult.NO_TICKET,
    }
)

_configurations = msgspec.json.Decoder(Configuration)
_jobs = msgspec.json.Decoder(Job)
_heartbeats = msgspec.json.Decoder(Heartbeat)
_listings = msgspec.json.Decoder(Listing)
_refusals = msgspec.json.Decoder(Refusal)
_advised = msgspec.json.Decoder(Advised)


def read_routing(body: bytes) -> configuration.Routing:
    """Return the routing of a configuration; raises WireError."""
    with decoding.translate_errors(WireError):
        read = _configurations.decode(body)
        return configuration.Routing(
            version=read.version,
            queues=tuple(_queue_of(route) for route in read.routes),
            pools=tuple(
                configuration.PoolSettings(one.name, one.standby)
                for one in read.services
            ),
            max_body_bytes=read.limits.max_body_bytes,
            source=body.decode(),
        )


def read_job(
    body: bytes, name: str, queue: configuration.Queue
) -> job.Specification:
    """Return the specification of a job for a queue; raises WireError."""
    with decoding.translate_errors(WireError):
        read = _jobs.decode(body)
        steps = tuple(_step_of(phase) for phase in read.phases)
        fields = {
            'request_id': name,
            'team': queue.pool,
            'kind': job.Kind.WORKFLOW,
            'steps': msgspec.to_builtins(steps),
            'job': name,
            'queue': queue.name,
            'payload': read.spec,
            'recurrence': _recurrence_of(read),
        }
        return msgspec.convert(fields, job.Specification)


def digest_of(body: bytes) -> str:
    """Return a digest that tells one submission from another."""
    return hashlib.sha256(body).hexdigest()


def read_heartbeat(
    name: str, body: bytes, lease_ms: int
) -> registry.TargetHeartbeat:
    """Return what a worker says of itself; raises WireError."""
    with decoding.translate_errors(WireError):
        return _sighting_of(name, _heartbeats.decode(body), lease_ms)


def _sighting_of(
    name: str, read: Heartbeat, lease_ms: int
) -> registry.TargetHeartbeat:
    if read.state not in {_READY, _DRAINING}:
        raise WireError('the state is not known')
    if not bound.is_address(read.address):
        raise WireError('the address is not IPv4:port')
    if not bound.is_id(name):
        raise WireError('the id is not of printable characters')
    rack = read.labels[-1] if read.labels else ''
    announcement = event.Announcement(
        target=identity.TargetId(name),
        data_centre=identity.DataCentre(read.zone),
        rack=identity.Rack(rack),
        capacity=resource.Resources(
            int(read.capacity.cpu),
            int(read.capacity.mem_mb * _BYTES_PER_MIB),
            read.capacity.gpu,
            _SLOTS,
        ),
        nonce=str(read.born),
        pool=identity.Pool(read.service),
        labels=read.labels,
        address=read.address,
        born_at=read.born,
        lease_ms=lease_ms,
    )
    return registry.TargetHeartbeat(
        announcement,
        read.seq,
        is_leaving=read.state == _DRAINING,
        remaining_ms=_whole_ms(read.remaining_ms),
    )


def _whole_ms(told: float | None) -> int | None:
    return None if told is None else max(0, int(told))


def read_listing(body: bytes) -> target_client.PollResult:
    """Return what a worker lists; raises WireError."""
    with decoding.translate_errors(WireError):
        read = _listings.decode(body)
        running = tuple(_running_of(row) for row in read.running)
        ended = tuple(_ended_of(row) for row in read.finished)
        return target_client.PollResult(
            int(read.clock_ms), read.born, running, ended
        )


def read_refusal(body: bytes) -> target_client.CallResult:
    """Return why a worker refuses an order."""
    try:
        with decoding.translate_errors(WireError):
            read = _refusals.decode(body)
    except WireError:
        return target_client.CallResult.INVALID
    return _REFUSALS.get(read.reason, target_client.CallResult.INVALID)


def read_tickets(body: bytes) -> tuple[tuple[identity.TargetId, str], ...]:
    """Return the workers that the adviser allows; raises WireError."""
    with decoding.translate_errors(WireError):
        read = _advised.decode(body)
    rows = (
        (row.id, row.ticket) if isinstance(row, Ticket) else row
        for row in read.allowed
    )
    return tuple((identity.TargetId(name), ticket) for name, ticket in rows)


def split(attempt: identity.AttemptId) -> tuple[str, int]:
    """Return the task and the run that the platform knows an attempt by."""
    task, _, run = attempt.rpartition('/')
    return task, int(run)


def _attempt_of(task: object, run: object) -> identity.AttemptId:
    if not bound.is_name(task) or not bound.is_count(run):
        raise WireError('a row names no run of a task')
    return identity.AttemptId(f'{task}/{run}')


def _saved_of(told: object) -> str:
    saved = '' if told is None else told
    if not isinstance(saved, str) or len(saved) > bound.MOST_SAVED:
        raise WireError('what a row says was saved is no text, or too long')
    return saved


def _running_of(row: tuple[object, ...]) -> target_client.RunningAttempt:
    """Return what a row of runs says: task, run, saved, percent, gauge.

    A gauge that is no number from zero on counts as zero.
    """
    gauge = row[_GAUGE] if len(row) > _GAUGE else 0
    return target_client.RunningAttempt(
        _attempt_of(row[0], row[1]), _saved_of(row[2]), _reading_of(gauge)
    )


def _reading_of(gauge: object) -> int:
    if not isinstance(gauge, int | float) or isinstance(gauge, bool):
        return 0
    return round(gauge) if 0 <= gauge <= bound.LAST_MS else 0


def _ended_of(row: tuple[object, ...]) -> target_client.EndedAttempt:
    """Return what a row of ends says: number, task, run, how, saved."""
    number = row[0]
    if not bound.is_count(number):
        raise WireError('an end is not numbered')
    reason = _ENDS.get(str(row[3]))
    if reason is None:
        raise WireError('how an attempt has ended is not known')
    attempt = _attempt_of(row[1], row[2])
    return target_client.EndedAttempt(
        number, attempt, reason, _saved_of(row[4])
    )


def _queue_of(route: Route) -> configuration.Queue:
    """Return a queue whose terms a job can take over, at most the longest."""
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
        advice=_terms_of(route.advice),
    )


def _terms_of(advice: Advice | None) -> job.AdviceSettings | None:
    if advice is None or not advice.valid_ms:
        return None
    per_worker_us = int(advice.per_worker_ms * _US_PER_MS)
    return job.AdviceSettings(
        min(int(advice.decision_ms), job.MAX_RUN_MS),
        min(per_worker_us, job.MAX_RUN_MS),
        min(max(1, int(advice.valid_ms)), job.MAX_RUN_MS),
    )


def _step_of(phase: Phase) -> job.StepSpecification:
    return job.StepSpecification(
        count=phase.count,
        millicores=int(phase.cpu),
        memory_bytes=int(phase.mem_mb * _BYTES_PER_MIB),
        accelerators=phase.gpu,
        estimate_ms=int(phase.estimate_ms),
        after=phase.after,
        is_gang=phase.gang,
        is_checkpointing=phase.checkpointing,
        is_lasting=phase.long_running,
        is_filler=phase.fills,
        is_speculative=phase.speculative,
        is_rack_local=phase.rack_local,
        label=phase.constraints,
        data_rack=phase.data_rack,
        per_target_limit=phase.anti_affinity,
        image=phase.image,
        latency_target_ms=int(phase.target_ms),
        planned_absences=phase.may_miss,
    )


def _recurrence_of(read: Job) -> dict[str, int] | None:
    if read.repeat_count <= 0:
        return None
    return {
        'first_at': int(read.first_ms),
        'interval_ms': int(read.interval_ms),
        'count': read.repeat_count,
    }
