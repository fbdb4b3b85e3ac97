"""What the replicas have applied and consume, as this one was told."""

from __future__ import annotations

from ..consensus import message
from ..telemetry import cost
from ..transport import wire
from . import engine


class Statuses:
    """The status of this replica and the latest of each other one."""

    def __init__(self, running: engine.Engine, meter: cost.Meter) -> None:
        """Start without knowing of others."""
        self.meter = meter
        self._engine = running
        self._told: dict[message.ReplicaId, wire.Status] = {}

    def own(self) -> wire.Status:
        """Return the status of this replica."""
        version = self._engine.tables.configuration.version
        return wire.Status(version, self.meter.read())

    def find(self, replica: message.ReplicaId) -> wire.Status | None:
        """Return a replica's status, or None while it is not connected."""
        if replica == self._engine.node.identity:
            return self.own()
        return self._told.get(replica)

    def update(
        self, replica: message.ReplicaId, status: wire.Status | None
    ) -> None:
        """Keep what a replica tells; None when its connection is gone."""
        if status is None:
            self._told.pop(replica, None)
        else:
            self._told[replica] = status
