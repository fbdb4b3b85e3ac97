"""The configuration versions and resource costs of the replicas."""

from __future__ import annotations

from ..consensus import message
from ..telemetry import cost
from ..transport import wire
from . import engine


class Statuses:
    """The status of this replica and the latest reported by each other."""

    def __init__(
        self, replica_engine: engine.Engine, meter: cost.Meter
    ) -> None:
        """Start with no status of other replicas."""
        self.meter = meter
        self._engine = replica_engine
        self._reported: dict[message.ReplicaId, wire.Status] = {}

    def own(self) -> wire.Status:
        """Return the status of this replica."""
        version = self._engine.tables.configuration.version
        return wire.Status(version, self.meter.read())

    def find(self, replica: message.ReplicaId) -> wire.Status | None:
        """Return a replica's status, or None while it is not connected."""
        if replica == self._engine.node.identity:
            return self.own()
        return self._reported.get(replica)

    def update(
        self, replica: message.ReplicaId, status: wire.Status | None
    ) -> None:
        """Store the status of a replica; None when its connection closed."""
        if status is None:
            self._reported.pop(replica, None)
        else:
            self._reported[replica] = status
