"""Adapters between the scheduler and the users' platform."""
