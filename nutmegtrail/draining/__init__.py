"""Planned stops: which requests still fit before a process ends."""
