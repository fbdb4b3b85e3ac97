"""Messages reach replicas that are not in the own log yet."""

import dataclasses

from ..consensus import log, message, node
from ..telemetry import cost, journal
from . import peer, status


@dataclasses.dataclass
class FakeEngine:
    """The parts of an engine that the lookup of addresses uses."""

    node: node.Node
    tables: object = None


class FakeGroup:
    """Records the arguments of started tasks."""

    def __init__(self):
        self.started = []

    def start_soon(self, function, *arguments):
        self.started.append(arguments)


def create_node(members):
    replica_log = log.Log(0, 0, message.Membership(members))
    raft_node = node.Node(message.ReplicaId('new'), replica_log, node.Timing())
    raft_node.membership = message.Membership(members)
    return raft_node


def send_to_leader(members):
    group = FakeGroup()
    replica_engine = FakeEngine(create_node(members))
    logger = journal.Journal(journal.Origin('new', 'dc'))
    statuses = status.Statuses(replica_engine, cost.Meter())
    peers = peer.Peers(replica_engine, logger, statuses, group)
    leader = message.Member(message.ReplicaId('a'), 'a:1', 'dc', True)
    peers.learn_members((leader,))
    peers.send(leader.identity, message.PreVoteReply(1, granted=False))
    return [arguments[1] for arguments in group.started]


def test_replica_with_an_empty_log_uses_learned_members():
    assert [member.address for member in send_to_leader(())] == ['a:1']


def test_replica_with_a_log_uses_only_its_membership():
    other = message.Member(message.ReplicaId('b'), 'b:1', 'dc', True)
    assert not send_to_leader((other,))
