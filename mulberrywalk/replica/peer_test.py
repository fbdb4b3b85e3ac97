"""Messages reach replicas that are not in the own log yet.

Also covers the removal of a replica while its connection is opened.
"""

import asyncio
import dataclasses
import time

import anyio
import pytest

from ..consensus import log, message, node
from ..telemetry import cost, journal
from ..transport import channel
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


async def send_to_leader(members):
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
    assert [member.address for member in anyio.run(send_to_leader, ())] == [
        'a:1'
    ]


def test_replica_with_a_log_uses_only_its_membership():
    other = message.Member(message.ReplicaId('b'), 'b:1', 'dc', True)
    assert not anyio.run(send_to_leader, (other,))


def remove_member(peers, replica_engine):
    replica_engine.node.membership = message.Membership(())
    peers.close_removed()


async def run_peers(use):
    """Open a connection to a member and pass the peers and engine to use."""
    other = message.Member(message.ReplicaId('b'), '127.0.0.1:1', 'dc', True)
    replica_engine = FakeEngine(create_node((other,)))
    logger = journal.Journal(journal.Origin('new', 'dc'))
    statuses = status.Statuses(replica_engine, cost.Meter())
    async with anyio.create_task_group() as group:
        peers = peer.Peers(replica_engine, logger, statuses, group)
        peers.send(other.identity, message.PreVoteReply(1, granted=False))
        await use(peers, replica_engine)
        # The group ends once the connection is closed.


def test_member_removed_before_its_connection_opens_ends_no_process():
    async def remove_at_once(peers, replica_engine):
        remove_member(peers, replica_engine)

    anyio.run(run_peers, remove_at_once)


@pytest.mark.parametrize('delay_s', [0.01, 0.1])
def test_member_removed_between_two_dials_ends_no_process(delay_s, monkeypatch):
    dials = []

    def refuse(address):
        dials.append(address)
        raise ConnectionError(address)

    monkeypatch.setattr(channel, 'dial', refuse)
    monkeypatch.setattr(peer, '_REDIAL_DELAY_S', delay_s)

    async def remove_as_the_delay_ends(peers, replica_engine):
        while not dials:
            await anyio.sleep(0)
        # The event loop is busy until the delay has ended, as in a long round:
        # the removal runs before the connection's task does.
        removed = anyio.Event()
        asyncio.get_running_loop().call_later(
            delay_s, remove, peers, replica_engine, removed
        )
        time.sleep(2 * delay_s)
        await removed.wait()

    def remove(peers, replica_engine, removed):
        remove_member(peers, replica_engine)
        removed.set()

    anyio.run(run_peers, remove_as_the_delay_ends)
    assert dials
