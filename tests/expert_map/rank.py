"""A rank that follows the platform's rules for orders."""

from nutmegtrail.expert_map import switch


class Rank:
    """One rank's side of the orders."""

    def __init__(self):
        """Start on map 0."""
        self.map_version = 0
        self.prepared = None
        self.armed = None
        self.armed_step = 0
        self.held = None
        self.fence = 0
        self.newest = 0

    def take(self, order, fence, step):
        """Return the status of an order; `step` is the last one begun."""
        if fence < self.fence:
            return 412
        self.fence = fence
        return getattr(self, f'_{order.operation.name.lower()}')(order, step)

    def _prepare(self, order, _):
        """Copy experts at once."""
        if self.prepared == order.version:
            return 200
        if order.version <= self.newest or self.armed is not None:
            return 409
        self.newest = order.version
        self.prepared = order.version
        return 202

    def _hold(self, order, step):
        """Hold one step that has not begun."""
        if self.held == order.step:
            return 200
        if self.held is not None or order.step <= step:
            return 409
        self.held = order.step
        return 200

    def _arm(self, order, step):
        """Switch as a step begins."""
        if (self.armed, self.armed_step) == (order.version, order.step):
            return 200
        if order.version != self.prepared or order.step <= step:
            return 409
        self.armed = order.version
        self.armed_step = order.step
        return 200

    def _disarm(self, order, _):
        """Forget a version that is armed."""
        if self.armed == order.version:
            self.armed = None
        return 409 if self.map_version == order.version else 200

    def _release(self, order, _):
        """End a hold."""
        if self.held == order.step:
            self.held = None
        return 200

    def report(self, step):
        """Return the engine's state."""
        return switch.Report(
            1,
            step,
            self.map_version,
            self.prepared,
            self.armed,
            self.held,
        )
