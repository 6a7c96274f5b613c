"""What a sidecar may say of a call that an earlier attempt precedes."""

import testtools

from nutmegtrail.daemons import sidecar as sidecars
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


class _Draining:
    """A sidecar that takes no new calls."""

    def __init__(self, calls):
        """Keep the calls."""
        self.calls = calls
        self.metrics = metrics.Metrics()

    def refusal(self):
        """Return why no new call is taken."""
        return retry_models.Reason.DRAINING


class DrainingTest(testtools.TestCase):
    """Second attempts at a sidecar that is stopping."""

    def _reason(self, call, shards):
        """Return the reason of the refusal."""
        calls = sidecar_calls.Calls('u1', 1, None, metrics.Metrics(), None)
        calls.shards = shards
        posted = []
        sidecars._handle(call, _Draining(calls), posted.append)
        return posted[0].reason

    def test_repeats(self):
        """Not-run is said only where no attempt before may have run."""
        keyed = _CALL._replace(idempotency_key='k1')
        unknown = retry_models.Reason.OUTCOME_UNKNOWN.value
        draining = retry_models.Reason.DRAINING.value
        shards = object()
        for call, claims, expected in (
            (_CALL, None, unknown),
            (_CALL, shards, unknown),
            # Beside an engine no claims are kept, whatever the key.
            (keyed, None, unknown),
            (keyed, shards, draining),
            (_CALL._replace(attempt=1), None, draining),
            (_CALL._replace(idempotent=True), None, draining),
        ):
            self.assertEqual(expected, self._reason(call, claims))
