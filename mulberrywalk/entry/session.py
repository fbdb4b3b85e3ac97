"""Sessions of targets as an entry carries them, however they are reached."""

from __future__ import annotations

import abc

import anyio

from ..core import identity
from ..transport import wire
from . import upstream

_RENEWALS_S = 0.1


class TargetSession(abc.ABC):
    """One target's session at this entry."""

    @abc.abstractmethod
    def is_polled(self) -> bool:
        """Return whether this entry calls the target, by the leader's word."""

    @abc.abstractmethod
    def command(self, commands: wire.Commands) -> None:
        """Pass on what the leader wants the target to do."""

    @abc.abstractmethod
    def renew(self, sequence: int) -> None:
        """Take note that the leader has renewed the lease.

        sequence is the one that the renewal was asked for with.
        """

    @abc.abstractmethod
    def end(self) -> None:
        """Take note that the session is over, or carried elsewhere."""

    @abc.abstractmethod
    def relocate(self) -> None:
        """Let go of the target, for this entry is stopping."""


class Sessions:
    """All sessions of this entry."""

    def __init__(self, leader: upstream.Upstream) -> None:
        """Take over what the leader sends for targets."""
        self.open: dict[identity.SessionId, TargetSession] = {}
        self._leader = leader
        self._renewals: dict[identity.SessionId, int] = {}
        leader.target_handlers = upstream.TargetHandlers(
            self._list_called, self._command, self._renew, self._end
        )

    def add(self, name: identity.SessionId, carried: TargetSession) -> None:
        """Take a session in; one that was carried before is let go."""
        present = self.open.get(name)
        self.open[name] = carried
        if present is not None:
            present.end()

    def remove(self, name: identity.SessionId, carried: TargetSession) -> bool:
        """Forget a session unless another has taken its place."""
        if self.open.get(name) is not carried:
            return False
        self.open.pop(name)
        return True

    def request_renewal(self, name: identity.SessionId, sequence: int) -> None:
        """Let the leader be asked to renew a lease, with others at once."""
        self._renewals[name] = sequence

    async def send_renewals(self) -> None:
        """Send the renewals of all targets in one message, for ever."""
        while True:
            await anyio.sleep(_RENEWALS_S)
            if self._renewals:
                gathered = tuple(self._renewals.items())
                self._renewals.clear()
                self._leader.send(wire.Renewals(gathered))

    def count(self) -> int:
        """Return how many targets this entry carries."""
        return len(self.open)

    def relocate(self) -> None:
        """Let go of all targets."""
        for carried in list(self.open.values()):
            carried.relocate()

    def _list_called(self) -> tuple[identity.SessionId, ...]:
        return tuple(
            name for name, carried in self.open.items() if carried.is_polled()
        )

    def _command(self, commands: wire.Commands) -> None:
        carried = self.open.get(commands.session)
        if carried is not None:
            carried.command(commands)

    def _renew(self, renewed: wire.Renewed) -> None:
        for name, sequence in renewed.sessions:
            carried = self.open.get(name)
            if carried is not None:
                carried.renew(sequence)

    def _end(self, gone: wire.Gone) -> None:
        for name in gone.sessions:
            carried = self.open.get(name)
            if carried is not None:
                carried.end()
