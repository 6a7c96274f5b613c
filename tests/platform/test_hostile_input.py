"""Whatever arrives from outside, each layer raises its own errors only."""

import base64
import json

import anyio
import hypothesis
import testtools
from hypothesis import strategies

from nutmegtrail import models as shared_models
from nutmegtrail.adapters.http1 import errors as http_errors
from nutmegtrail.adapters.http1 import messages
from nutmegtrail.gateway import errors
from nutmegtrail.gateway import events
from nutmegtrail.gateway import gossip
from nutmegtrail.gateway import models
from nutmegtrail.platform import documents
from nutmegtrail.platform import engines
from nutmegtrail.platform import headers
from nutmegtrail.platform import json_client
from nutmegtrail.platform import store
from tests.gateway import samples as gateway_samples
from tests.platform import samples

_SEEDED = hypothesis.settings(
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
_ANSWER = (
    b'HTTP/1.1 200 OK\r\nx-nutmegtrail-request-id: r1\r\n'
    b'x-nutmegtrail-response-seal: s\r\ncontent-length: 5\r\n\r\nhello'
)
_STREAM = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(1, 9))
_ENTRY = json.loads(samples.beat())


def _cuts(raw):
    """Return a strategy of the places at which bytes arrive apart."""
    return strategies.sets(strategies.integers(0, len(raw)), max_size=6)


def _parts(raw, cuts):
    """Return bytes cut at places."""
    edges = [0, *sorted(cuts), len(raw)]
    return [
        raw[start:end] for start, end in zip(edges, edges[1:], strict=False)
    ]


def _spoilt(raw):
    """Return a strategy of bytes with a few of them replaced."""
    changes = strategies.dictionaries(
        strategies.integers(0, len(raw) - 1),
        strategies.integers(0, 255),
        max_size=4,
    )
    return changes.map(lambda chosen: _replace(raw, chosen))


def _replace(raw, changes):
    """Return bytes with some replaced."""
    changed = bytearray(raw)
    for place, number in changes.items():
        changed[place] = number
    return bytes(changed)


class HttpTest(testtools.TestCase):
    """Framing of requests and answers."""

    @_SEEDED
    @hypothesis.given(_cuts(_REQUEST))
    def test_requests_in_any_pieces(self, cuts):
        """Two requests are read alike however their bytes arrive."""
        reader = messages.RequestReader(_LIMITS)
        for part in _parts(_REQUEST, cuts):
            if part:
                reader.feed(part)
        self.assertEqual([b'abc', b'de'], [one.body for one in reader.ready])

    @_SEEDED
    @hypothesis.given(_spoilt(_REQUEST))
    def test_spoilt_requests(self, raw):
        """A request that can not be read is refused with a status."""
        reader = messages.RequestReader(_LIMITS)
        try:
            reader.feed(raw)
        except http_errors.RequestRefused as error:
            self.assertTrue(400 <= error.status < 500)
        for request in reader.ready:
            length = messages.find(request.headers, b'content-length')
            if length:
                self.assertEqual(int(length), len(request.body))

    @_SEEDED
    @hypothesis.given(_spoilt(_ANSWER), _cuts(_ANSWER))
    def test_spoilt_answers(self, raw, cuts):
        """An answer is whole as its head says, or broken."""
        reader = messages.ResponseReader()
        try:
            for part in _parts(raw, cuts):
                reader.feed(part)
        except http_errors.ExchangeBroken:
            return
        if reader.complete and not reader.ends_with_connection:
            length = reader.head.header(b'content-length')
            if length:
                self.assertEqual(int(length), len(reader.take_body()))

    @_SEEDED
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.binary(), strategies.binary()),
            max_size=5,
        ),
    )
    def test_headers_of_callers(self, pairs):
        """Headers are understood, or the request is malformed."""
        known = (
            b'x-nutmegtrail-request-id',
            b'x-nutmegtrail-deadline-ms',
            b'last-event-id',
            b'host',
            b'api-key',
        )
        named = tuple(
            (name, pair[1]) for name, pair in zip(known, pairs, strict=False)
        )
        request = messages.Request(b'GET', b'/a', named, b'', keep_alive=True)
        try:
            headers.PlatformDialect().read_request(request)
        except errors.MalformedRequest:
            return


