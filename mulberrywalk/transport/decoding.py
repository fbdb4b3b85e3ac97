"""Uniform errors for malformed messages from other processes.

A decoder raises errors of its own for bytes that fit no type, but also a
RecursionError for deeply nested data, and numbers outside the range of the wire
types fail only when they are converted.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ..core import job

# Characters of an error text that are reported and logged: the text may quote
# the whole message.
MAX_ERROR_LENGTH = 300
# The limits of free-form data: its nesting depth, and the magnitude of its
# integers, which must fit into 64 bits with a sign.
MAX_NESTING_DEPTH = 16
_MAX_INTEGER = job.MAX_INT64

_CODING_ERRORS = (
    msgspec.MsgspecError,
    ArithmeticError,
    IndexError,
    RecursionError,
    ValueError,
)


class MalformedMessageError(Exception):
    """A message that cannot be encoded or decoded; the text says why."""


class _ErrorTranslation:
    """A context manager that converts coding errors to one error type."""

    __slots__ = ('_error_type',)

    def __init__(self, error_type: type[Exception]) -> None:
        """Set the type of error to raise."""
        self._error_type = error_type

    def __enter__(self) -> None:
        """Enter the context."""

    def __exit__(
        self,
        raised_type: object,
        error: BaseException | None,
        traceback: object,
    ) -> None:
        """Convert a coding error; any other error passes unchanged."""
        if isinstance(error, _CODING_ERRORS):
            raise self._error_type(str(error)[:MAX_ERROR_LENGTH]) from error


def translate_errors(
    error_type: type[Exception] = MalformedMessageError,
) -> _ErrorTranslation:
    """Raise error_type for any error of encoding or decoding a message.

    The context manager is a class because each event passes through it: a
    generator-based one takes 2 us more.
    """
    return _ErrorTranslation(error_type)


def find_encoding_error(json_data: Any) -> str:
    """Return why free-form data cannot be encoded in a message, or ''.

    The data is decoded JSON: dictionaries, lists, strings and numbers.
    """
    level = [json_data]
    for _ in range(MAX_NESTING_DEPTH):
        if not all(map(_is_in_range, level)):
            return 'a number is too large'
        level = [child for parent in level for child in _children_of(parent)]
        if not level:
            return ''
    return f'nested more than {MAX_NESTING_DEPTH} deep'


def _is_in_range(node: Any) -> bool:
    return not isinstance(node, int) or abs(node) <= _MAX_INTEGER


def _children_of(node: Any) -> list[Any]:
    if isinstance(node, dict):
        return list(node.values())
    return node if isinstance(node, list) else []
