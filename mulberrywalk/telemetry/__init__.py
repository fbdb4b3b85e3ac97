"""Logs, metrics, the time line and checked settings of every program."""
