"""Engine whose streams take a while and may fall silent meanwhile."""

import anyio

from nutmegtrail.adapters.http1 import messages
from tests.platform import stand_in

EVENT_COUNT = 16
EVENT_SECONDS = 0.1


class StreamEngine(stand_in.Engine):
    """Engine that sends an event now and then, and none while it is silent.

    `runs` has the identifiers of the requests that it began to run.
    """

    def __init__(self, name, store, tasks):
        """Initialize an engine that is not running."""
        super().__init__(name, 'drafts')
        self.runs = []
        self._store = store
        self._tasks = tasks
        self._silent_until = 0

    async def start(self):
        """Listen and register."""
        await stand_in.serve(self, self._tasks)
        self._store.put(f'servers/{self.name}', self.registration())

    def fall_silent(self, seconds):
        """Send nothing for a time, then go on."""
        self._silent_until = anyio.current_time() + seconds

    async def whole(self, exchange, headers):
        """Send the events after the last one that the caller has."""
        request = exchange.request
        self.runs.append(
            messages.find_header(request.headers, b'x-nutmegtrail-request-id')
        )
        first = int(
            messages.find_header(request.headers, b'last-event-id') or 0
        )
        if first == EVENT_COUNT:
            await exchange.respond(200, headers, b'')
            return
        for number in range(first + 1, EVENT_COUNT + 1):
            await self._wait()
            event = b'id: %d\ndata: x\n\n' % number
            if number == first + 1:
                await exchange.start_chunked(200, headers, event)
            else:
                await exchange.write(event)
        await self._wait()
        await exchange.finish()

    async def _wait(self):
        """Wait for the next event."""
        await anyio.sleep(EVENT_SECONDS)
        while anyio.current_time() < self._silent_until:
            await anyio.sleep_until(self._silent_until)
