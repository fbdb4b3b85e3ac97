"""Session leases as tracked by the leader."""

from ..core import identity, target
from . import lease

SESSION = identity.SessionId('s1')
EXPIRY_MS = target.LEASE_MS + target.LEASE_MARGIN_MS


def test_new_leader_lets_a_full_lease_pass():
    leases = lease.Leases(now=1000)
    assert not leases.expire([SESSION], 1000 + EXPIRY_MS)
    assert leases.expire([SESSION], 1001 + EXPIRY_MS) == [SESSION]


def test_renewal_extends_a_lease():
    leases = lease.Leases(now=0)
    leases.renew(SESSION, 'e1', 3000)
    assert not leases.expire([SESSION], 3000 + EXPIRY_MS)
    assert leases.expire([SESSION], 3001 + EXPIRY_MS) == [SESSION]


def test_expiring_session_cannot_be_renewed():
    leases = lease.Leases(now=0)
    leases.expire([SESSION], EXPIRY_MS + 1)
    leases.renew(SESSION, 'e1', EXPIRY_MS + 2)
    assert leases.is_expiring(SESSION)
    assert not leases.entry_of(SESSION)
    assert not leases.expire([SESSION], EXPIRY_MS * 3)


def test_renewal_reports_a_change_of_entry():
    leases = lease.Leases(now=0)
    assert leases.renew(SESSION, 'e1', 1)
    assert not leases.renew(SESSION, 'e1', 2)
    assert leases.renew(SESSION, 'e2', 3)


def test_lease_of_a_session_new_to_the_leader_starts_when_it_is_added():
    leases = lease.Leases(now=0)
    leases.add_new([SESSION], 60_000)
    leases.add_new([SESSION], 61_000)
    leases.assign(SESSION, 'e1')
    assert not leases.expire([SESSION], 60_000 + EXPIRY_MS)
    assert leases.expire([SESSION], 60_001 + EXPIRY_MS) == [SESSION]
