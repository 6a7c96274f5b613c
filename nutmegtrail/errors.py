"""Base class of all errors."""


class NutmegtrailError(Exception):
    """Error that is reported to an operator or a client."""
