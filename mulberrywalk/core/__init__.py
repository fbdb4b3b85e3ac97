"""The replicated decisions: records, events, effects and the reducer."""
