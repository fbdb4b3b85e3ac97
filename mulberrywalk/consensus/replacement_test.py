"""Random model: replicas are removed for good once they have successors."""

import random

import pytest

from . import message, node, raft_test, repair

# catchUpS of the platform; a replica's program takes some of it to start.
CATCH_UP_MS = 4000
PROGRAM_START_MS = 2000
RECOVERY_MS = 12_000
ROUND_MS = 200
REPAIR_AFTER_MS = 1500


class Cell(raft_test.Cluster):
    """Replicas whose leader admits newcomers and chooses the voters."""

    def __init__(self, tolerated):
        super().__init__(2 * tolerated + 1)
        self.terms = repair.Terms(2 * tolerated + 1, REPAIR_AFTER_MS)
        self.joining = {}
        self.names = [f'n{number}' for number in range(2 * tolerated + 1)]
        self.accepted = []

    def add(self):
        """Add the successor of one replica; it runs after a while."""
        name = message.ReplicaId(f'n{len(self.names)}')
        self.names.append(name)
        self.joining[name] = self.now + PROGRAM_START_MS

    def remove(self, name):
        """Remove a replica for good, without a word to the others."""
        self.nodes.pop(name)
        self.applied.pop(name)

    def run_rounds(self, milliseconds):
        for _ in range(milliseconds // ROUND_MS):
            self.run(ROUND_MS)
            self._start_due()
            for name, state in list(self.nodes.items()):
                if node.holds_lease(state, self.now):
                    self._change_membership(name, state)
            self.check()

    def write(self):
        """Write until a command is applied, within the time of a recovery."""
        payload = str(next(self.payload_numbers))
        for _ in range(RECOVERY_MS // ROUND_MS):
            for name, state in list(self.nodes.items()):
                if node.holds_lease(state, self.now):
                    self.step(name, node.Proposed((payload.encode(),)))
            self.run_rounds(ROUND_MS)
            if any(payload in applied for applied in self.applied.values()):
                self.accepted.append(payload)
                return
        raise AssertionError('nothing is applied any more')

    def _start_due(self):
        founders = self.founders
        due = [name for name, at in self.joining.items() if at <= self.now]
        for name in due:
            self.joining.pop(name)
            self.founders = message.EMPTY_MEMBERSHIP
            self.disks[name] = raft_test.Disk(node.SaveVote(0, None), [])
            self.start(name)
        self.founders = founders

    def _change_membership(self, name, state):
        known = state.membership.identities()
        unknown = [one for one in self.nodes if one not in known]
        planned = None
        if unknown:
            newcomer = message.Member(unknown[0], unknown[0], 'dc', False)
            planned = repair.add_learner(state, newcomer)
        planned = planned or repair.plan_membership_change(state, self.terms)
        if planned is not None:
            self.step(name, node.MembershipProposed(planned))
        elif repair.should_hand_over(state, self.terms):
            self.step(name, node.HandoverProposed())


@pytest.mark.parametrize('tolerated', [1, 2])
@pytest.mark.parametrize('seed', range(6))
def test_cell_outlives_each_removal_of_replicas_with_successors(
    seed, tolerated
):
    """Guards against a cell lost by removals, one by one or together."""
    rng = random.Random(seed)
    cell = Cell(tolerated)
    cell.run_rounds(2000)
    cell.write()
    for _ in range(4):
        present = list(cell.nodes)
        removed = rng.sample(present, rng.randint(1, len(present)))
        for _ in removed:
            cell.add()
        cell.run_rounds(CATCH_UP_MS)
        cell.write()
        for name in removed:
            cell.remove(name)
            cell.run_rounds(ROUND_MS * rng.choice((0, 0, 0, 1, 5, 15)))
        cell.write()
    assert all(
        set(cell.accepted) <= set(applied) for applied in cell.applied.values()
    )
