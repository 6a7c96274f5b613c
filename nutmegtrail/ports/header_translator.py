"""Port to the platform's HTTP headers for callers and upstreams."""

import typing

from nutmegtrail.adapters.http1 import messages
from nutmegtrail.gateway import models


class HeaderTranslator(typing.Protocol):
    """Translates between HTTP headers and the models of the gateway."""

    def read_request(self, request: messages.Request) -> models.CallerRequest:
        """Return the caller's metadata; raise MalformedRequest if invalid."""

    def upstream_headers(
        self,
        request: messages.Request,
        dispatch: models.ForwardingMetadata,
    ) -> messages.Headers:
        """Return the headers to forward to an upstream."""

    def classify_response(
        self, head: messages.Head, request_id: str
    ) -> models.ResponseClassification:
        """Classify a response head; the request ID detects foreign ones."""

    def refusal_headers(
        self,
        request_id: str,
        retry_after_seconds: float | None,
    ) -> messages.Headers:
        """Return the headers of a response that is not from an upstream."""
