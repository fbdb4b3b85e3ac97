"""What goes wrong while a message of others is read, as one error.

A decoder raises errors of its own for bytes that fit no type, but also a
RecursionError for what is nested deeply, and numbers that no type of the
wire holds fail only where they are converted.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ..core import job

# Of what is wrong with a message, so many characters are told and logged: the
# message may be quoted in it.
MAX_ERROR_LENGTH = 300
# How deeply free-form data may be nested, and the whole numbers in it: those of
# 64 bits with a sign.
MAX_NESTING_DEPTH = 16
_MAX_INTEGER = job.MAX_INT64

_DECODING_ERRORS = (
    msgspec.MsgspecError,
    ArithmeticError,
    IndexError,
    RecursionError,
    ValueError,
)


class MalformedMessageError(Exception):
    """A message that cannot be read; the text says why."""


class _ErrorTranslation:
    """A context that turns what is wrong with a message into one error."""

    __slots__ = ('_kind',)

    def __init__(self, kind: type[Exception]) -> None:
        """Raise errors of a kind."""
        self._kind = kind

    def __enter__(self) -> None:
        """Begin to read."""

    def __exit__(
        self, kind: object, error: BaseException | None, trace: object
    ) -> None:
        """Raise the reader's error, or leave one of the program as it is."""
        if isinstance(error, _DECODING_ERRORS):
            raise self._kind(str(error)[:MAX_ERROR_LENGTH]) from error


def translate_errors(
    kind: type[Exception] = MalformedMessageError,
) -> _ErrorTranslation:
    """Raise an error of a kind for whatever is wrong with a message.

    A class, since each event passes here: a generator takes 2 us more.
    """
    return _ErrorTranslation(kind)


def find_encoding_error(said: Any) -> str:
    """Return why no message can carry free-form data, or nothing.

    The data is that of JSON: dictionaries, lists, texts and numbers.
    """
    level = [said]
    for _ in range(MAX_NESTING_DEPTH):
        if not all(map(_is_in_range, level)):
            return 'a number is too large'
        level = [inner for one in level for inner in _children_of(one)]
        if not level:
            return ''
    return f'nested more than {MAX_NESTING_DEPTH} deep'


def _is_in_range(said: Any) -> bool:
    return not isinstance(said, int) or abs(said) <= _MAX_INTEGER


def _children_of(said: Any) -> list[Any]:
    if isinstance(said, dict):
        return list(said.values())
    return said if isinstance(said, list) else []
