"""Command-line client, load generator and workload simulation."""
