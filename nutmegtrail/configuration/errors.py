"""Errors of the configuration."""

from nutmegtrail import errors


class ConfigurationError(errors.NutmegtrailError):
    """Base class for configuration errors."""


class SettingsError(ConfigurationError):
    """Raised when a settings file is invalid.

    The message names file, line and key.
    """


class EditConflict(ConfigurationError):
    """Raised when another operator has changed the document."""


class ServiceUnavailable(ConfigurationError):
    """Raised when a platform service is unavailable; nothing was changed."""


class EditOutcomeUnknown(ConfigurationError):
    """Raised when it is unknown whether an edit was stored."""
