"""Simulated platform services for tests and demonstrations."""
