"""The replica program: consensus, storage and the reducer together."""
