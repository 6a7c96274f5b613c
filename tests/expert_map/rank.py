"""Simulated rank that follows the platform's rules for orders."""

from nutmegtrail.expert_map import switch


class Rank:
    """Handling of orders by one rank."""

    def __init__(self):
        """Initialize the rank with map 0."""
        self.map_version = 0
        self.prepared = None
        self.armed = None
        self.armed_step = 0
        self.held = None
        self.fence = 0
        self.newest_version = 0

    def take(self, order, fence, step):
        """Return an order's HTTP status; `step` is the last started one."""
        if fence < self.fence:
            return 412
        self.fence = fence
        return getattr(self, f'_{order.operation.name.lower()}')(order, step)

    def _prepare(self, order, _):
        """Prepare a map; its experts are copied instantly."""
        if self.prepared == order.version:
            return 200
        if order.version <= self.newest_version or self.armed is not None:
            return 409
        self.newest_version = order.version
        self.prepared = order.version
        return 202

    def _hold(self, order, step):
        """Hold one step that has not started."""
        if self.held == order.step:
            return 200
        if self.held is not None or order.step <= step:
            return 409
        self.held = order.step
        return 200

    def _arm(self, order, step):
        """Arm a prepared map for a step that has not started."""
        if (self.armed, self.armed_step) == (order.version, order.step):
            return 200
        if order.version != self.prepared or order.step <= step:
            return 409
        self.armed = order.version
        self.armed_step = order.step
        return 200

    def _disarm(self, order, _):
        """Discard an armed version, unless the rank already runs it."""
        if self.armed == order.version:
            self.armed = None
        return 409 if self.map_version == order.version else 200

    def _release(self, order, _):
        """End the hold of a step."""
        if self.held == order.step:
            self.held = None
        return 200

    def report(self, step):
        """Return the report of the engine."""
        return switch.Report(
            1,
            step,
            self.map_version,
            self.prepared,
            self.armed,
            self.held,
        )
