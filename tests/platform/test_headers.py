"""Headers are translated; what they say is not changed."""

import testtools

from nutmegtrail.adapters.http1 import messages
from nutmegtrail.gateway import errors
from nutmegtrail.gateway import models
from nutmegtrail.platform import headers

_DIALECT = headers.PlatformDialect()
_CALLER = (
    (b'host', b'ficu95.example:80'),
    (b'x-nutmegtrail-request-id', b'r1'),
    (b'x-nutmegtrail-deadline-ms', b'8050'),
    (b'api-key', b'secret'),
    (b'x-nutmegtrail-tenant', b'forged'),
    (b'x-nutmegtrail-model', b'm'),
    (b'last-event-id', b'12'),
    (b'connection', b'keep-alive'),
)
_SEALED = (
    (b'x-nutmegtrail-request-id', b'r1'),
    (b'x-nutmegtrail-response-seal', b's'),
)


def _request(sent=_CALLER):
    """Return a request with headers."""
    return messages.Request(b'POST', b'/a/b?c=1', sent, b'', keep_alive=True)


def _verdict(status, *sent):
    """Return what an answer to request r1 says."""
    head = messages.Head(status, sent)
    return _DIALECT.classify_response(head, 'r1').response_kind


class HeadersTest(testtools.TestCase):
    """Requests and answers."""

    def test_request(self):
        """All that a caller says is read."""
        self.assertEqual(
            models.CallerRequest(
                'r1',
                'ficu95.example',
                '/a/b',
                'secret',
                8.05,
                12,
            ),
            _DIALECT.read_request(_request()),
        )

    def test_request_without_identifier(self):
        """A request that can not be named is malformed."""
        self.assertRaises(
            errors.MalformedRequest,
            _DIALECT.read_request,
            _request(()),
        )

    def test_upstream_headers(self):
        """The key stays here; account, deadline and upstream are ours."""
        dispatch = models.ForwardingMetadata('i-1', 'agency', 1.5, 20)
        sent = dict(_DIALECT.upstream_headers(_request(), dispatch))
        self.assertEqual(
            {
                b'host': b'ficu95.example:80',
                b'x-nutmegtrail-request-id': b'r1',
                b'x-nutmegtrail-model': b'm',
                b'x-nutmegtrail-deadline-ms': b'1500',
                b'x-nutmegtrail-expect-instance': b'i-1',
                b'x-nutmegtrail-tenant': b'agency',
                b'last-event-id': b'20',
            },
            sent,
        )

    def test_verdicts(self):
        """Only a sealed answer to the own request is a success."""
        other = (b'x-nutmegtrail-request-id', b'r2')
        not_run = (b'x-nutmegtrail-not-executed', b'1')
        encoded = (b'content-encoding', b'gzip')
        cases = (
            (models.ResponseKind.SUCCESS, 200, _SEALED),
            (models.ResponseKind.FAILURE, 500, _SEALED),
            (models.ResponseKind.FAILURE, 503, _SEALED),
            (models.ResponseKind.NOT_RUN, 503, (not_run,)),
            (models.ResponseKind.WRONG_UPSTREAM, 421, ()),
            (models.ResponseKind.FOREIGN, 200, _SEALED[:1]),
            (models.ResponseKind.FOREIGN, 200, _SEALED[1:]),
            (models.ResponseKind.FOREIGN, 200, (other, _SEALED[1])),
            (models.ResponseKind.FOREIGN, 421, (other,)),
            (models.ResponseKind.FOREIGN, 200, (*_SEALED, encoded)),
            (models.ResponseKind.FOREIGN, 500, ()),
        )
        for verdict, status, sent in cases:
            self.assertIs(verdict, _verdict(status, *sent), (status, sent))

    def test_refusal(self):
        """A refusal names the request and when to come back."""
        self.assertEqual(
            ((b'x-nutmegtrail-request-id', b'r1'), (b'retry-after', b'0.250')),
            _DIALECT.refusal_headers('r1', 0.25),
        )
