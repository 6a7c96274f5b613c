"""Calls of `httpx` with a limit of size and an overall time-out."""
