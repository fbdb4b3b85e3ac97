"""Durable storage: write-ahead log, snapshots and replica identity."""
