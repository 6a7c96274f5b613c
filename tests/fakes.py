"""Small fakes at the ports."""

import expression

from nutmegtrail.ports import key_value


class FakeStore:
    """A key-value store whose swaps meet the given faults in turn."""

    def __init__(self, faults=()):
        """Start empty."""
        self.entries_by_key = {}
        self.after_write = None
        self._faults = list(faults)
        self._down = False

    async def get(self, key):
        """Return the entry of a key."""
        if self._down:
            return expression.Error(key_value.Unavailable(key))
        return expression.Ok(self.entries_by_key.get(key))

    async def swap(self, key, expected_revision, content, lease_id=0):
        """Write by compare-and-swap under the next fault."""
        fault = self._faults.pop(0) if self._faults else 'none'
        if fault == 'unavailable':
            return expression.Error(key_value.Unavailable(key))
        if fault == 'request-lost':
            return expression.Error(key_value.OutcomeUnknown(key))
        existing = self.entries_by_key.get(key)
        revision = 0 if existing is None else existing.revision
        if revision != expected_revision:
            return expression.Error(key_value.CompareFailed(key))
        self.entries_by_key[key] = key_value.Entry(key, revision + 1, content)
        if self.after_write is not None:
            self.after_write(self)
        self._down = fault == 'down-after'
        if fault in {'answer-lost', 'down-after'}:
            return expression.Error(key_value.OutcomeUnknown(key))
        return expression.Ok(revision + 1)
