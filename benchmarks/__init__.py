"""Benchmarks and a demonstration that run on the loopback interface."""
