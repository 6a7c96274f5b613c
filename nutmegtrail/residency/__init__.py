"""Regions in which requests of a route or of an account may be processed."""
