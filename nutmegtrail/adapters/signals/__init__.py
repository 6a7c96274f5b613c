"""Signals of the operating system."""
