"""Store stand-in for marks that entries share."""

import expression

from nutmegtrail.ports import key_value
from nutmegtrail.ports import watched_store


class SharedStore:
    """Store that passes each batch on to the entries."""

    def __init__(self):
        """Initialize an empty store without failures."""
        self.content_by_key = {}
        self.batches = []
        self.leases = 0
        self.failures = []
        self.gone_leases = set()
        self.listeners = []

    async def grant_lease(self, _):
        """Grant a lease."""
        self.leases += 1
        return expression.Ok(self.leases)

    async def write_batch(self, content_by_key, deleted_keys, lease):
        """Apply a batch; an unknown outcome applies it too."""
        failure = self.failures.pop(0) if self.failures else None
        if isinstance(failure, key_value.LeaseGone):
            self.gone_leases.add(lease)
        if lease in self.gone_leases:
            return expression.Error(key_value.LeaseGone(lease))
        if isinstance(failure, key_value.Unavailable):
            return expression.Error(failure)
        self.batches.append(len(content_by_key) + len(deleted_keys))
        self.content_by_key.update(content_by_key)
        for key, content in content_by_key.items():
            self._notify(watched_store.Item(key, 1, content))
        for key in deleted_keys:
            self.content_by_key.pop(key, None)
            self._notify(watched_store.Removal(key, 1))
        if failure is not None:
            return expression.Error(failure)
        return expression.Ok(None)

    def items(self):
        """Return a snapshot."""
        return tuple(
            watched_store.Item(key, 1, content)
            for key, content in self.content_by_key.items()
        )

    def _notify(self, change):
        """Pass a change on to all entries."""
        for listener in self.listeners:
            listener.on_change(change)
