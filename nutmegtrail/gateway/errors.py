"""Errors of the gateway."""

from nutmegtrail import errors
from nutmegtrail.gateway import attempts


class MalformedDocument(errors.NutmegtrailError):
    """A document from the store is not valid."""


class MalformedRequest(errors.NutmegtrailError):
    """A request has missing or invalid headers."""


class AttemptFailed(errors.NutmegtrailError):
    """An upstream did not answer a request; carries the reason."""

    def __init__(self, event: attempts.Event) -> None:
        """Initialize the error with the failure of the attempt."""
        super().__init__(str(event))
        self.event = event


class GivenUp(errors.NutmegtrailError):
    """A request is not sent to any further upstream; carries the outcome."""

    def __init__(self, action: attempts.GiveUp) -> None:
        """Initialize the error with the decision that ended the request."""
        super().__init__(action.outcome.value)
        self.action = action
