"""Errors of the HTTP/1.1 adapter."""

from nutmegtrail import errors


class RequestRefused(errors.NutmegtrailError):
    """A request is refused; carries the status and headers of the response."""

    def __init__(
        self,
        status: int,
        detail: str,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> None:
        """Initialize the error with the status and a text for the log."""
        super().__init__(detail)
        self.status = status
        self.headers = headers


class ClientDisconnected(errors.NutmegtrailError):
    """The client disconnected or stopped reading."""


class NotConnected(errors.NutmegtrailError):
    """No connection could be opened, so that nothing was sent."""


class ConnectionRefused(NotConnected):
    """The host responded that no process listens on the port."""


class Withdrawn(errors.NutmegtrailError):
    """The request was no longer wanted, so that nothing was sent."""


class ExchangeBroken(errors.NutmegtrailError):
    """The connection failed after the request may have been sent."""


class ResponseDropped(ExchangeBroken):
    """The process had no room for the response; its peer did not fail."""


def has_cause(
    error: BaseException | None, error_type: type[BaseException]
) -> bool:
    """Return whether an error or one of its causes is of a type."""
    while error is not None:
        if isinstance(error, error_type):
            return True
        error = error.__cause__
    return False
