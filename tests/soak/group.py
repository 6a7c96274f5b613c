"""A rank group that the soak's engines share: steps, maps and orders."""

import json

import anyio

from nutmegtrail.expert_map import switch
from tests.expert_map import rank

SETS = 2
EXPERTS = 12
PLACES = 6
SPARE = 2
_STEP_SECONDS = 0.03
# The popular expert changes, so that maps are switched all the time.
_SHIFT_SECONDS = 1.5
_HOT_WEIGHT = 30
_JSON = ((b'content-type', b'application/json'),)


class Group:
    """Ranks that begin each step together, unless one of them is held."""

    def __init__(self, size):
        """Assign the experts in turn; nothing runs yet."""
        first = tuple(
            tuple(tuple(range(place, EXPERTS, size)) for place in range(size))
            for _ in range(SETS)
        )
        self.ranks = [rank.Rank() for _ in range(size)]
        self.maps_by_version = [{0: first} for _ in range(size)]
        self.disagreements = []
        self.switches = 0
        self.step = 0
        self.stepped_at = 0
        self._requests = 0
        self._stepped = anyio.Event()

    async def run(self):
        """Begin steps while there are requests, until cancelled."""
        while True:
            await anyio.sleep(_STEP_SECONDS)
            if self._requests:
                self._begin_step()
            else:
                self.stepped_at = anyio.current_time()

    async def next_step(self):
        """Wait, as a request that is under way, for a step's end."""
        self._requests += 1
        try:
            await self._stepped.wait()
        finally:
            self._requests -= 1

    async def answer(self, exchange, place):
        """Answer a control call to a rank."""
        path, _, query = exchange.request.target.decode().partition('?')
        status = 200
        if path == '/api/order':
            document = json.loads(exchange.request.body)
            status = self._take(place, document)
            document = {}
        elif path == '/api/report':
            document = self._report(place)
        elif query:
            held = self._layers(place)
            document = {'map': {'experts': [one[place] for one in held]}}
        else:
            document = {'counts': self._counts()}
        await exchange.respond(status, _JSON, json.dumps(document).encode())

    def membership(self, place):
        """Return a rank's place as it registers it."""
        return {'name': 'g0', 'epoch': 1, 'rank': place, 'state': 'open'}

    def _begin_step(self):
        """Begin a step unless a rank is held before it."""
        step = self.step + 1
        if any(one.held == step for one in self.ranks):
            return
        self.step = step
        self.stepped_at = anyio.current_time()
        for one in self.ranks:
            if one.armed is not None and one.armed_step == step:
                one.map_version = one.armed
                one.armed = None
                one.prepared = None
                self.switches += 1
        maps = {self._layers(place) for place in range(len(self.ranks))}
        versions = {one.map_version for one in self.ranks}
        if len(maps) > 1 or len(versions) > 1:
            self.disagreements.append(f'step {step} on maps {versions}')
        self._stepped.set()
        self._stepped = anyio.Event()

    def _take(self, place, document):
        """Return the status of an order."""
        layers = document.get('map')
        if layers is not None:
            layers = tuple(
                tuple(tuple(held) for held in layer) for layer in layers
            )
        order = switch.Order(
            switch.Operation(document['operation']),
            document['epoch'],
            document.get('version'),
            document.get('step'),
            layers,
        )
        taker = self.ranks[place]
        status = taker.take(order, document['fence_token'], self.step)
        if layers is not None and status == 202:
            self.maps_by_version[place][order.version] = layers
        return status

    def _report(self, place):
        """Return a rank's state."""
        one = self.ranks[place]
        return {
            'group': self.membership(place),
            'step': self.step,
            'map': one.map_version,
            'prepared': one.prepared,
            'armed': one.armed,
            'held': one.held,
        }

    def _counts(self):
        """Return counters that grow with time, one expert's faster."""
        now = anyio.current_time()
        weights = [now * EXPERTS for _ in range(EXPERTS)]
        whole, rest = divmod(now, _SHIFT_SECONDS)
        for number in range(EXPERTS):
            turns = (int(whole) - number + EXPERTS - 1) // EXPERTS
            weights[number] += _HOT_WEIGHT * EXPERTS * turns * _SHIFT_SECONDS
        weights[int(whole) % EXPERTS] += _HOT_WEIGHT * EXPERTS * rest
        return [int(count) for _ in range(SETS) for count in weights]

    def _layers(self, place):
        """Return the whole map that a rank works by."""
        version = self.ranks[place].map_version
        return self.maps_by_version[place][version]
