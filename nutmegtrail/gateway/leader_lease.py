"""Acquires and renews a leadership at the store."""

import random

import anyio

from nutmegtrail.gateway import const
from nutmegtrail.gateway import leadership
from nutmegtrail.observability import logs
from nutmegtrail.ports import key_value
from nutmegtrail.ports import watched_store


class LeaderLease:
    """The entry's part in one leadership."""

    def __init__(
        self,
        key: str,
        name: str,
        store: key_value.LeaseStore,
        generator: random.Random,
    ) -> None:
        """Keep the collaborators; nothing is acquired yet."""
        self.state = leadership.Leadership(name)
        self._key = key
        self._store = store
        self._generator = generator
        self._vacant = anyio.Event()

    @property
    def fence(self) -> int | None:
        """Return the fence of the entry while it leads."""
        return self.state.fence

    def on_snapshot(self, items: tuple[watched_store.Item, ...]) -> None:
        """Take the key of a snapshot, or its absence."""
        own = [item for item in items if item.key == self._key]
        if own:
            self.on_change(own[0])
        else:
            self._decide(leadership.KeyGone())

    def on_change(
        self,
        change: watched_store.Item | watched_store.Removal,
    ) -> None:
        """Take a change of the key."""
        if change.key != self._key:
            return
        if isinstance(change, watched_store.Removal):
            self._decide(leadership.KeyGone())
            return
        holder = change.content.decode('utf-8', 'replace')
        self._decide(leadership.KeyShown(holder, change.revision))

    def on_store_lost(self) -> None:
        """Keep the leadership: the fence keeps two leaders apart."""

    def on_store_recovered(self) -> None:
        """Wait for what the store shows."""

    def on_fenced(self) -> None:
        """Lead no more after an engine refused the fence."""
        self._decide(leadership.FencedOff())

    async def run(self) -> None:
        """Acquire and renew until cancelled."""
        while True:
            # A vacancy that is noticed from here on ends the wait below.
            self._vacant = anyio.Event()
            wish = leadership.wish(self.state)
            if wish is leadership.Wish.RENEW:
                await self._renew()
            elif wish is leadership.Wish.ACQUIRE:
                await self._acquire()
            with anyio.move_on_after(const.LEADER_RENEWAL_INTERVAL_SECONDS):
                await self._vacant.wait()

    async def resign(self) -> None:
        """End the lease, so that another entry can lead at once."""
        lease_id = self.state.lease_id
        self._decide(leadership.LeaseLapsed())
        if lease_id:
            await self._store.revoke_lease(lease_id)

    async def _renew(self) -> None:
        """Renew the lease; notice where it has lapsed."""
        renewed = await self._store.keep_alive(self.state.lease_id)
        if renewed.is_ok() and not renewed.ok:
            self._decide(leadership.LeaseLapsed())

    async def _acquire(self) -> None:
        """Write the key where it does not exist."""
        spread = const.LEADER_JITTER_SECONDS
        await anyio.sleep(self._generator.uniform(0, spread))
        if leadership.wish(self.state) is not leadership.Wish.ACQUIRE:
            return
        granted = await self._store.grant_lease(const.LEADER_TTL_SECONDS)
        if granted.is_error():
            return
        self.state = self.state._replace(lease_id=granted.ok)
        written = await self._store.swap(
            self._key,
            key_value.ABSENT_REVISION,
            self.state.name.encode(),
            granted.ok,
        )
        if written.is_ok():
            shown = leadership.KeyShown(self.state.name, written.ok)
            self._decide(shown)

    def _decide(self, event: leadership.Event) -> None:
        """Take an event; log where the leadership changes."""
        before = self.state
        self.state = leadership.decide(event, before)
        if leadership.wish(self.state) is leadership.Wish.ACQUIRE:
            self._vacant.set()
        if self.state.fence != before.fence:
            logs.decision(
                'leadership:changed',
                key=self._key,
                event=type(event).__name__,
                fence=self.state.fence,
            )
