"""The replica addresses known to an entry, in dialling order."""

from __future__ import annotations

from collections.abc import Iterable

# For this long after a failure, a replica is dialled after all others.
FAILURE_BACKOFF_MS = 3000


class ReplicaAddresses:
    """Replica addresses as host:port; times are monotonic milliseconds."""

    def __init__(self, addresses: Iterable[str]) -> None:
        """Start with the configured addresses."""
        self._known = list(addresses)
        self._failed_at: dict[str, int] = {}

    def all(self) -> list[str]:
        """Return all addresses."""
        return list(self._known)

    def next(self, now: int) -> str:
        """Return the next address, round robin, recently failed ones last.

        Dialling a replica whose host is powered off takes long to fail.
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
        """Record a failure to connect to an address."""
        self._failed_at[address] = now

    def add(self, added: Iterable[str]) -> None:
        """Add addresses that are not known yet, ahead of all others."""
        known = set(self._known)
        self._known = [
            *(one for one in added if one not in known),
            *self._known,
        ]

    def replace(self, members: Iterable[str]) -> None:
        """Replace all addresses, unless the new list is empty."""
        self._known = list(members) or self._known
