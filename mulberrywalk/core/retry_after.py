"""How long the caller of a refused request is asked to wait."""

from __future__ import annotations

_MS_PER_S = 1000
MIN_MS = 1000
# Entries and callers get whole seconds; refusals are remembered for this long.
MAX_MS = 30_000


def clamp_ms(wait_ms: int) -> int:
    """Return a wait as whole seconds within the limits, in ms."""
    whole_ms = -(-wait_ms // _MS_PER_S) * _MS_PER_S
    return min(MAX_MS, max(MIN_MS, whole_ms))
