"""Implementations of the interfaces in `nutmegtrail.ports`."""
