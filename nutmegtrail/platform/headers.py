"""Headers between callers, the system and upstreams."""

import http
import typing

from nutmegtrail import const as shared_const
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.gateway import errors
from nutmegtrail.gateway import models
from nutmegtrail.platform import const

_REPLACED: typing.Final = frozenset(
    (
        const.API_KEY,
        const.ACCOUNT,
        const.DEADLINE,
        const.EXPECTED_UPSTREAM,
        b'expect',
    ),
)


class PlatformDialect:
    """Implements `ports.header_translator.HeaderTranslator`."""

    def read_request(self, request: messages.Request) -> models.CallerRequest:
        """Return what a caller says; raise MalformedRequest if unusable."""
        headers = request.headers
        request_id = messages.find_header(headers, const.REQUEST_ID)
        if not request_id:
            raise errors.MalformedRequest('the request has no identifier')
        deadline = messages.find_header(headers, const.DEADLINE)
        last_event = messages.find_header(headers, const.LAST_EVENT)
        host = messages.find_header(headers, b'host').decode('latin-1')
        path = request.target.partition(b'?')[0]
        return models.CallerRequest(
            request_id.decode('latin-1'),
            host.partition(':')[0],
            path.decode('latin-1'),
            messages.find_header(headers, const.API_KEY).decode('latin-1'),
            _seconds(deadline),
            int(last_event) if last_event.isdigit() else None,
        )

    def upstream_headers(
        self,
        request: messages.Request,
        dispatch: models.ForwardingMetadata,
    ) -> messages.Headers:
        """Return the headers of a request to an upstream."""
        replaced = _REPLACED
        if dispatch.last_event is not None:
            replaced |= {const.LAST_EVENT}
        forwarded = tuple(
            header
            for header in messages.end_to_end_headers(request.headers)
            if header[0] not in replaced
        )
        milliseconds = max(
            int(
                dispatch.remaining_seconds
                * shared_const.MILLISECONDS_PER_SECOND
            ),
            1,
        )
        added = [
            (const.DEADLINE, b'%d' % milliseconds),
            (const.EXPECTED_UPSTREAM, dispatch.upstream_id.encode()),
        ]
        if dispatch.account:
            added.append((const.ACCOUNT, dispatch.account.encode()))
        if dispatch.last_event is not None:
            added.append((const.LAST_EVENT, b'%d' % dispatch.last_event))
        return (*forwarded, *added)

    def classify_response(
        self,
        head: messages.Head,
        request_id: str,
    ) -> models.ResponseClassification:
        """Return what an upstream's head says of the request."""
        faulty = head.header(const.FAULTY_UPSTREAM).decode('latin-1')
        return models.ResponseClassification(_verdict(head, request_id), faulty)

    def refusal_headers(
        self,
        request_id: str,
        retry_after_seconds: float | None,
    ) -> messages.Headers:
        """Return the headers of an answer of our own."""
        headers: messages.Headers = ()
        if request_id:
            headers = ((const.REQUEST_ID, request_id.encode('latin-1')),)
        if retry_after_seconds is None:
            return headers
        seconds = f'{retry_after_seconds:.3f}'.encode()
        return (*headers, (b'retry-after', seconds))


def _verdict(head: messages.Head, request_id: str) -> models.ResponseKind:
    """Return whether the request ran, and whether the answer is its own."""
    echoed = head.header(const.REQUEST_ID).decode('latin-1')
    if echoed and echoed != request_id:
        return models.ResponseKind.FOREIGN
    if head.status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return models.ResponseKind.WRONG_UPSTREAM
    if head.header(const.NOT_EXECUTED):
        return models.ResponseKind.NOT_RUN
    sealed = bool(head.header(const.SEAL))
    encoded = bool(head.header(b'content-encoding'))
    if not sealed or encoded or not echoed:
        return models.ResponseKind.FOREIGN
    if http.HTTPStatus.OK <= head.status < http.HTTPStatus.MULTIPLE_CHOICES:
        return models.ResponseKind.SUCCESS
    return models.ResponseKind.FAILURE


def _seconds(milliseconds: bytes) -> float | None:
    """Return a header's milliseconds in seconds, None if not a number."""
    try:
        return float(milliseconds) / shared_const.MILLISECONDS_PER_SECOND
    except ValueError:
        return None
