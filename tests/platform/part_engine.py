"""Engine that ends at one part of a prompt, alone or as a rank of a group."""

import anyio

from nutmegtrail.adapters.http1 import messages
from tests.platform import engine_process

BAD_PART = b'bad0c0de'
EVENT_COUNT = 16
WHOLE_BODY_BY_SERVICE = {
    'desk': b'booked',
    'drafts': b''.join(
        b'id: %d\ndata: x\n\n' % number for number in range(1, EVENT_COUNT + 1)
    ),
}
_EVENT_SECONDS = 0.05
_CALL_SECONDS = 0.2
# From the beginning of a run to the end of the engine.
_END_SECONDS = 0.03
_STALL_SECONDS = 1.5
# A rank is back after its group has stalled and answered that it is broken.
_RANK_RESTART_SECONDS = 1.6
# A leaving engine ends while requests of before its report are running.
_LEAVING_SECONDS = 0.5


class _RunCutError(Exception):
    """The group of a rank is broken, which cuts its running requests."""


class RankGroup:
    """Group whose ranks all stop working when one of them ends.

    They stall, then cut what they run and reject what they have not begun.
    The group opens in a new epoch when all ranks are back.
    """

    def __init__(self, name, store, tasks):
        """Initialize a group without ranks."""
        self.ranks = []
        self.faulty_id = ''
        self.is_open = True
        self._name = name
        self._epoch = 1
        self._store = store
        self._tasks = tasks
        self._stall_over = anyio.Event()
        self._stall_over.set()

    def add(self, rank):
        """Add a rank that is not running."""
        self.ranks.append(rank)
        rank.rank_group = self
        rank.restart_seconds = _RANK_RESTART_SECONDS
        self._describe()

    def break_up(self, ended_rank):
        """Let the other ranks stall because one has ended."""
        if not self.is_open:
            return
        self.is_open = False
        self.faulty_id = ended_rank.key.removeprefix('servers/')
        self._stall_over = anyio.Event()
        self._tasks.start_soon(self._stall)

    def reopen(self):
        """Open the group in a new epoch if all ranks are running."""
        if self.is_open or not all(rank.is_running for rank in self.ranks):
            return
        self.is_open = True
        self._epoch += 1
        self._register()

    async def wait_for_stall(self):
        """Wait while the group stalls."""
        await self._stall_over.wait()

    async def _stall(self):
        """Stall, then report that the group is broken."""
        await anyio.sleep(_STALL_SECONDS)
        self._stall_over.set()
        self._register()

    def _register(self):
        """Write the registrations of the running ranks."""
        self._describe()
        for rank in self.ranks:
            if rank.is_running:
                self._store.put(rank.key, rank.registration())

    def _describe(self):
        """Set what the ranks report of the group."""
        for number, rank in enumerate(self.ranks):
            rank.group = {
                'name': self._name,
                'epoch': self._epoch,
                'rank': number,
                'state': 'open' if self.is_open else 'broken',
            }


