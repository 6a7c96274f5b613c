"""Callers whose prompts share parts, one of which ends the engines."""

import collections
import random
import typing
import zlib

import anyio

from nutmegtrail.adapters.http1 import client
from nutmegtrail.adapters.http1 import errors
from nutmegtrail.gateway import const
from tests.platform import part_engine

CALL_PATH = b'/long/read/2f'
ONCE_PATH = b'/long/2f'
STREAM_PATH = b'/long/prefix/2f'
FIRST_PART = b'f1257a11'
OTHER_FIRST_PART = b'0f1257a1'
MIDDLE_PARTS = tuple(b'a11%05x' % number for number in range(8))
# Refusals for a lack of free engines are for less.
QUARANTINE_SECONDS = const.MAX_RETRY_AFTER_SECONDS
_REQUEST_TIMEOUT_SECONDS = 5
_DEADLINE_MS = b'4000'
_SETTLED_CHECK_SECONDS = 0.05
_SEED = 5


class Reply(typing.NamedTuple):
    """What a caller got; the status is 0 without a complete response."""

    request_id: str
    entry_number: int
    sent_at_seconds: float
    status: int = 0
    retry_after_seconds: float = 0
    is_whole: bool = False
    events: int = 0

    @property
    def is_quarantined(self):
        """Return whether the request was refused for a long time."""
        return (
            self.status == 503 and self.retry_after_seconds > QUARANTINE_SECONDS
        )


class Callers:
    """Callers of one account, no two of whose requests are alike."""

    def __init__(self, deployment, tasks, path=STREAM_PATH):
        """Initialize the callers without requests."""
        self.deployment = deployment
        self.path = path
        self.first_part = FIRST_PART
        self.bad_first_part = FIRST_PART
        self.resumptions = 0
        self.bad_replies = []
        self.sound_replies = []
        self._tasks = tasks
        self._random = random.Random(_SEED)
        self._sent = 0
        self._waiting = 0

    @property
    def replies(self):
        """Return all replies."""
        return self.bad_replies + self.sound_replies

    @property
    def has_quarantined(self):
        """Return whether a bad request was refused because of its part."""
        return any(reply.is_quarantined for reply in self.bad_replies)

    def run_count_by_id(self):
        """Return how often engines began each request identifier."""
        return collections.Counter(
            dict(request.headers)[b'x-nutmegtrail-request-id'].decode()
            for engine in self.deployment.engines
            for _, request in engine.runs
        )

    def random_middle_part(self):
        """Return one of the shared middle parts."""
        return self._random.choice(MIDDLE_PARTS)

    def send_bad_later(self, entry_number):
        """Send a request with the bad part without waiting for its reply."""
        if self.resumptions:
            self._tasks.start_soon(
                self.send_resuming, entry_number, self.resumptions
            )
        else:
            self._tasks.start_soon(self.send_bad, entry_number)

    def send_sound_later(self, entry_number, middle=None):
        """Send a sound request without waiting for its reply."""
        self._tasks.start_soon(self.send_sound, entry_number, middle)

    async def send_bad(self, entry_number, path=None, body=None):
        """Send a request with the bad part and return its reply.

        Its other parts are those of sound requests. It is unlike any other
        one, unless a body is given, which comes with the same last part.
        """
        parts = (self.bad_first_part, part_engine.BAD_PART)
        if self.bad_first_part == part_engine.BAD_PART:
            parts = (self.bad_first_part, self.random_middle_part())
        reply = await self._send(
            'bad', entry_number, parts, path=path, body=body
        )
        self.bad_replies.append(reply)
        return reply

    async def send_sound(self, entry_number, middle=None):
        """Send a request without the bad part and return its reply."""
        parts = (self.first_part, middle or self.random_middle_part())
        reply = await self._send('sound', entry_number, parts)
        self.sound_replies.append(reply)
        return reply

    async def send_resuming(self, entry_number, resumptions):
        """Send a stream with the bad part, and resume it where it broke.

        Each resumption goes to the next entry.
        """
        self._sent += 1
        body = b'resumed-%d' % self._sent
        parts = (self.bad_first_part, part_engine.BAD_PART)
        last_event = 0
        for attempt in range(resumptions + 1):
            reply = await self._send(
                'bad',
                (entry_number + attempt) % len(self.deployment.entries),
                parts,
                body=body,
                last_event=last_event,
            )
            self.bad_replies.append(reply)
            last_event += reply.events
            if reply.status or not last_event:
                return

    async def settle(self):
        """Wait until all requests that were sent have their replies."""
        while self._waiting:
            await anyio.sleep(_SETTLED_CHECK_SECONDS)

    async def _send(self, kind, entry_number, parts, **changes):
        """Send a request and return its reply."""
        self._sent += 1
        request_id = f'{kind}-{self._sent}'
        body = changes.get('body') or request_id.encode()
        last_part = b'%08x' % zlib.crc32(body)
        prompt = b'%b:40,%b:300,%b:200' % (*parts, last_part)
        headers = (
            (b'host', b'ficu95.example'),
            (b'x-nutmegtrail-request-id', request_id.encode()),
            (b'x-nutmegtrail-deadline-ms', _DEADLINE_MS),
            (b'x-nutmegtrail-prompt-prefix', prompt),
            (b'api-key', b'key-1'),
        )
        if changes.get('last_event'):
            headers += ((b'last-event-id', b'%d' % changes['last_event']),)
        call = client.Call(
            self.deployment.entries[entry_number].addresses[0],
            b'POST',
            changes.get('path') or self.path,
            headers,
            body,
            needs_new_connection=True,
        )
        reply = Reply(request_id, entry_number, anyio.current_time())
        received = bytearray()
        self._waiting += 1
        try:
            with anyio.move_on_after(_REQUEST_TIMEOUT_SECONDS):
                reply = await self._fetch(call, reply, received)
        except (errors.NotConnected, errors.ExchangeBroken):
            return reply._replace(events=received.count(b'\n\n'))
        finally:
            self._waiting -= 1
        return reply

    async def _fetch(self, call, reply, received):
        """Return the reply to a call; add what arrives to `received`."""
        async with client.Client().open(call) as response:
            head = response.head
            part = await response.receive()
            while part:
                received += part
                part = await response.receive()
        service = self.deployment.engines[0].service
        is_whole = received == part_engine.WHOLE_BODY_BY_SERVICE[service]
        return reply._replace(
            status=head.status,
            retry_after_seconds=float(head.header(b'retry-after') or 0),
            is_whole=head.status == 200 and is_whole,
        )
