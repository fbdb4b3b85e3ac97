"""Durable files: write-ahead log, snapshots and identity."""
