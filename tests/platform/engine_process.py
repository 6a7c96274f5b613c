"""Engine that ends and starts again, as a process on its host would."""

import anyio

from nutmegtrail.adapters.http1 import messages
from tests.platform import stand_in

FATAL_BODY = b'fatal'
FATAL_ACCOUNT = b'agency'
# Registrations expire after three missed heartbeats.
_REGISTRATION_SECONDS = 1.0
_RESTART_SECONDS = 1.5
_SLOW_SECONDS = 0.3


class EngineProcess(stand_in.Engine):
    """Engine that ends whenever it begins to run the fatal request.

    That is the fatal body of the fatal account. A body that begins
    with `slow` takes longer. Each start has another registration and a later start time. `runs` has the
    time and identifier of each request that began, `ends` the times of the
    ends.
    """

    def __init__(self, name, service, store, tasks):
        """Initialize an engine that is not running."""
        super().__init__(name, service)
        self.runs = []
        self.ends = []
        self.started_at_ms = 1_000
        self.restart_seconds = _RESTART_SECONDS
        self._store = store
        self._tasks = tasks
        self._scope = anyio.CancelScope()

    @property
    def key(self):
        """Return the store key of the current incarnation."""
        return f'servers/{self.name}-{self.started_at_ms}'

    async def start(self):
        """Listen and register as a new incarnation."""
        self.started_at_ms += 1
        server = stand_in.create_server(self)
        await server.start()
        self._scope = anyio.CancelScope()
        self._tasks.start_soon(self._serve, server, self._scope)
        self._store.put(self.key, self.registration())

    def end(self):
        """End the process, which closes its sockets."""
        self.ends.append(anyio.current_time())
        self._scope.cancel()
        self._tasks.start_soon(self._return, self.key)

    async def handle(self, exchange):
        """Handle a request; the fatal one ends the process."""
        request = exchange.request
        if request.target != b'/api/report':
            self.runs.append((anyio.current_time(), request))
            account = messages.find_header(
                request.headers, b'x-nutmegtrail-tenant'
            )
            if (request.body, account) == (FATAL_BODY, FATAL_ACCOUNT):
                self.end()
            if request.body.startswith(b'slow'):
                await anyio.sleep(_SLOW_SECONDS)
        await super().handle(exchange)

    async def _serve(self, server, scope):
        """Serve until the process ends."""
        with scope:
            await server.serve()
        with anyio.CancelScope(shield=True):
            await server._listener.aclose()

    async def _return(self, key):
        """Let the registration expire, then start again."""
        await anyio.sleep(_REGISTRATION_SECONDS)
        if key in self._store.items_by_key:
            self._store.remove(key)
        await anyio.sleep(self.restart_seconds - _REGISTRATION_SECONDS)
        await self.start()
