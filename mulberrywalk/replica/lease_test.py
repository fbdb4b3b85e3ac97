"""Session leases as the leader counts them."""

from ..core import identity, target
from . import lease

SESSION = identity.SessionId('s1')
PATIENCE = target.LEASE_MS + target.LEASE_MARGIN_MS


def test_new_leader_lets_a_full_lease_pass():
    leases = lease.Leases(now=1000)
    assert not leases.expire([SESSION], 1000 + PATIENCE)
    assert leases.expire([SESSION], 1001 + PATIENCE) == [SESSION]


def test_renewal_extends_a_lease():
    leases = lease.Leases(now=0)
    leases.renew(SESSION, 'e1', 3000)
    assert not leases.expire([SESSION], 3000 + PATIENCE)
    assert leases.expire([SESSION], 3001 + PATIENCE) == [SESSION]


def test_expiring_session_cannot_be_renewed():
    leases = lease.Leases(now=0)
    leases.expire([SESSION], PATIENCE + 1)
    leases.renew(SESSION, 'e1', PATIENCE + 2)
    assert leases.is_expiring(SESSION)
    assert not leases.entry_of(SESSION)
    assert not leases.expire([SESSION], PATIENCE * 3)


def test_renew_tells_when_a_session_has_moved():
    leases = lease.Leases(now=0)
    assert leases.renew(SESSION, 'e1', 1)
    assert not leases.renew(SESSION, 'e1', 2)
    assert leases.renew(SESSION, 'e2', 3)


def test_target_that_comes_late_under_a_leader_is_not_expired_at_once():
    leases = lease.Leases(now=0)
    leases.add_new([SESSION], 60_000)
    leases.add_new([SESSION], 61_000)
    leases.assign(SESSION, 'e1')
    assert not leases.expire([SESSION], 60_000 + PATIENCE)
    assert leases.expire([SESSION], 60_001 + PATIENCE) == [SESSION]
