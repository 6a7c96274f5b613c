"""Structured logs, metrics and request diagnosis."""
