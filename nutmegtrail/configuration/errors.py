"""Errors of the configuration."""

from nutmegtrail import errors


class ConfigurationError(errors.NutmegtrailError):
    """A configuration that can not be used."""


class SettingsError(ConfigurationError):
    """A settings file with a fault; the text names file, line and key."""


class EditConflict(ConfigurationError):
    """Another operator changed the document; the text shows how."""


class ServiceUnavailable(ConfigurationError):
    """The key-value service could not take the edit; nothing changed."""


class EditOutcomeUnknown(ConfigurationError):
    """It could not be learned whether the edit took effect."""
