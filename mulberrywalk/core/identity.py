"""Identifiers that the records of the scheduler carry."""

from __future__ import annotations

from typing import NewType

JobId = NewType('JobId', str)
TaskId = NewType('TaskId', str)
AttemptId = NewType('AttemptId', str)
SessionId = NewType('SessionId', str)
TargetId = NewType('TargetId', str)
RequestId = NewType('RequestId', str)
Team = NewType('Team', str)
DataCentre = NewType('DataCentre', str)
Rack = NewType('Rack', str)
ProcessName = NewType('ProcessName', str)
# Milliseconds since 1970 of the leader's wall clock, entering by events.
Time = NewType('Time', int)
