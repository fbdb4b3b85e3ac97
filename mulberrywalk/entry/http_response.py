"""HTTP responses for outcomes and errors."""

from __future__ import annotations

import dataclasses
import math
import re
from types import MappingProxyType
from typing import Any

import msgspec
from starlette import responses

from ..core import outcome
from ..transport import codec

_FIELD_PATH = re.compile(r'`\$\.?([^`]*)`')
_MS_PER_S = 1000
_OK = 200
_GATEWAY_TIMEOUT = 504
_CONTENT_TOO_LARGE = 413
_BAD_REQUEST = 400

_REFUSAL_STATUSES: MappingProxyType[str, int] = MappingProxyType(
    {
        outcome.RefusalReason.QUEUE_FULL.value: 429,
        outcome.RefusalReason.TOO_LARGE.value: _CONTENT_TOO_LARGE,
        outcome.RefusalReason.REQUEST_REUSED.value: 409,
        outcome.RefusalReason.STALE_VERSION.value: 409,
        outcome.RefusalReason.INVALID_PATCH.value: 422,
        outcome.RefusalReason.NOT_FOUND.value: 404,
        outcome.RefusalReason.NOT_READY.value: 503,
        outcome.RefusalReason.OVERLOADED.value: 503,
        outcome.RefusalReason.SESSION_GONE.value: 410,
        outcome.RefusalReason.FOREIGN_JOB.value: 403,
        outcome.RefusalReason.CANCELLED.value: 410,
    }
)
_OUTCOME_STATUSES: MappingProxyType[str, int] = MappingProxyType(
    {
        'accepted': 202,
        'cancelled': 202,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class InputError:
    """An invalid request; field is the path of the invalid field."""

    status: int
    field: str
    message: str


def decoding_error(error: Exception) -> InputError:
    """Return the input error for a body that could not be decoded."""
    message = str(error)
    match = _FIELD_PATH.search(message)
    field = match.group(1) if match else ''
    return InputError(_BAD_REQUEST, field, message)


def body_too_large(limit: int) -> InputError:
    """Return the error for a body larger than limit bytes."""
    return InputError(_CONTENT_TOO_LARGE, '', f'the body exceeds {limit} bytes')


def respond_error(error: InputError) -> responses.Response:
    """Return the response for an invalid request."""
    body = {
        codec.TAG: 'invalid_request',
        'field': error.field,
        'message': error.message,
    }
    return _json(error.status, body)


def respond(body: dict[str, Any]) -> responses.Response:
    """Return the response for a reply from the leader."""
    tag = body[codec.TAG]
    headers: dict[str, str] = {}
    status = _OUTCOME_STATUSES.get(tag, _OK)
    reason = body.get('reason', '')
    if reason:
        status = _REFUSAL_STATUSES.get(reason, _BAD_REQUEST)
    retry_after_ms = body.get('retry_after_ms', 0)
    if retry_after_ms:
        seconds = math.ceil(retry_after_ms / _MS_PER_S)
        headers['Retry-After'] = str(seconds)
    return _json(status, body, headers)


def respond_unknown(request_id: str) -> responses.Response:
    """Return the response for a request whose outcome is unknown."""
    body = {
        codec.TAG: 'unknown',
        'request_id': request_id,
        'message': 'no answer in time: ask again with the same request id',
    }
    return _json(_GATEWAY_TIMEOUT, body)


def respond_not_ready(detail: str) -> responses.Response:
    """Return the response of an entry that accepts no new work."""
    refusal = outcome.Unavailable(
        outcome.RefusalReason.NOT_READY, detail, _MS_PER_S
    )
    return respond(codec.to_builtins(refusal))


def respond_plain(
    body: dict[str, Any], status: int = _OK
) -> responses.Response:
    """Return a JSON response that carries no outcome."""
    return _json(status, body)


def _json(
    status: int, body: Any, headers: dict[str, str] | None = None
) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(body),
        status_code=status,
        headers=headers,
        media_type='application/json',
    )
