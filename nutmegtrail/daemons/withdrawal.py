"""Withdrawal of calls that have not left the queues of their sidecars."""

import time

import anyio

from nutmegtrail.daemons import sidecar_pool
from nutmegtrail.delivery import attempts
from nutmegtrail.delivery import models as delivery_models
from nutmegtrail.wire import models


async def withdraw(
    delivery: delivery_models.Delivery,
    pending: sidecar_pool.PendingCall,
    pool: sidecar_pool.SidecarPool,
    until_seconds: float,
) -> delivery_models.Delivery:
    """Return the delivery after its call was withdrawn, if it was queued.

    Only the replies of all sidecars that are asked prove that it never runs.
    """
    if not attempts.may_be_queued(delivery):
        return delivery
    pool.withdraw_call(pending)
    with anyio.move_on_after(until_seconds - time.monotonic()):
        if await _is_refused_by_all(pending):
            return delivery._replace(is_under_way=False)
    return delivery


async def _is_refused_by_all(pending: sidecar_pool.PendingCall) -> bool:
    """Return whether no sidecar that is asked has run the call."""
    while True:
        reply = await pending.get()
        if isinstance(reply, models.Head | models.Chunk):
            return False
        if not attempts.proves_not_run(sidecar_pool.to_event(reply)):
            return False
        if not pending.end_attempt(reply.attempt):
            return True
