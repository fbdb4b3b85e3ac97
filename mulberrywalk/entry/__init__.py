"""The entry program: callers, operators and target sessions."""
