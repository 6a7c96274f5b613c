"""Port to a platform's manner of speaking to callers and upstreams."""

import typing

from nutmegtrail.adapters.http1 import messages
from nutmegtrail.gateway import models


class HeaderTranslator(typing.Protocol):
    """Translates headers; decides nothing."""

    def read_request(self, request: messages.Request) -> models.CallerRequest:
        """Return what a caller says; raise MalformedRequest if unusable."""

    def upstream_headers(
        self,
        request: messages.Request,
        dispatch: models.ForwardingMetadata,
    ) -> messages.Headers:
        """Return the headers of a request to an upstream."""

    def classify_response(
        self, head: messages.Head, request_id: str
    ) -> models.ResponseClassification:
        """Return what an upstream's head says of the request."""

    def refusal_headers(
        self,
        request_id: str,
        retry_after_seconds: float | None,
    ) -> messages.Headers:
        """Return the headers of an answer of our own."""
