"""What a sidecar may say of a call that an earlier attempt precedes."""

import testtools

from nutmegtrail.daemons import sidecar
from nutmegtrail.daemons import sidecar_calls
from nutmegtrail.observability import metrics
from nutmegtrail.retries import models as retry_models
from nutmegtrail.wire import models

_CALL = models.Call(
    'r1',
    2,
    'agency',
    'drafts',
    'POST',
    '/a',
    'text/plain',
    b'',
    idempotency_key='',
    idempotent=False,
    priority=1,
    deadline_ms=1_000,
)


class _DrainingSidecar:
    """A sidecar that takes no new calls."""

    def __init__(self, executor):
        """Keep the calls."""
        self.executor = executor
        self.metrics = metrics.Metrics()

    def refusal_reason(self):
        """Return why no new call is taken."""
        return retry_models.Reason.DRAINING


class DrainingTest(testtools.TestCase):
    """Second attempts at a sidecar that is stopping."""

    def _reason(self, call, shards):
        """Return the reason of the refusal."""
        executor = sidecar_calls.CallExecutor(
            'u1', 1, None, metrics.Metrics(), None
        )
        executor.shards = shards
        replies = []
        sidecar._handle(call, _DrainingSidecar(executor), replies.append)
        return replies[0].reason

    def test_repeated_attempts(self):
        """Not-run is said only where no attempt before may have run."""
        keyed_call = _CALL._replace(idempotency_key='k1')
        unknown = retry_models.Reason.OUTCOME_UNKNOWN.value
        draining = retry_models.Reason.DRAINING.value
        shards = object()
        for call, claim_shards, expected in (
            (_CALL, None, unknown),
            (_CALL, shards, unknown),
            # Beside an engine no claims are kept, whatever the key.
            (keyed_call, None, unknown),
            (keyed_call, shards, draining),
            (_CALL._replace(attempt=1), None, draining),
            (_CALL._replace(idempotent=True), None, draining),
        ):
            self.assertEqual(expected, self._reason(call, claim_shards))
