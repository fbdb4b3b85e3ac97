"""Features and histories over real processes."""
