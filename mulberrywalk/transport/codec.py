"""Tagged encoding of outcomes, for the wire and for JSON responses."""

from __future__ import annotations

import re
from types import MappingProxyType
from typing import Any

import msgspec

from ..core import outcome

_WORD_BOUNDARY = re.compile('(?<=[a-z])(?=[A-Z])')
TAG = 'outcome'


def tag_of(outcome_class: type[Any]) -> str:
    """Return the tag of an outcome class: its name in snake case."""
    return _WORD_BOUNDARY.sub('_', outcome_class.__name__).lower()


def to_builtins(typed_outcome: outcome.Outcome) -> dict[str, Any]:
    """Return the fields of an outcome and its tag as a dictionary."""
    fields: dict[str, Any] = msgspec.to_builtins(typed_outcome)
    return {TAG: tag_of(type(typed_outcome)), **fields}


def from_builtins(fields: dict[str, Any]) -> outcome.Outcome:
    """Return the outcome that a dictionary with a tag describes.

    Raises KeyError when the tag is missing or unknown, and
    msgspec.ValidationError when the other fields do not fit the tag.
    """
    untagged = dict(fields)
    outcome_class = _CLASSES_BY_TAG[untagged.pop(TAG)]
    converted: outcome.Outcome = msgspec.convert(untagged, type=outcome_class)
    return converted


_CLASSES_BY_TAG: MappingProxyType[str, type[Any]] = MappingProxyType(
    {
        tag_of(outcome_class): outcome_class
        for outcome_class in (
            outcome.Accepted,
            outcome.NotRun,
            outcome.Unavailable,
            outcome.Cancelled,
            outcome.SessionGranted,
            outcome.PatchAccepted,
            outcome.PatchRefused,
            outcome.Recorded,
        )
    }
)
