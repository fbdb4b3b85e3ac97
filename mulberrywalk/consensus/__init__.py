"""Raft consensus: leader election, log replication, membership, snapshots."""
