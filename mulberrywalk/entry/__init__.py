"""The entry process: HTTP API and target sessions."""