class PartEngine(engine_process.EngineProcess):
    """Engine that ends when it begins an answer on the bad part.

    A stream ends it after `events_before_end` events. `bad_arrivals` has the
    time and request identifier of each request with the bad part that reached
    it, whether it began or not, and `crashes` of those that ended it.
    """

    def __init__(self, number, service, store, tasks):
        """Initialize an engine that is not running."""
        super().__init__(f'p-{number}', service, store, tasks)
        self.bad_arrivals = []
        self.crashes = []
        self.events_before_end = 0
        self.is_running = False
        self.rank_group = None
        self._silent_until = 0

    def registration(self, **changes):
        """Return the encoded registration, with the size of the group."""
        if self.rank_group is None:
            return super().registration(**changes)
        size = len(self.rank_group.ranks)
        return super().registration(size=size, **changes)

    async def start(self):
        """Listen and register as a new incarnation."""
        await super().start()
        self.is_running = True
        if self.rank_group is not None:
            self.rank_group.reopen()

    def end(self):
        """End the process, unless it has ended."""
        if not self.is_running:
            return
        self.is_running = False
        if self.rank_group is not None:
            self.rank_group.break_up(self)
        super().end()

    async def leave(self, is_reported):
        """End as planned, with or without a report of it before."""
        if is_reported:
            self._store.put(self.key, self.registration(state='draining'))
        else:
            self._store.remove(self.key)
        await anyio.sleep(_LEAVING_SECONDS)
        self.end()

    def fall_silent(self, seconds):
        """Send nothing for a time, then go on."""
        self._silent_until = anyio.current_time() + seconds

    async def handle(self, exchange):
        """Handle a request, which begins if the group is open."""
        request = exchange.request
        path = request.target.partition(b'?')[0]
        if path == b'/api/report':
            await super().handle(exchange)
            return
        if path.startswith(b'/api/'):
            await exchange.respond(404, (), b'{}')
            return
        if _is_bad(request):
            self.bad_arrivals.append(_event_of(request))
        group = self.rank_group
        if group is not None and not group.is_open:
            await group.wait_for_stall()
            headers = (
                (b'x-nutmegtrail-not-executed', b'1'),
                (b'at-server', group.faulty_id.encode()),
            )
            await exchange.respond(503, headers, b'')
            return
        try:
            await super().handle(exchange)
        except _RunCutError:
            exchange.keep_alive = False

    async def whole(self, exchange, headers):
        """Send a complete response, or end."""
        await self._work(_END_SECONDS)
        if not self.events_before_end or self.service == 'desk':
            await self._end_if_bad(exchange.request)
        if self.service == 'desk':
            await self._work(_CALL_SECONDS - _END_SECONDS)
            body = WHOLE_BODY_BY_SERVICE[self.service]
            await exchange.respond(200, headers, body)
            return
        await self._stream(exchange, headers)

    async def _stream(self, exchange, headers):
        """Send the events after the last one that the caller has."""
        request = exchange.request
        first = int(
            messages.find_header(request.headers, b'last-event-id') or 0
        )
        if first >= EVENT_COUNT:
            await exchange.respond(200, headers, b'')
            return
        for number in range(first + 1, EVENT_COUNT + 1):
            await self._work(_EVENT_SECONDS)
            event = b'id: %d\ndata: x\n\n' % number
            if number == first + 1:
                await exchange.start_chunked(200, headers, event)
            else:
                await exchange.write(event)
            if number - first == self.events_before_end:
                await self._end_if_bad(request)
        await exchange.finish()

    async def _end_if_bad(self, request):
        """End the engine if a request holds the bad part."""
        if not _is_bad(request):
            return
        if self.is_running:
            self.crashes.append(_event_of(request))
        self.end()
        await anyio.sleep_forever()

    async def _work(self, seconds):
        """Work on a run for a time; raise _RunCutError if it was cut."""
        await anyio.sleep(seconds)
        while anyio.current_time() < self._silent_until:
            await anyio.sleep_until(self._silent_until)
        if self.rank_group is not None and not self.rank_group.is_open:
            await self.rank_group.wait_for_stall()
            raise _RunCutError


def create_call_engine(number, store, tasks):
    """Return an engine of the service 'desk', which answers plain calls."""
    return PartEngine(number, 'desk', store, tasks)


def create_stream_engine(number, store, tasks):
    """Return an engine of the service 'drafts', which sends streams."""
    return PartEngine(number, 'drafts', store, tasks)


def group_creator(ranks_per_group):
    """Return a function that creates stream engines in rank groups."""
    groups_by_name = {}

    def _create(number, store, tasks):
        name = f'g{number // ranks_per_group}'
        if name not in groups_by_name:
            groups_by_name[name] = RankGroup(name, store, tasks)
        engine = create_stream_engine(number, store, tasks)
        groups_by_name[name].add(engine)
        return engine

    return _create


def _is_bad(request):
    """Return whether a request's prompt holds the bad part."""
    prompt = messages.find_header(
        request.headers, b'x-nutmegtrail-prompt-prefix'
    )
    return BAD_PART in {
        entry.partition(b':')[0] for entry in prompt.split(b',')
    }


def _event_of(request):
    """Return the time and the identifier of a request."""
    request_id = messages.find_header(
        request.headers, b'x-nutmegtrail-request-id'
    )
    return anyio.current_time(), request_id.decode()
