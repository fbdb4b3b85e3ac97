"""The replicated log: election, replication, membership, snapshots."""
