"""Rate limits and shares that hold across all entries."""
