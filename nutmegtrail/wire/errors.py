"""Errors of the message codec."""

from nutmegtrail import errors


class WireError(errors.NutmegtrailError):
    """A frame that can not be read as a message."""


class ConnectionLost(WireError):
    """The connection ended before the expected message."""
