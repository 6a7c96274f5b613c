"""Errors of the gateway."""

from nutmegtrail import errors


class MalformedDocument(errors.NutmegtrailError):
    """A document from the store is not valid."""


class MalformedRequest(errors.NutmegtrailError):
    """A request has missing or invalid headers."""
