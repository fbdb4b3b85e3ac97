"""Command line, load generation and the merged time line."""
