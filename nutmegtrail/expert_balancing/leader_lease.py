"""Lease on a key in the store that makes a gateway instance the leader."""

import random
import typing

import anyio

from nutmegtrail.expert_balancing import const
from nutmegtrail.expert_balancing import handover
from nutmegtrail.expert_balancing import leadership
from nutmegtrail.observability import logs
from nutmegtrail.ports import key_value
from nutmegtrail.ports import watched_store


def _no_larger_hosts() -> int:
    """Return that all hosts count as equal."""
    return 0


class LeaderLease:
    """Takes part in one leader election for this instance."""

    def __init__(
        self,
        key: str,
        name: str,
        store: key_value.LeaseStore,
        generator: random.Random,
        larger_hosts: typing.Callable[[], int] = _no_larger_hosts,
    ) -> None:
        """Initialize the lease without acquiring it.

        `larger_hosts` returns the number of reachable instances on hosts that
        bear more control work than this one.
        """
        self.state = leadership.Leadership(name)
        # Set when this instance is about to stop.
        self.is_retiring = False
        self._key = key
        self._store = store
        self._generator = generator
        self._larger_hosts = larger_hosts
        self._tenure = handover.Tenure()
        self._renewed_at_seconds = float('-inf')
        self._became_vacant = anyio.Event()

    @property
    def fence(self) -> int | None:
        """Return the fencing token while this instance leads, else None."""
        return self.state.fence

    def on_snapshot(self, items: tuple[watched_store.Item, ...]) -> None:
        """Handle a snapshot; if it lacks the key, there is no leader."""
        matching = [item for item in items if item.key == self._key]
        if matching:
            self.on_change(matching[0])
        else:
            self._decide(leadership.KeyGone())

    def on_change(
        self,
        change: watched_store.Item | watched_store.Removal,
    ) -> None:
        """Handle a change; changes of other keys are ignored."""
        if change.key != self._key:
            return
        if isinstance(change, watched_store.Removal):
            self._decide(leadership.KeyGone())
            return
        holder = change.content.decode('utf-8', 'replace')
        self._decide(leadership.KeyShown(holder, change.revision))

    def on_store_lost(self) -> None:
        """Keep the leadership.

        If another instance becomes leader meanwhile, the fence keeps the
        orders of this one from being accepted.
        """

    def on_store_recovered(self, outage_seconds: float) -> None:
        """Do nothing; the current key arrives with the next read."""

    def on_store_restored(self) -> None:
        """Give up the lease, which the store may not know any more."""
        self._decide(leadership.LeaseLapsed())

    def on_fenced(self) -> None:
        """Give up the leadership after an engine rejected the fence."""
        self._decide(leadership.FencedOff())

    async def run(self) -> None:
        """Acquire the lease when it is free and renew it until cancelled."""
        while True:
            # A vacancy that is detected from here on ends the wait below.
            self._became_vacant = anyio.Event()
            action = leadership.next_action(self.state)
            if action is leadership.NextAction.RENEW:
                await self._renew()
            elif not self.is_retiring and self._may_acquire():
                await self._acquire()
            with anyio.move_on_after(const.LEADER_RENEWAL_INTERVAL_SECONDS):
                await self._became_vacant.wait()

    def retire(self) -> None:
        """Acquire the lease no more; the present leadership goes on."""
        self.is_retiring = True

    async def resign(self) -> None:
        """Revoke the lease so that another instance can lead immediately."""
        lease_id = self.state.lease_id
        self._decide(leadership.LeaseLapsed())
        if lease_id:
            await self._store.revoke_lease(lease_id)

    async def hand_over_if_due(self) -> bool:
        """Resign if larger hosts can lead; return whether this one has.

        Must not be called while this instance switches a group. The leadership
        stays here while the store, which the next leader needs, is not known
        to respond.
        """
        if self.fence is None:
            return False
        now = anyio.current_time()
        larger_hosts = self._larger_hosts()
        self._tenure = handover.observe(self._tenure, larger_hosts, now)
        is_renewed = (
            now - self._renewed_at_seconds
            <= 2 * const.LEADER_RENEWAL_INTERVAL_SECONDS
        )
        if not is_renewed or not handover.is_due(self._tenure, now):
            return False
        logs.decision(
            'leadership:handed-over',
            key=self._key,
            fence=self.fence,
            larger_hosts=larger_hosts,
        )
        await self.resign()
        return True

    async def _renew(self) -> None:
        """Renew the lease and detect whether it has expired."""
        renewed = await self._store.keep_alive(self.state.lease_id)
        if renewed.is_ok():
            self._renewed_at_seconds = anyio.current_time()
        if renewed.is_ok() and not renewed.ok:
            self._decide(leadership.LeaseLapsed())

    async def _acquire(self) -> None:
        """Write the key if it does not exist, or exists without a lease.

        Instances start at random delays, which makes most of them see the
        winner's key before they call the store. Those on larger hosts start
        first.
        """
        max_delay_seconds = const.LEADER_JITTER_SECONDS
        await anyio.sleep(
            handover.acquisition_delay(self._larger_hosts())
            + self._generator.uniform(0, max_delay_seconds)
        )
        if self.is_retiring or not self._may_acquire():
            return
        granted = await self._store.grant_lease(const.LEADER_TTL_SECONDS)
        if granted.is_error():
            return
        self.state = self.state._replace(lease_id=granted.ok)
        written = await self._store.swap(
            self._key,
            self.state.own_revision,
            self.state.name.encode(),
            granted.ok,
        )
        if written.is_ok():
            shown = leadership.KeyShown(self.state.name, written.ok)
            self._decide(shown)

    def _may_acquire(self) -> bool:
        """Return whether the lease is free."""
        action = leadership.next_action(self.state)
        return action is leadership.NextAction.ACQUIRE

    def _decide(self, event: leadership.Event) -> None:
        """Apply an event and log a change of the fence."""
        before = self.state
        self.state = leadership.decide(event, before)
        if self._may_acquire():
            self._became_vacant.set()
        if self.state.fence != before.fence:
            self._tenure = handover.Tenure()
            logs.decision(
                'leadership:changed',
                key=self._key,
                event=type(event).__name__,
                fence=self.state.fence,
                larger_hosts=self._larger_hosts(),
            )
