"""Randomized soak test of real entry processes with injected faults."""
