"""Property tests: invalid input only raises the errors of its layer."""

import base64
import json

import anyio
import hypothesis
import testtools
from hypothesis import strategies

from nutmegtrail import models as shared_models
from nutmegtrail.adapters.http1 import errors as http_errors
from nutmegtrail.adapters.http1 import json_client
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.gateway import errors
from nutmegtrail.gateway import events
from nutmegtrail.gateway import gossip
from nutmegtrail.gateway import models
from nutmegtrail.platform import documents
from nutmegtrail.platform import engines
from nutmegtrail.platform import headers
from nutmegtrail.platform import store
from tests.gateway import samples as gateway_samples
from tests.platform import samples

_DETERMINISTIC = hypothesis.settings(
    max_examples=300,
    derandomize=True,
    database=None,
    deadline=None,
)
_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=8,
)
_LIMITS = messages.SizeLimits(400, 400)
_REQUEST = (
    b'POST /a/b HTTP/1.1\r\nhost: example\r\ncontent-length: 3\r\n\r\nabc'
    b'POST /c HTTP/1.1\r\nhost: example\r\ntransfer-encoding: chunked\r\n\r\n'
    b'2\r\nde\r\n0\r\n\r\n'
)
_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nx-nutmegtrail-request-id: r1\r\n'
    b'x-nutmegtrail-response-seal: s\r\ncontent-length: 5\r\n\r\nhello'
)
_STREAM = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(1, 9))
_REGISTRATION = json.loads(samples.registration())


def _split_positions(raw):
    """Return a strategy for the positions at which bytes are split."""
    return strategies.sets(strategies.integers(0, len(raw)), max_size=6)


def _split(raw, positions):
    """Split bytes at positions."""
    edges = [0, *sorted(positions), len(raw)]
    return [
        raw[start:end] for start, end in zip(edges, edges[1:], strict=False)
    ]


def _corrupted(raw):
    """Return a strategy that replaces up to four bytes."""
    changes = strategies.dictionaries(
        strategies.integers(0, len(raw) - 1),
        strategies.integers(0, 255),
        max_size=4,
    )
    return changes.map(lambda chosen: _replace(raw, chosen))


def _replace(raw, changes):
    """Replace bytes by index."""
    changed = bytearray(raw)
    for index, number in changes.items():
        changed[index] = number
    return bytes(changed)


def _ignore(*_):
    """Ignore that an engine leaves."""


class HttpTest(testtools.TestCase):
    """Framing of requests and responses."""

    @_DETERMINISTIC
    @hypothesis.given(_split_positions(_REQUEST))
    def test_fragmented_requests(self, positions):
        """Two pipelined requests are parsed however their bytes are split."""
        reader = messages.RequestReader(_LIMITS)
        for part in _split(_REQUEST, positions):
            if part:
                reader.feed(part)
        self.assertEqual(
            [b'abc', b'de'], [request.body for request in reader.ready]
        )

    @_DETERMINISTIC
    @hypothesis.given(_corrupted(_REQUEST))
    def test_corrupted_requests(self, raw):
        """A malformed request is refused with a 4xx status."""
        reader = messages.RequestReader(_LIMITS)
        try:
            reader.feed(raw)
        except http_errors.RequestRefused as error:
            self.assertTrue(400 <= error.status < 500)
        for request in reader.ready:
            length = messages.find_header(request.headers, b'content-length')
            if length:
                self.assertEqual(int(length), len(request.body))

    @_DETERMINISTIC
    @hypothesis.given(_corrupted(_RESPONSE), _split_positions(_RESPONSE))
    def test_corrupted_responses(self, raw, positions):
        """A complete response has the length given in its head."""
        reader = messages.ResponseReader()
        try:
            for part in _split(raw, positions):
                reader.feed(part)
        except http_errors.ExchangeBroken:
            return
        if reader.complete and not reader.ends_with_connection:
            length = reader.head.header(b'content-length')
            if length:
                self.assertEqual(int(length), len(reader.take_body()))

    @_DETERMINISTIC
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.binary(), strategies.binary()),
            max_size=5,
        ),
    )
    def test_client_headers(self, pairs):
        """Headers are parsed or the request is malformed."""
        header_names = (
            b'x-nutmegtrail-request-id',
            b'x-nutmegtrail-deadline-ms',
            b'last-event-id',
            b'host',
            b'api-key',
        )
        client_headers = tuple(
            (name, pair[1])
            for name, pair in zip(header_names, pairs, strict=False)
        )
        request = messages.Request(
            b'GET', b'/a', client_headers, b'', keep_alive=True
        )
        try:
            headers.PlatformHeaderTranslator().read_request(request)
        except errors.MalformedRequest:
            return


