"""Measurements and the demonstration, on loopback."""
