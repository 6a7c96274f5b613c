"""Errors of the expert maps."""

from nutmegtrail import errors


class PlacementError(errors.NutmegtrailError):
    """Experts that can not be placed on the ranks."""
