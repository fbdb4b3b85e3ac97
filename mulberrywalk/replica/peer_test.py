"""Messages find replicas that the own log does not name yet."""

import dataclasses

from ..consensus import log, message, node
from ..telemetry import cost, journal
from . import peer, status


@dataclasses.dataclass
class FakeEngine:
    """As much of an engine as addresses are found by."""

    node: node.Node
    tables: object = None


class FakeGroup:
    """Keeps what is started."""

    def __init__(self):
        self.started = []

    def start_soon(self, function, *arguments):
        self.started.append(arguments)


def newcomer(members):
    held = log.Log(0, 0, message.Membership(members))
    replica = node.Node(message.ReplicaId('new'), held, node.Timing())
    replica.membership = message.Membership(members)
    return replica


def send_to_leader(members):
    group = FakeGroup()
    running = FakeEngine(newcomer(members))
    lines = journal.Journal(journal.Origin('new', 'dc'))
    statuses = status.Statuses(running, cost.Meter())
    peers = peer.Peers(running, lines, statuses, group)
    leader = message.Member(message.ReplicaId('a'), 'a:1', 'dc', True)
    peers.learn_members((leader,))
    peers.send(leader.identity, message.PreVoteReply(1, granted=False))
    return [arguments[1] for arguments in group.started]


def test_replica_without_a_log_answers_whom_it_was_introduced_to():
    assert [one.address for one in send_to_leader(())] == ['a:1']


def test_replica_with_a_log_goes_by_its_membership():
    other = message.Member(message.ReplicaId('b'), 'b:1', 'dc', True)
    assert not send_to_leader((other,))
