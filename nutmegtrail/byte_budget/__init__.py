"""Byte budget: what a process keeps at most over all its connections."""