class EventsTest(testtools.TestCase):
    """Streams that are cut, repeated or spoilt."""

    @_SEEDED
    @hypothesis.given(_cuts(_STREAM), strategies.integers(0, len(_STREAM)))
    def test_only_whole_events_pass(self, cuts, end):
        """What is passed on is a beginning of the stream, by whole events."""
        position = events.Position()
        splitter = events.Splitter()
        passed = b''
        for part in _parts(_STREAM[:end], {cut for cut in cuts if cut < end}):
            advance = events.advance(position, splitter.feed(part))
            position = advance.position
            passed += advance.payload
        self.assertTrue(_STREAM.startswith(passed))
        self.assertEqual(_STREAM[:end].rpartition(b'\n\n')[0], passed[:-2])

    @_SEEDED
    @hypothesis.given(_spoilt(_STREAM))
    def test_spoilt_streams(self, raw):
        """Numbers never fall, and bytes outside of events do not pass."""
        splitter = events.Splitter()
        whole = splitter.feed(raw)
        advance = events.advance(events.Position(), whole)
        numbers = [
            number
            for number in map(events.event_id, whole)
            if number is not None and number in range(1, 9)
        ]
        self.assertTrue(len(numbers) <= 8)
        self.assertTrue(len(advance.payload) <= len(raw))


class DocumentsTest(testtools.TestCase):
    """What the store, engines and other entries say."""

    @_SEEDED
    @hypothesis.given(_JSON, strategies.sampled_from(sorted(_ENTRY)))
    def test_registrations(self, value, field):
        """A registration names an upstream of sound fields, or none."""
        content = json.dumps({**_ENTRY, field: value}).encode()
        try:
            read = documents.upstream('servers/i-1', content)
        except errors.MalformedDocument:
            return
        self.assertTrue(read.slots >= 1)
        self.assertIsInstance(read.service, str)

    @_SEEDED
    @hypothesis.given(_JSON, strategies.sampled_from(sorted(samples.CONFIG)))
    def test_configurations(self, value, field):
        """A configuration is usable, or refused whole."""
        content = json.dumps({**samples.CONFIG, field: value}).encode()
        try:
            read = documents.configuration(content)
        except errors.MalformedDocument:
            return
        self.assertIsInstance(read, models.Configuration)

    @_SEEDED
    @hypothesis.given(strategies.binary() | _JSON.map(json.dumps))
    def test_datagrams(self, raw):
        """A datagram is a report, or dropped."""
        payload = raw if isinstance(raw, bytes) else raw.encode()
        report = gossip.decode(payload)
        if report is not None:
            self.assertIsInstance(report, gossip.Report)

    @_SEEDED
    @hypothesis.given(_JSON)
    def test_answers_of_engines(self, value):
        """What an engine answers is understood, or unreadable."""
        control = engines.EngineControlClient()
        control._client = _Answers(value)
        upstream = gateway_samples.upstream('u1')

        async def _ask():
            return (
                await control.report(upstream),
                await control.choices(upstream),
                await control.held_experts(upstream),
            )

        self.assertEqual(3, len(anyio.run(_ask)))

    @_SEEDED
    @hypothesis.given(_JSON)
    def test_answers_of_the_store(self, value):
        """What the store answers is understood, or counts as an outage."""
        platform_store = store.PlatformStore(
            shared_models.Address('127.0.0.1', 1),
        )
        platform_store._client = _Answers(value)

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

    def test_empty_page_before_the_last(self):
        """A listing that names no place to go on from is no listing."""
        platform_store = store.PlatformStore(
            shared_models.Address('127.0.0.1', 1),
        )
        page = {'items': [], 'has_more': True, 'current_rev': 3}
        platform_store._client = _Answers(page)
        self.assertTrue(anyio.run(platform_store.snapshot, 'op/').is_error())

    @_SEEDED
    @hypothesis.given(_JSON)
    def test_items_of_the_store(self, value):
        """An item of another shape counts as an outage as well."""
        platform_store = store.PlatformStore(
            shared_models.Address('127.0.0.1', 1),
        )
        item = {'key': 'op/a', 'revision': 2, 'value': value}
        good = base64.b64encode(b'x').decode()
        row = {'key': 'op/b', 'revision': 3, 'value': good}
        page = {'items': [item, row], 'has_more': False, 'current_rev': 3}
        platform_store._client = _Answers(page)
        read = anyio.run(platform_store.snapshot, 'op/')
        self.assertTrue(read.is_ok() or read.is_error())


class _Answers:
    """Answers each call with the same document."""

    def __init__(self, document):
        """Keep the document."""
        self._body = json.dumps(document).encode()

    async def send(self, *_):
        """Answer a call."""
        return json_client.Response(200, self._body)
