"""The replica process: consensus, storage and the state machine."""
