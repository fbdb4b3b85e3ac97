"""The leader's part in the membership: admission, departures and repair."""

from __future__ import annotations

import collections
import dataclasses

from ..consensus import message, node, repair
from ..telemetry import clock, journal, metric
from ..transport import admission, region
from . import engine, leader_placement, status

# For how long a replica counts as ending since it last said so: longer than
# one that has ended counts as answering.
_LEAVING_MS = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """The least number of voters, and when a silent one is replaced."""

    voters: int
    repair_after_ms: int


class Manager:
    """Admits and releases replicas and chooses the voters.

    Times are milliseconds of this process's monotonic clock.
    """

    def __init__(
        self,
        replica_engine: engine.Engine,
        logger: journal.Journal,
        metrics: metric.Metrics,
        policy: Policy,
    ) -> None:
        """Start with no replica that is ending."""
        self._engine = replica_engine
        self._journal = logger
        self._metrics = metrics
        self._policy = policy
        # The replicas that are ending, and until when that counts.
        self._leaving: dict[message.ReplicaId, int] = {}
        self._placement = leader_placement.Placement(0)

    def join(self, request: admission.JoinRequest) -> admission.JoinReply:
        """Admit a replica with an empty disk as a spare.

        Any other replica than the leader answers with the leader's address.
        """
        raft_node = self._engine.node
        is_member = (
            raft_node.membership.find(request.member.identity) is not None
        )
        if not self._engine.is_serving():
            leader = (
                raft_node.membership.find(raft_node.leader)
                if raft_node.leader
                else None
            )
            address = leader.address if leader else ''
            return admission.JoinReply(is_member, address)
        planned = repair.add_learner(raft_node, request.member)
        if planned is not None:
            self._journal.record('spare admitted', request.member.identity)
            self._engine.enqueue(node.MembershipProposed(planned))
        return admission.JoinReply(is_member, '')

    def leave(self, request: admission.LeaveRequest) -> admission.LeaveReply:
        """Replace a voter that is ending, and tell whether it may end.

        It repeats the request until then. Any other replica than the leader
        answers that it may not.
        """
        if not self._engine.is_serving():
            return admission.LeaveReply(may_end=False)
        now = clock.monotonic_ms()
        if request.replica not in self._leaving:
            self._journal.record('replica ending', request.replica)
        self._leaving[request.replica] = now + _LEAVING_MS
        self.adjust(now)
        may_end = repair.is_released(
            self._engine.node, request.replica, self._terms()
        )
        return admission.LeaveReply(may_end)

    def leaving(self) -> frozenset[message.ReplicaId]:
        """Return the replicas that are ending, as they have told."""
        return frozenset(self._leaving)

    def adjust(self, now: int) -> None:
        """Propose the next change of the membership, if one is needed."""
        self._leaving = {
            replica: until
            for replica, until in self._leaving.items()
            if now < until
        }
        raft_node = self._engine.node
        terms = self._terms()
        planned = repair.plan_membership_change(raft_node, terms)
        if planned is not None:
            voter_names = ', '.join(planned.voters())
            self._journal.record('membership proposed', f'voters {voter_names}')
            self._engine.enqueue(node.MembershipProposed(planned))
        elif repair.should_hand_over(raft_node, terms):
            self._journal.record('leadership handed over', 'to a newer replica')
            self._engine.enqueue(node.HandoverProposed(self.leaving()))

    def place_leader(
        self, regions: region.Regions, statuses: status.Statuses, now: int
    ) -> None:
        """Hand leadership over to a better region while the cell is calm.

        Called about once a second.
        """
        if not regions.is_set():
            return
        raft_node = self._engine.node
        tables = self._engine.tables
        is_calm = not (
            self._engine.backlog()
            or any(tables.waiting.counts.values())
            or tables.unconfirmed
        )
        self._placement = leader_placement.advance(
            self._placement, raft_node.term, now, is_calm=is_calm
        )
        if not leader_placement.may_transfer(self._placement, now):
            return
        own = self._describe(raft_node.identity, regions, statuses)
        others = tuple(
            self._describe(voter, regions, statuses)
            for voter in raft_node.membership.voters()
            if voter != raft_node.identity
        )
        targets = collections.Counter(
            regions.region_of(target.data_centre)
            for target in tables.targets.values()
            if target.session is not None
        )
        successors = leader_placement.find_successors(own, others, targets)
        if successors:
            self._transfer(successors, now)

    def report_learners(self) -> None:
        """Log the spares that cannot replace a voter yet."""
        lagging = repair.describe_lagging_learners(
            self._engine.node, self._policy.repair_after_ms
        )
        self._metrics.gauge('spares_behind', len(lagging))
        for replica, detail in lagging:
            self._journal.record('spare behind', f'{replica} {detail}')

    def _terms(self) -> repair.Terms:
        return repair.Terms(
            voter_count=self._policy.voters,
            timeout_ms=self._policy.repair_after_ms,
            leaving=self.leaving(),
        )

    def _transfer(
        self, successors: frozenset[message.ReplicaId], now: int
    ) -> None:
        self._placement = dataclasses.replace(self._placement, tried_at=now)
        voters = self._engine.node.membership.voters()
        names = ', '.join(sorted(successors))
        self._journal.record('leadership handed over', f'to one of {names}')
        avoided = frozenset(voters) - successors
        self._engine.enqueue(node.HandoverProposed(avoided))

    def _describe(
        self,
        voter: message.ReplicaId,
        regions: region.Regions,
        statuses: status.Statuses,
    ) -> leader_placement.Voter:
        """Return a voter with its region and whether it could lead now.

        Founders may be members without a data centre, and state it in their
        status. One of unknown place is in no region and no successor.
        """
        raft_node = self._engine.node
        member = raft_node.membership.find(voter)
        reported = statuses.find(voter)
        data_centre = reported.data_centre if reported else ''
        if not data_centre and member is not None:
            data_centre = member.data_centre
        if voter == raft_node.identity:
            data_centre = self._journal.origin.data_centre
        return leader_placement.Voter(
            voter,
            regions.region_of(data_centre),
            bool(data_centre)
            and voter not in self._leaving
            and leader_placement.is_up_to_date(raft_node, voter),
        )
