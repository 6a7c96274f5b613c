"""Errors of the claim logs."""

from nutmegtrail import errors


class LogCorrupted(errors.NutmegtrailError):
    """A stored claim log can not be read."""
