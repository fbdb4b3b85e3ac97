"""The replicas that an entry knows, in the order in which it dials them."""

from __future__ import annotations

from collections.abc import Iterable

# A replica that has failed is dialled after all others for so long.
FAILURE_BACKOFF_MS = 3000


class ReplicaAddresses:
    """Addresses of replicas, host:port; times are monotonic milliseconds."""

    def __init__(self, known: Iterable[str]) -> None:
        """Start with the addresses of the settings."""
        self._known = list(known)
        self._failed_at: dict[str, int] = {}

    def all(self) -> list[str]:
        """Return all addresses."""
        return list(self._known)

    def next(self, now: int) -> str:
        """Return the addresses in turn, those that failed lately last.

        Dialling a replica that has no power takes long to fail.
        """
        address = min(
            self._known,
            key=lambda one: (
                now - self._failed_at.get(one, -FAILURE_BACKOFF_MS)
                < FAILURE_BACKOFF_MS
            ),
        )
        self._known.remove(address)
        self._known.append(address)
        return address

    def mark_failed(self, address: str, now: int) -> None:
        """Note that an address did not answer."""
        self._failed_at[address] = now

    def add(self, fresh: Iterable[str]) -> None:
        """Dial these too, before all others."""
        known = set(self._known)
        self._known = [
            *(one for one in fresh if one not in known),
            *self._known,
        ]

    def replace(self, members: Iterable[str]) -> None:
        """Know just these from now on, unless there are none."""
        self._known = list(members) or self._known