class EventsTest(testtools.TestCase):
    """Event streams that are interrupted or corrupted."""

    @_DETERMINISTIC
    @hypothesis.given(
        _split_positions(_STREAM), strategies.integers(0, len(_STREAM))
    )
    def test_only_complete_events_are_forwarded(self, positions, end):
        """The forwarded bytes are a prefix of the stream in complete events."""
        position = events.Position()
        splitter = events.Splitter()
        forwarded = b''
        for part in _split(
            _STREAM[:end],
            {split for split in positions if split < end},
        ):
            advance = events.select_new_events(position, splitter.feed(part))
            position = advance.position
            forwarded += advance.payload
        self.assertTrue(_STREAM.startswith(forwarded))
        self.assertEqual(_STREAM[:end].rpartition(b'\n\n')[0], forwarded[:-2])

    @_DETERMINISTIC
    @hypothesis.given(_corrupted(_STREAM))
    def test_corrupted_streams(self, raw):
        """No more events are forwarded than the stream contains."""
        splitter = events.Splitter()
        complete_events = splitter.feed(raw)
        advance = events.select_new_events(events.Position(), complete_events)
        numbers = [
            number
            for number in map(events.event_id, complete_events)
            if number is not None and number in range(1, 9)
        ]
        self.assertTrue(len(numbers) <= 8)
        self.assertTrue(len(advance.payload) <= len(raw))


class DocumentsTest(testtools.TestCase):
    """Documents of the store, engines and other gateways."""

    @_DETERMINISTIC
    @hypothesis.given(_JSON, strategies.sampled_from(sorted(_REGISTRATION)))
    def test_registrations(self, value, field):
        """A registration is decoded to valid fields or is malformed."""
        content = json.dumps({**_REGISTRATION, field: value}).encode()
        try:
            decoded = documents.upstream('servers/i-1', content)
        except errors.MalformedDocument:
            return
        self.assertTrue(decoded.slots >= 1)
        self.assertIsInstance(decoded.service, str)

    @_DETERMINISTIC
    @hypothesis.given(_JSON, strategies.sampled_from(sorted(samples.CONFIG)))
    def test_configurations(self, value, field):
        """A configuration is decoded completely or is malformed."""
        content = json.dumps({**samples.CONFIG, field: value}).encode()
        try:
            decoded = documents.configuration(content)
        except errors.MalformedDocument:
            return
        self.assertIsInstance(decoded, models.Configuration)

    @_DETERMINISTIC
    @hypothesis.given(strategies.binary() | _JSON.map(json.dumps))
    def test_datagrams(self, raw):
        """A datagram is decoded to a report or dropped."""
        payload = raw if isinstance(raw, bytes) else raw.encode()
        report = gossip.decode(payload)
        if report is not None:
            self.assertIsInstance(report, gossip.Report)

    @_DETERMINISTIC
    @hypothesis.given(_JSON)
    def test_engine_responses(self, value):
        """An engine response is decoded or None is returned."""
        control = engines.EngineControlClient(_ignore)
        control._client = _FixedResponseClient(value)
        upstream = gateway_samples.upstream('u1')

        async def _ask():
            return (
                await control.report(upstream),
                await control.choices(upstream),
                await control.held_experts(upstream),
            )

        self.assertEqual(3, len(anyio.run(_ask)))

    @_DETERMINISTIC
    @hypothesis.given(_JSON)
    def test_store_responses(self, value):
        """A store response is decoded or an error is returned."""
        platform_store = store.PlatformStore(
            shared_models.Address('127.0.0.1', 1),
        )
        platform_store._client = _FixedResponseClient(value)

        async def _ask():
            return [
                await platform_store.snapshot('op/'),
                await platform_store.changes('op/', 1, 0),
                await platform_store.swap('a', 0, b''),
                await platform_store.grant_lease(1),
                await platform_store.keep_alive(1),
                await platform_store.revoke_lease(1),
            ]

        for outcome in anyio.run(_ask):
            self.assertTrue(outcome.is_ok() or outcome.is_error())

    def test_empty_page_with_more_items(self):
        """A page without items but with `has_more` set is an error."""
        platform_store = store.PlatformStore(
            shared_models.Address('127.0.0.1', 1),
        )
        page = {'items': [], 'has_more': True, 'current_rev': 3}
        platform_store._client = _FixedResponseClient(page)
        self.assertTrue(anyio.run(platform_store.snapshot, 'op/').is_error())

    @_DETERMINISTIC
    @hypothesis.given(_JSON)
    def test_store_items(self, value):
        """A store item is decoded or an error is returned."""
        platform_store = store.PlatformStore(
            shared_models.Address('127.0.0.1', 1),
        )
        item = {'key': 'op/a', 'revision': 2, 'value': value}
        good = base64.b64encode(b'x').decode()
        row = {'key': 'op/b', 'revision': 3, 'value': good}
        page = {'items': [item, row], 'has_more': False, 'current_rev': 3}
        platform_store._client = _FixedResponseClient(page)
        decoded = anyio.run(platform_store.snapshot, 'op/')
        self.assertTrue(decoded.is_ok() or decoded.is_error())


class _FixedResponseClient:
    """Client that returns the same document for each request."""

    def __init__(self, document):
        """Initialize the client with a document."""
        self._body = json.dumps(document).encode()

    async def send(self, *_, needs_new_connection=False):
        """Return the document with status 200."""
        return json_client.Response(200, self._body)
