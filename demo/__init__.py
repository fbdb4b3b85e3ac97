"""Runs a cell on one machine with stand-in targets, for demo and tests."""
