"""Marks of the requests that an entry forwards to the leader."""

from __future__ import annotations

import secrets

from ..core import configuration

_MARK_BYTES = 8


def make(current: configuration.Configuration | None) -> str:
    """Return a mark that no other request has, by which copies are known.

    It is empty where no refusal depends on it, which saves its transfer.
    """
    if current is None or not current.routing.teams:
        return ''
    return secrets.token_hex(_MARK_BYTES)
