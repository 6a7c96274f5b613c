"""Contract of single decisions on a shard."""

import testtools

from nutmegtrail.idempotency import const
from nutmegtrail.idempotency import models
from nutmegtrail.idempotency import serialization
from nutmegtrail.idempotency import shard
from nutmegtrail.retries import models as retry_models

_ME = models.Owner('a', 'a1')
_VALID = models.Context(1000.0, lease_valid=True)
_CALL = models.KeyedCall('key', 'request', 1, 'digest', 2000.0)


def _drive(state, *events):
    """Return the state and the actions of the last of several events."""
    actions = ()
    for event in events:
        decision = shard.decide(event, state, _VALID)
        state = decision.shard
        actions = decision.actions
    return state, actions


def _owner():
    """Return a shard that this sidecar has taken over."""
    state, _ = _drive(
        models.Shard(_ME),
        models.CallArrived(_CALL._replace(record_id='other')),
        models.ShardRead(0, models.Log(), is_owner_live=False),
        models.AppendConfirmed(1),
        models.AppendDue(),
        models.AppendConfirmed(2),
        models.UpstreamNotSent('other'),
        models.AppendDue(),
        models.AppendConfirmed(3),
    )
    return state


def _reasons(actions):
    """Return the reasons of the refusals among actions."""
    return [
        action.reason for action in actions if isinstance(action, models.Refuse)
    ]


class ShardTest(testtools.TestCase):
    """Decisions that the matrix reaches rarely or never."""

    def test_outage_with_a_certain_lease_is_not_run(self):
        """The sole owner may say that a new key did not run."""
        _, actions = _drive(
            _owner(),
            models.CallArrived(_CALL),
            models.AppendDue(),
            models.AppendUnavailable(),
        )
        self.assertEqual([retry_models.Reason.NOT_RUN], _reasons(actions))

    def test_outage_after_a_lapse_proves_nothing(self):
        """A renewed lease does not make an unread shard certain."""
        _, actions = _drive(
            _owner(),
            models.LeaseLapsed(),
            models.CallArrived(_CALL),
            models.ReadFailed(),
        )
        unknown = retry_models.Reason.OUTCOME_UNKNOWN
        self.assertEqual([unknown], _reasons(actions))

    def test_tombstone_and_call_in_one_batch(self):
        """A call that waits beside its own tombstone is not claimed."""
        tombstone = models.TombstoneCall('key', 'request', 2)
        state, _ = _drive(
            models.Shard(_ME),
            models.CallArrived(_CALL),
            models.TombstoneRequested(tombstone),
            models.ShardRead(0, models.Log(), is_owner_live=False),
            models.AppendConfirmed(1),
            models.AppendDue(),
        )
        self.assertEqual((), state.in_flight.claims)
        self.assertEqual((tombstone,), state.in_flight.tombstones)

    def test_tombstone_of_a_claim_that_others_wait_for(self):
        """A request that joined a claim is not left without an answer."""
        state, actions = _drive(
            _owner(),
            models.CallArrived(_CALL),
            models.CallArrived(_CALL._replace(request_id='joined')),
            models.TombstoneRequested(
                models.TombstoneCall('key', 'request', 2)
            ),
        )
        unknown = retry_models.Reason.OUTCOME_UNKNOWN
        self.assertEqual([unknown], _reasons(actions))
        _, actions = _drive(
            state,
            models.AppendDue(),
            models.AppendConfirmed(4),
        )
        self.assertEqual((models.Run('key', 'request'),), actions)

    def test_tombstone_of_a_claim_that_waits(self):
        """The attempt that is buried gets its refusal."""
        state, actions = _drive(
            _owner(),
            models.CallArrived(_CALL),
            models.TombstoneRequested(
                models.TombstoneCall('key', 'request', 2)
            ),
        )
        waiter = models.Waiter('request', 1)
        self.assertIn(waiter, [action.waiter for action in actions])
        self.assertEqual({}, state.waiters_by_id)
        self.assertEqual((), state.claims)

    def test_stored_tombstone_outlives_its_owner(self):
        """An attempt that was frozen is refused by the next owner."""
        log = models.Log(
            tombstones_by_request_id=models.Log().tombstones_by_request_id.set(
                'request', 1.0
            ),
        )
        _, actions = _drive(
            models.Shard(_ME),
            models.CallArrived(_CALL),
            models.ShardRead(7, log, is_owner_live=False),
            models.AppendConfirmed(8),
        )
        self.assertEqual([retry_models.Reason.NOT_RUN], _reasons(actions))

    def test_other_body_under_the_same_key(self):
        """A key that is in use with another body is refused."""
        _, actions = _drive(
            _owner(),
            models.CallArrived(_CALL),
            models.CallArrived(
                _CALL._replace(request_id='second', body_digest='other'),
            ),
        )
        self.assertEqual([retry_models.Reason.KEY_REUSED], _reasons(actions))

    def test_full_log_refuses_new_claims(self):
        """A log at its size limit takes no claim and loses none."""
        state = _owner()
        long_id = 'x' * const.LOG_LIMIT_BYTES
        state, actions = _drive(
            state,
            models.CallArrived(_CALL._replace(record_id=long_id)),
            models.AppendDue(),
        )
        self.assertEqual([retry_models.Reason.NOT_RUN], _reasons(actions))
        self.assertEqual((), state.in_flight.claims)

    def test_expired_claim_is_abandoned(self):
        """A claim that is stored after its deadline is never run."""
        state, actions = _drive(
            _owner(),
            models.CallArrived(_CALL._replace(deadline_seconds=999.0)),
            models.AppendDue(),
            models.AppendConfirmed(4),
        )
        self.assertEqual([retry_models.Reason.NOT_RUN], _reasons(actions))
        self.assertEqual(models.Status.ABANDONED, state.updates[0].status)

    def test_retention(self):
        """A key is known for the whole retention period, not longer."""
        state, _ = _drive(
            _owner(),
            models.CallArrived(_CALL),
            models.AppendDue(),
            models.AppendConfirmed(4),
        )
        for age_seconds, known in (
            (const.RETENTION_SECONDS - 1, True),
            (const.RETENTION_SECONDS + 1, False),
        ):
            later = models.Context(1000.0 + age_seconds, lease_valid=True)
            other = _CALL._replace(record_id='new')
            decision = shard.decide(models.CallArrived(other), state, later)
            due = shard.decide(models.AppendDue(), decision.shard, later)
            stored = serialization.decode_log(due.actions[-1].content)
            self.assertEqual(known, 'key' in stored.records_by_id)

    def test_log_survives_storage(self):
        """A stored log reads back equal."""
        response = models.StoredResponse(200, 'text/plain', b'\x00\xff')
        record = models.Record(
            'key',
            'request',
            'digest',
            'a1',
            models.Status.COMPLETED,
            1.5,
            response,
        )
        log = models.Log(owner=_ME, batch_id='a1#1')
        log = log._replace(records_by_id=log.records_by_id.set('key', record))
        stored = serialization.encode_log(log)
        self.assertEqual(log, serialization.decode_log(stored))
