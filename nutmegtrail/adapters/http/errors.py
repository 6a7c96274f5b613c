"""Errors while reading a request."""

from nutmegtrail import errors


class RequestError(errors.NutmegtrailError):
    """An invalid request; carries the status code of the response."""

    def __init__(self, status: int, detail: str) -> None:
        """Initialize the error with the status and detail for the client."""
        super().__init__(detail)
        self.status = status
        self.detail = detail
