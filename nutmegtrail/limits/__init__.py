"""Rate limits and fair queueing across all entries."""
