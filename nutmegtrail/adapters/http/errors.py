"""Errors of reading a request."""

from nutmegtrail import errors


class RequestError(errors.NutmegtrailError):
    """A request that can not be read; carries the status to answer."""

    def __init__(self, status: int, detail: str) -> None:
        """Keep the status and the text for the caller."""
        super().__init__(detail)
        self.status = status
        self.detail = detail


class ClientDisconnected(errors.NutmegtrailError):
    """The caller hung up or stopped reading."""
