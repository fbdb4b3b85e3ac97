"""Logging, metrics, the timeline and settings validation for all programs."""
