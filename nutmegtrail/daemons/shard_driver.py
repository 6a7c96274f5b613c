"""Performs the actions decided for the claim shards of one service."""

import collections.abc
import functools
import time
import typing

import anyio
import anyio.abc

from nutmegtrail.daemons import owner_lease
from nutmegtrail.idempotency import const
from nutmegtrail.idempotency import keys
from nutmegtrail.idempotency import models
from nutmegtrail.idempotency import serialization
from nutmegtrail.idempotency import shard as shard_decisions
from nutmegtrail.limits import bucket
from nutmegtrail.ports import key_value


class ShardCallbacks(typing.NamedTuple):
    """Callbacks for the calls that a shard runs, responds to or refuses."""

    run: collections.abc.Callable[[models.Run], None]
    respond: collections.abc.Callable[[models.Respond], None]
    refuse: collections.abc.Callable[[models.Refuse], None]


class ShardDriver:
    """Holds the state of each shard and performs its actions."""

    def __init__(
        self,
        target: str,
        owner: models.Owner,
        store: key_value.KeyValueStore,
        lease: owner_lease.OwnerLease,
        callbacks: ShardCallbacks,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Initialize the driver without owned shards."""
        self._target = target
        self._owner = owner
        self._store = store
        self._lease = lease
        self._callbacks = callbacks
        self._tasks = tasks
        self._shards_by_number: dict[int, models.Shard] = {}
        self._write_budget = bucket.Bucket(
            const.WRITES_PER_SECOND,
            const.WRITE_BURST,
            const.WRITE_BURST,
            time.monotonic(),
        )

    @property
    def is_released(self) -> bool:
        """Return whether no shard is owned and no write is in flight."""
        return all(
            shard.role is models.Role.UNOWNED and shard.in_flight is None
            for shard in self._shards_by_number.values()
        )

    def submit(self, record_id: str, event: models.Event) -> None:
        """Apply an event to the shard of a record."""
        self._apply(keys.shard_of(record_id), event)

    def handle_lease_lapse(self) -> None:
        """Tell every shard that its ownership is no longer certain."""
        for number in tuple(self._shards_by_number):
            self._apply(number, models.LeaseLapsed())

    def release(self) -> None:
        """Release all shards, so that other sidecars can acquire them."""
        for number in tuple(self._shards_by_number):
            self._apply(number, models.ReleaseRequested())

    def resume(self) -> None:
        """Allow the shards to be acquired again after a release."""
        self._shards_by_number = {
            number: shard._replace(releasing=False)
            for number, shard in self._shards_by_number.items()
        }

    def _apply(self, number: int, event: models.Event) -> None:
        """Decide on an event and perform the resulting actions."""
        shard = self._shards_by_number.get(number, models.Shard(self._owner))
        context = models.Context(time.time(), self._lease.is_valid)
        decision = shard_decisions.decide(event, shard, context)
        self._shards_by_number[number] = decision.shard
        for action in decision.actions:
            _perform(action, self, number)

    async def _read(self, number: int) -> None:
        """Read a shard's log and whether its owner's lease is live."""
        found = await self._store.get(keys.shard_key(self._target, number))
        if found.is_error():
            self._apply(number, models.ReadFailed())
            return
        entry = found.ok
        if entry is None:
            absent_read = models.ShardRead(
                key_value.ABSENT_REVISION,
                models.Log(),
                is_owner_live=False,
            )
            self._apply(number, absent_read)
            return
        log = serialization.decode_log(entry.content)
        is_live = await self._is_owner_live(log.owner)
        if is_live is None:
            self._apply(number, models.ReadFailed())
            return
        self._apply(number, models.ShardRead(entry.revision, log, is_live))

    async def _is_owner_live(self, owner: models.Owner) -> bool | None:
        """Return whether an owner's lease is live, or None if unknown."""
        if not owner.upstream:
            return False
        found = await self._store.get(keys.owner_key(owner.upstream))
        if found.is_error():
            return None
        entry = found.ok
        return entry is not None and entry.content == owner.incarnation.encode()

    async def _append(self, number: int, action: models.Append) -> None:
        """Store a log by compare-and-swap and apply the outcome."""
        stored = await self._store.swap(
            keys.shard_key(self._target, number),
            action.expected_revision,
            action.content,
        )
        if stored.is_ok():
            self._apply(number, models.AppendConfirmed(stored.ok))
            return
        self._apply(number, _append_failure(stored.error))

    async def _schedule(self, number: int, delay_seconds: float) -> None:
        """Wait for the delay and the write budget, then report the append due."""
        await anyio.sleep(delay_seconds)
        while True:
            refilled = bucket.refill(self._write_budget, time.monotonic())
            remaining = bucket.take(refilled, 1)
            if remaining is not None:
                self._write_budget = remaining
                break
            await anyio.sleep(bucket.seconds_until(refilled, 1))
        self._apply(number, models.AppendDue())


def _append_failure(error: key_value.SwapError) -> models.Event:
    """Return the event for a failed append."""
    if isinstance(error, key_value.CompareFailed):
        return models.AppendConflict()
    if isinstance(error, key_value.Unavailable):
        return models.AppendUnavailable()
    return models.AppendUnknown()


@functools.singledispatch
def _perform(action: models.Action, driver: ShardDriver, number: int) -> None:
    """Perform an action of a shard."""
    raise TypeError(f'no handler for shard action {action!r}')


@_perform.register
def _perform_read(
    action: models.ReadShard,
    driver: ShardDriver,
    number: int,
) -> None:
    """Start reading the stored log."""
    driver._tasks.start_soon(driver._read, number)


@_perform.register
def _perform_append(
    action: models.Append,
    driver: ShardDriver,
    number: int,
) -> None:
    """Start storing a log."""
    driver._tasks.start_soon(driver._append, number, action)


@_perform.register
def _perform_schedule(
    action: models.ScheduleAppend,
    driver: ShardDriver,
    number: int,
) -> None:
    """Start waiting for the delay and the write budget."""
    driver._tasks.start_soon(driver._schedule, number, action.delay_seconds)


@_perform.register
def _perform_run(
    action: models.Run,
    driver: ShardDriver,
    number: int,
) -> None:
    """Run a claimed call at the upstream."""
    driver._callbacks.run(action)


@_perform.register
def _perform_respond(
    action: models.Respond,
    driver: ShardDriver,
    number: int,
) -> None:
    """Send a response to the entry that waits for it."""
    driver._callbacks.respond(action)


@_perform.register
def _perform_refuse(
    action: models.Refuse,
    driver: ShardDriver,
    number: int,
) -> None:
    """Send a refusal to the entry that waits for it."""
    driver._callbacks.refuse(action)
