"""Errors of the contracts."""

from nutmegtrail import errors


class ContractError(errors.NutmegtrailError):
    """Base class for requests that no contract grants."""


class UnknownCredential(ContractError):
    """Raised when no contract lists the caller's key."""


class NotGranted(ContractError):
    """Raised when the contract does not grant the model or service."""
