"""Errors of the message codec and of peer connections."""

from nutmegtrail import errors


class WireError(errors.NutmegtrailError):
    """A frame could not be decoded as a message."""


class ConnectionLost(WireError):
    """A peer connection failed or ended before the expected message."""
