"""Errors of the HTTP/1.1 adapter."""

from nutmegtrail import errors


class RequestRefused(errors.NutmegtrailError):
    """A request that can not be read; carries the status to answer."""

    def __init__(self, status: int, detail: str) -> None:
        """Keep the status and the text for the log."""
        super().__init__(detail)
        self.status = status


class ClientDisconnected(errors.NutmegtrailError):
    """The caller hung up or stopped reading."""


class NotConnected(errors.NutmegtrailError):
    """No connection could be opened; nothing was sent."""


class ExchangeBroken(errors.NutmegtrailError):
    """The connection failed after the request may have been sent."""
