"""Client for the rank API of an engine."""
