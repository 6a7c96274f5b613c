"""Errors of direct delivery."""

from nutmegtrail import errors


class MalformedDocument(errors.NutmegtrailError):
    """A stored document that can not be used."""


class MalformedRequest(errors.NutmegtrailError):
    """A request whose headers can not be used."""
