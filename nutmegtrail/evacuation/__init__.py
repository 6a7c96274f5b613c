"""Failure domains that operators take out of service."""
