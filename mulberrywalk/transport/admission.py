"""Requests of replicas that join or leave the cell, and the answers."""

from __future__ import annotations

import msgspec

from ..consensus import message


class JoinRequest(msgspec.Struct, frozen=True):
    """A replica with an empty disk asks to be admitted as a spare."""

    member: message.Member


class JoinReply(msgspec.Struct, frozen=True):
    """Whether the spare was admitted; leader is the address to ask instead."""

    is_admitted: bool
    leader: str


class LeaveRequest(msgspec.Struct, frozen=True):
    """A replica that is ending asks to be replaced as a voter."""

    replica: message.ReplicaId


class LeaveReply(msgspec.Struct, frozen=True):
    """Whether the replica may end: if it is no voter, or can't be replaced."""

    may_end: bool
