"""Limits of the host of an entry, and how close it is to them."""
