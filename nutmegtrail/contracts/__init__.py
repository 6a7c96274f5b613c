"""Contracts of the client accounts."""
