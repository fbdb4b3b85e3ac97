"""Converts what the platform's workers say of themselves to records."""

from __future__ import annotations

import dataclasses

import msgspec

from ..core import event, identity, resource
from ..transport import decoding
from . import bound, wire

_BYTES_PER_MIB = 1_048_576
# Workers have no slots: other resources limit their tasks.
_UNLIMITED_SLOTS = 100_000
_READY = 'ready'
_DRAINING = 'draining'


class Capacity(msgspec.Struct, frozen=True, rename='camel'):
    """The resources of a worker; cpu is in thousandths of a core."""

    cpu: bound.Millicores
    mem_mb: bound.Mebibytes
    gpu: bound.Accelerators


class Heartbeat(msgspec.Struct, frozen=True, rename='camel'):
    """The state that a worker reports; its last label is its rack.

    Every worker sends all fields. A heartbeat without one of them, or with one
    of another type, is from another writer, so those that are not used are
    declared too.
    """

    service: bound.Text
    address: bound.Text
    zone: bound.Text
    version: bound.Text
    slots: bound.Count
    state: str
    cold_remaining_ms: bound.SignedDuration
    capacity: Capacity
    labels: bound.Labels
    clock_ms: bound.Duration
    seq: bound.Count
    born: bound.Timestamp
    # Set while the worker drains: how long it stays at least.
    remaining_ms: bound.SignedDuration | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerTimes:
    """The lease of a worker, and the longest time that a stop takes there."""

    lease_ms: int
    stop_ms: int


class Deregistration(msgspec.Struct, frozen=True):
    """What a worker says when it ends."""

    born: bound.Count = 0


_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)
_deregistration_decoder = msgspec.json.Decoder(Deregistration)


def read_heartbeat(
    name: str, body: bytes, times: WorkerTimes
) -> event.TargetHeartbeat:
    """Decode the heartbeat of a worker; raises wire.WireError."""
    with decoding.translate_errors(wire.WireError):
        return _to_target_heartbeat(
            name, _heartbeat_decoder.decode(body), times
        )


def read_birth(body: bytes) -> int:
    """Return the start of the worker that deregisters, zero if not told.

    Workers may send no body. Raises wire.WireError if there is an invalid one.
    """
    if not body:
        return 0
    with decoding.translate_errors(wire.WireError):
        return _deregistration_decoder.decode(body).born


def _to_target_heartbeat(
    name: str, decoded: Heartbeat, times: WorkerTimes
) -> event.TargetHeartbeat:
    fault = _find_fault(name, decoded)
    if fault:
        raise wire.WireError(fault)
    rack = decoded.labels[-1] if decoded.labels else ''
    announcement = event.Announcement(
        target=identity.TargetId(name),
        data_centre=identity.DataCentre(decoded.zone),
        rack=identity.Rack(rack),
        capacity=resource.Resources(
            int(decoded.capacity.cpu),
            int(decoded.capacity.mem_mb * _BYTES_PER_MIB),
            decoded.capacity.gpu,
            _UNLIMITED_SLOTS,
        ),
        nonce=str(decoded.born),
        pool=identity.Pool(decoded.service),
        labels=decoded.labels,
        address=decoded.address,
        born_at=decoded.born,
        lease_ms=times.lease_ms,
    )
    return event.TargetHeartbeat(
        announcement,
        decoded.seq,
        is_leaving=decoded.state == _DRAINING,
        remaining_ms=_to_remaining_ms(decoded.remaining_ms),
        stop_ms=times.stop_ms,
    )


def _find_fault(name: str, decoded: Heartbeat) -> str:
    """Return why a heartbeat is not from a worker, or ''."""
    if decoded.state not in {_READY, _DRAINING}:
        return 'the state is not known'
    if decoded.state == _DRAINING and decoded.remaining_ms is None:
        return 'a draining worker has no remaining time'
    if not bound.is_address(decoded.address):
        return 'the address is not IPv4:port'
    if not bound.is_worker_id(name):
        return 'the id is not of printable characters'
    return ''


def _to_remaining_ms(remaining_ms: float | None) -> int | None:
    return None if remaining_ms is None else max(0, int(remaining_ms))
