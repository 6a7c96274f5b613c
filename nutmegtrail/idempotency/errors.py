"""Errors of the claim logs."""

from nutmegtrail import errors


class LogCorrupted(errors.NutmegtrailError):
    """Raised when a stored claim log cannot be decoded."""
