"""Converts the platform's messages to the scheduler's records."""

from __future__ import annotations

import hashlib
from types import MappingProxyType

import msgspec

from ..core import configuration, identity, job
from ..entry import target_client
from ..transport import decoding
from . import bound, routing

# A worker lists this many ends at a time.
_MAX_LISTED_ENDS = 500
_BYTES_PER_MIB = 1_048_576
# Position of the gauge in a row of a running attempt.
_GAUGE_INDEX = 4

WireError = bound.WireError
read_routing = routing.read_routing


class Phase(msgspec.Struct, frozen=True, rename='camel'):
    """One step of a job; cpu is in thousandths of a core."""

    count: bound.Count
    cpu: bound.Millicores = 0
    mem_mb: bound.Mebibytes = 0
    gpu: bound.Accelerators = 0
    estimate_ms: bound.Duration = 0
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
    target_ms: bound.Duration = 0
    fills: bool = False
    may_miss: bound.Count = 0


class Job(msgspec.Struct, frozen=True, rename='camel'):
    """A job as submitted by a caller; phases are its steps."""

    phases: tuple[Phase, ...]
    spec: str = ''
    repeat_count: bound.Integer = 0
    interval_ms: bound.SignedDuration = 0
    first_ms: bound.SignedDuration = 0


class Listing(msgspec.Struct, frozen=True, rename='camel'):
    """The running and the ended attempts of a worker."""

    clock_ms: bound.Duration
    born: bound.Count
    running: bound.Rows
    finished: bound.Rows


class Refusal(msgspec.Struct, frozen=True):
    """The reason for which a worker refuses a command."""

    reason: str = ''


class Ticket(msgspec.Struct, frozen=True):
    """The adviser's permission to run a step on one worker."""

    id: str
    ticket: str


class AdviceReply(msgspec.Struct, frozen=True):
    """The workers that may run a step, each with its ticket."""

    allowed: tuple[tuple[str, str] | Ticket, ...]


_END_REASONS = MappingProxyType(
    {
        'done': job.EndReason.COMPLETED,
        'failed': job.EndReason.FAILED,
        'stopped': job.EndReason.STOPPED,
        'lapsed': job.EndReason.LEASE_LAPSED,
        'broken': job.EndReason.GANG_BROKEN,
        'alone': job.EndReason.GANG_INCOMPLETE,
    }
)
_REFUSAL_RESULTS = MappingProxyType(
    {
        'fence': target_client.CallResult.FENCED,
        'old': target_client.CallResult.BARRED,
        'late': target_client.CallResult.LEASE_EXPIRED,
        'room': target_client.CallResult.NO_CAPACITY,
        'ticket': target_client.CallResult.NO_TICKET,
    }
)

_job_decoder = msgspec.json.Decoder(Job)
_listing_decoder = msgspec.json.Decoder(Listing)
_refusal_decoder = msgspec.json.Decoder(Refusal)
_advice_decoder = msgspec.json.Decoder(AdviceReply)


def read_job(
    body: bytes, name: str, queue: configuration.Queue, team: str = ''
) -> job.Specification:
    """Decode the specification of a job in a queue; raises WireError.

    A job without a team is counted for the pool of its queue.
    """
    with decoding.translate_errors(WireError):
        decoded = _job_decoder.decode(body)
        steps = tuple(_to_step(phase) for phase in decoded.phases)
        fields = {
            'request_id': name,
            'team': team or queue.pool,
            'kind': job.Kind.WORKFLOW,
            'steps': msgspec.to_builtins(steps),
            'job': name,
            'queue': queue.name,
            'payload': decoded.spec,
            'recurrence': _to_recurrence(decoded),
        }
        return msgspec.convert(fields, job.Specification)


def submission_digest(body: bytes) -> str:
    """Return a digest that identifies the content of a submission."""
    return hashlib.sha256(body).hexdigest()


def read_listing(body: bytes) -> target_client.PollResult:
    """Decode the listing of a worker; raises WireError."""
    with decoding.translate_errors(WireError):
        decoded = _listing_decoder.decode(body)
        running = tuple(_to_running_attempt(row) for row in decoded.running)
        ended = tuple(_to_ended_attempt(row) for row in decoded.finished)
        return target_client.PollResult(
            int(decoded.clock_ms),
            decoded.born,
            running,
            ended,
            is_complete=len(ended) < _MAX_LISTED_ENDS,
        )


def read_refusal(body: bytes) -> target_client.CallResult:
    """Decode the reason of a refusal, or return INVALID."""
    try:
        with decoding.translate_errors(WireError):
            decoded = _refusal_decoder.decode(body)
    except WireError:
        return target_client.CallResult.INVALID
    return _REFUSAL_RESULTS.get(
        decoded.reason, target_client.CallResult.INVALID
    )


def read_tickets(body: bytes) -> tuple[tuple[identity.TargetId, str], ...]:
    """Decode the allowed workers and their tickets; raises WireError."""
    with decoding.translate_errors(WireError):
        decoded = _advice_decoder.decode(body)
    rows = (
        (row.id, row.ticket) if isinstance(row, Ticket) else row
        for row in decoded.allowed
    )
    return tuple((identity.TargetId(name), ticket) for name, ticket in rows)


def split_attempt_id(attempt: identity.AttemptId) -> tuple[str, int]:
    """Return the task and the run number that make up an attempt id."""
    task, _, run = attempt.rpartition('/')
    return task, int(run)


def _to_attempt_id(task: object, run: object) -> identity.AttemptId:
    if not bound.is_task_name(task) or not bound.is_count(run):
        raise WireError('a row has no valid task and run')
    return identity.AttemptId(f'{task}/{run}')


def _to_checkpoint(field: object) -> str:
    checkpoint = '' if field is None else field
    if (
        not isinstance(checkpoint, str)
        or len(checkpoint) > bound.MAX_CHECKPOINT_LENGTH
    ):
        raise WireError(
            'the checkpoint in a row is not a string, or is too long'
        )
    return checkpoint


def _to_running_attempt(
    row: tuple[object, ...],
) -> target_client.RunningAttempt:
    """Convert a row of task, run, checkpoint, percent and gauge.

    A gauge that is missing, not a number or out of range counts as zero.
    """
    gauge = row[_GAUGE_INDEX] if len(row) > _GAUGE_INDEX else 0
    return target_client.RunningAttempt(
        _to_attempt_id(row[0], row[1]), _to_checkpoint(row[2]), _to_gauge(gauge)
    )


def _to_gauge(gauge: object) -> int:
    if not isinstance(gauge, int | float) or isinstance(gauge, bool):
        return 0
    return round(gauge) if 0 <= gauge <= bound.MAX_TIME_MS else 0


def _to_ended_attempt(row: tuple[object, ...]) -> target_client.EndedAttempt:
    """Convert a row of number, task, run, end reason and checkpoint."""
    number = row[0]
    if not bound.is_count(number):
        raise WireError('an ended attempt has no valid number')
    reason = _END_REASONS.get(str(row[3]))
    if reason is None:
        raise WireError('an ended attempt has an unknown reason')
    attempt = _to_attempt_id(row[1], row[2])
    return target_client.EndedAttempt(
        number, attempt, reason, _to_checkpoint(row[4])
    )


def _to_step(phase: Phase) -> job.StepSpecification:
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


def _to_recurrence(decoded: Job) -> dict[str, int] | None:
    if decoded.repeat_count <= 0:
        return None
    return {
        'first_at': int(decoded.first_ms),
        'interval_ms': int(decoded.interval_ms),
        'count': decoded.repeat_count,
    }
