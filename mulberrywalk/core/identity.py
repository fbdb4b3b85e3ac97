"""Identifier types used in the scheduler's records."""

from __future__ import annotations

from typing import NewType

JobId = NewType('JobId', str)
TaskId = NewType('TaskId', str)
# One step of one occurrence of a job: JOB.OCCURRENCE.STEP.
StepId = NewType('StepId', str)
AttemptId = NewType('AttemptId', str)
SessionId = NewType('SessionId', str)
TargetId = NewType('TargetId', str)
RequestId = NewType('RequestId', str)
Team = NewType('Team', str)
DataCentre = NewType('DataCentre', str)
Rack = NewType('Rack', str)
# A group of targets that serve the same queues.
Pool = NewType('Pool', str)
ProcessName = NewType('ProcessName', str)
# Milliseconds since 1970 on the leader's wall clock, as stamped on events.
Time = NewType('Time', int)
