"""Tests and benchmarks that run real processes."""
