"""Composition roots; each process imports only the module it needs."""
