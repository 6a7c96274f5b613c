"""Base of the errors of every layer."""


class NutmegtrailError(Exception):
    """An error that the system reports to an operator or a caller."""
