"""Errors of the contracts."""

from nutmegtrail import errors


class ContractError(errors.NutmegtrailError):
    """A caller whose contract does not grant the request."""


class UnknownCredential(ContractError):
    """No contract carries the caller's key."""


class NotGranted(ContractError):
    """The contract does not name the model or service."""
