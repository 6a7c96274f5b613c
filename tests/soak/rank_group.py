"""Simulated rank group of the soak test: steps, maps and orders."""

import json

import anyio

from nutmegtrail.expert_map import switch
from tests.expert_map import rank

LAYER_SETS = 2
EXPERTS = 12
EXPERT_SLOTS = 6
SPARE_EXPERT_SLOTS = 2
_STEP_SECONDS = 0.03
# The hot expert changes at this interval, which causes frequent map switches.
_HOT_EXPERT_SECONDS = 1.5
_HOT_EXPERT_WEIGHT = 30
_JSON_HEADERS = ((b'content-type', b'application/json'),)


class RankGroup:
    """Ranks that start every step together; a held rank blocks the group."""

    def __init__(self, size):
        """Initialize the ranks with the experts assigned round-robin."""
        initial_map = tuple(
            tuple(
                tuple(range(rank_index, EXPERTS, size))
                for rank_index in range(size)
            )
            for _ in range(LAYER_SETS)
        )
        self.ranks = [rank.Rank() for _ in range(size)]
        self.maps_by_version = [{0: initial_map} for _ in range(size)]
        self.map_mismatches = []
        self.switch_count = 0
        self.step = 0
        self.last_progress_at = 0
        self._active_requests = 0
        self._step_started = anyio.Event()

    async def run(self):
        """Start steps while requests are active, until cancelled."""
        while True:
            await anyio.sleep(_STEP_SECONDS)
            if self._active_requests:
                self._start_step()
            else:
                self.last_progress_at = anyio.current_time()

    async def wait_for_step(self):
        """Wait for the next step, counted as an active request meanwhile."""
        self._active_requests += 1
        try:
            await self._step_started.wait()
        finally:
            self._active_requests -= 1

    async def handle_control_call(self, exchange, rank_index):
        """Handle a control call to a rank."""
        path, _, query = exchange.request.target.decode().partition('?')
        status = 200
        if path == '/api/order':
            document = json.loads(exchange.request.body)
            status = self._apply_order(rank_index, document)
            document = {}
        elif path == '/api/report':
            document = self._report(rank_index)
        elif query:
            layers = self._current_map(rank_index)
            document = {
                'map': {'experts': [layer[rank_index] for layer in layers]}
            }
        else:
            document = {'counts': self._expert_counts()}
        await exchange.respond(
            status, _JSON_HEADERS, json.dumps(document).encode()
        )

    def membership(self, rank_index):
        """Return the rank-group fields of a rank's registration."""
        return {'name': 'g0', 'epoch': 1, 'rank': rank_index, 'state': 'open'}

    def _start_step(self):
        """Start the next step unless a rank holds it.

        Ranks that are armed for the step change to their armed map. All ranks
        must run the same map in a step; differences are recorded.
        """
        step = self.step + 1
        if any(member.held == step for member in self.ranks):
            return
        self.step = step
        self.last_progress_at = anyio.current_time()
        for member in self.ranks:
            if member.armed is not None and member.armed_step == step:
                member.map_version = member.armed
                member.armed = None
                member.prepared = None
                self.switch_count += 1
        maps = {
            self._current_map(rank_index)
            for rank_index in range(len(self.ranks))
        }
        versions = {member.map_version for member in self.ranks}
        if len(maps) > 1 or len(versions) > 1:
            self.map_mismatches.append(f'step {step} on maps {versions}')
        self._step_started.set()
        self._step_started = anyio.Event()

    def _apply_order(self, rank_index, document):
        """Apply an order to a rank; return the HTTP status."""
        layers = document.get('map')
        if layers is not None:
            layers = tuple(
                tuple(tuple(experts) for experts in layer) for layer in layers
            )
        order = switch.Order(
            switch.Operation(document['operation']),
            document['epoch'],
            document.get('version'),
            document.get('step'),
            layers,
        )
        member = self.ranks[rank_index]
        status = member.take(order, document['fence_token'], self.step)
        if layers is not None and status == 202:
            self.maps_by_version[rank_index][order.version] = layers
        return status

    def _report(self, rank_index):
        """Return the state report of a rank."""
        member = self.ranks[rank_index]
        return {
            'group': self.membership(rank_index),
            'step': self.step,
            'map': member.map_version,
            'prepared': member.prepared,
            'armed': member.armed,
            'held': member.held,
        }

    def _expert_counts(self):
        """Return the cumulative load of every expert in every layer set.

        Loads grow with time. The hot expert's load grows faster, and the
        experts take turns at being hot.
        """
        now = anyio.current_time()
        counts = [now * EXPERTS for _ in range(EXPERTS)]
        completed_periods, elapsed_seconds = divmod(now, _HOT_EXPERT_SECONDS)
        for expert in range(EXPERTS):
            hot_periods = (
                int(completed_periods) - expert + EXPERTS - 1
            ) // EXPERTS
            counts[expert] += (
                _HOT_EXPERT_WEIGHT * EXPERTS * hot_periods * _HOT_EXPERT_SECONDS
            )
        counts[int(completed_periods) % EXPERTS] += (
            _HOT_EXPERT_WEIGHT * EXPERTS * elapsed_seconds
        )
        return [int(count) for _ in range(LAYER_SETS) for count in counts]

    def _current_map(self, rank_index):
        """Return the complete expert map that a rank runs."""
        version = self.ranks[rank_index].map_version
        return self.maps_by_version[rank_index][version]
