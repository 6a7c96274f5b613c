"""Interfaces to everything outside the decisions."""
