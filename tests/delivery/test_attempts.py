"""What follows each failed attempt, for each kind of request."""

import itertools

import testtools

from nutmegtrail.delivery import attempts
from nutmegtrail.delivery import const
from nutmegtrail.delivery import models
from nutmegtrail.delivery import responses
from nutmegtrail.retries import models as retry_models
from nutmegtrail.wire import models as wire_models

_Reason = retry_models.Reason
_KINDS = ((True, False), (False, True), (False, False))
_EVENTS = (
    models.NotSent(),
    models.Lost(),
    models.NoUpstream(),
    models.Expired(),
    *(models.Refused(reason) for reason in _Reason),
)
_MAY_HAVE_RUN = frozenset((_Reason.CRASHED, _Reason.INTERRUPTED))


def _start(kind):
    """Return a delivery after its first attempt was sent."""
    idempotent, keyed = kind
    delivery = models.Delivery(idempotent=idempotent, has_idempotency_key=keyed)
    return attempts.record_attempt(delivery, 'u1')


def _may_have_run(event):
    """Return whether the attempt may have run."""
    lost = isinstance(event, models.Lost | models.Expired)
    return lost or getattr(event, 'reason', None) in _MAY_HAVE_RUN


class AttemptsTest(testtools.TestCase):
    """Decisions after failed attempts."""

    def test_not_run_is_said_only_when_true(self):
        """After an attempt that may have run, not-run needs a proof."""
        for kind in _KINDS:
            for events in itertools.product(_EVENTS, repeat=3):
                delivery = _start(kind)
                doubt = False
                for event in events:
                    doubt = doubt or _may_have_run(event)
                    decision = attempts.decide(event, delivery)
                    delivery = attempts.record_attempt(decision.delivery, 'u2')
                    if not isinstance(decision.action, models.Ask):
                        break
                if isinstance(decision.action, models.GiveUp) and doubt:
                    untrue = {_Reason.NOT_RUN, _Reason.OVERLOADED}
                    self.assertNotIn(
                        decision.action.reason,
                        untrue,
                        f'{kind} {events}',
                    )

    def test_key_is_not_run_only_by_a_sidecar_s_word(self):
        """An entry that reached nobody knows nothing of a key."""
        proof = models.Refused(_Reason.NOT_RUN)
        for events in itertools.product(_EVENTS, repeat=3):
            delivery = _start((False, True))
            for event in events:
                decision = attempts.decide(event, delivery)
                delivery = attempts.record_attempt(decision.delivery, 'u2')
                if not isinstance(decision.action, models.Ask):
                    break
            if decision.action == models.GiveUp(_Reason.NOT_RUN):
                self.assertEqual(proof, event)

    def test_unkeyed_call_is_never_asked_of_another(self):
        """A call that may have run goes back to its own sidecar at most."""
        for events in itertools.product(_EVENTS, repeat=2):
            delivery = _start((False, False))
            doubt = False
            for event in events:
                doubt = doubt or _may_have_run(event)
                decision = attempts.decide(event, delivery)
                delivery = attempts.record_attempt(decision.delivery, 'u1')
                if not isinstance(decision.action, models.Ask):
                    break
                if doubt:
                    self.assertEqual('u1', decision.action.upstream)

    def test_attempts_end(self):
        """Whatever happens, a request gets its final answer."""
        for kind, event in itertools.product(_KINDS, _EVENTS):
            delivery = _start(kind)
            for _ in range(const.ATTEMPT_LIMIT + 1):
                decision = attempts.decide(event, delivery)
                if not isinstance(decision.action, models.Ask):
                    break
                delivery = attempts.record_attempt(decision.delivery, 'u1')
            self.assertNotIsInstance(decision.action, models.Ask)


class AnswersTest(testtools.TestCase):
    """Answers kept for pick-up."""

    def test_pick_up_at_every_offset(self):
        """A stream resumes without an event lost or doubled."""
        for split, offset in itertools.product(range(5), range(5)):
            store = responses.ResponseStore()
            recording = store.open('r', 0)
            sent = []
            recording.start(200, 'text/event-stream')
            for number in range(split):
                recording.append(bytes([number]))
            subscriber = responses.Subscriber(sent.append, 2)
            recording.subscribe(subscriber, offset)
            for later in range(split, 4):
                recording.append(bytes([later]))
            recording.finish(1.0)
            chunks = [
                message
                for message in sent
                if isinstance(message, wire_models.Chunk)
            ]
            payloads = [chunk.payload for chunk in chunks if not chunk.final]
            wanted = [bytes([number]) for number in range(min(offset, 4), 4)]
            if offset <= split:
                self.assertEqual(wanted, payloads)
            self.assertTrue(chunks[-1].final)
            self.assertEqual(4, chunks[-1].offset)
            self.assertEqual({2}, {chunk.attempt for chunk in chunks})

    def test_ended_recordings_age_out(self):
        """A kept answer is dropped after the retention period only."""
        store = responses.ResponseStore()
        store.open('r', 0).finish(0.0)
        store.open('running', 0)
        store.sweep(const.RETENTION_SECONDS - 1)
        self.assertIsNotNone(store.get('r'))
        store.sweep(const.RETENTION_SECONDS + 1)
        self.assertIsNone(store.get('r'))
        self.assertIsNotNone(store.get('running'))
