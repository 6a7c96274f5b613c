"""Errors of the byte budget."""

from nutmegtrail import errors


class GaveWay(errors.NutmegtrailError):
    """Bytes had to be dropped, because the process keeps too many."""
