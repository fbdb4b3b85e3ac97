"""Cluster scheduler for unlike workloads."""
