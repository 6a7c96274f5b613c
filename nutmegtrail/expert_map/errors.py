"""Errors of expert placement."""

from nutmegtrail import errors


class PlacementError(errors.NutmegtrailError):
    """The experts do not fit into the slots of the ranks."""
