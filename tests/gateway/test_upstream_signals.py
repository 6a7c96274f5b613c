"""Tests of what upstreams say of themselves in their responses."""

import anyio
import eliot
import testtools

from nutmegtrail.gateway import dispatcher
from nutmegtrail.gateway import health
from nutmegtrail.gateway import models
from nutmegtrail.gateway import signal_recorder
from nutmegtrail.warmup import shares
from nutmegtrail.warmup import sightings
from tests.gateway import samples


class UpstreamSignalsTest(testtools.TestCase):
    """Signals that one dispatcher records."""

    def _record(self, upstream, **signals):
        """Record a response; return the log lines and the health."""
        log_lines = []
        eliot.add_destinations(log_lines.append)
        self.addCleanup(eliot.remove_destination, log_lines.append)
        # The first destination gets the lines that were written before.
        log_lines.clear()
        dispatching = dispatcher.Dispatcher('kandla-a')
        received = models.ReceivedSignals(
            models.UpstreamSignals(**signals), 0, 'r1'
        )

        async def _main():
            signal_recorder.SignalRecorder(dispatching).record(
                upstream, received
            )

        anyio.run(_main)
        return log_lines, dispatching.upstream_health

    def test_hold_off_of_a_rank(self):
        """A hold-off is logged once and binds the rank, not its group."""
        rank = samples.member('m1', 0)
        log_lines, upstream_health = self._record(rank, hold_off_seconds=2.5)
        logged = [
            (line['message_type'], line['upstream'], line['seconds'])
            for line in log_lines
            if line['request_id'] == 'r1'
        ]
        self.assertEqual([('upstream:holds-off', 'm1', 2.5)], logged)
        self.assertEqual(
            [rank.incarnation], list(upstream_health.held_until_by_incarnation)
        )
        self.assertFalse(health.is_ejected(upstream_health, 'g0', 0))

    def test_cold_upstream_told_by_another_entry(self):
        """An entry that does not read the store learns of a restart."""
        rules = {'drafts': shares.Rule(3, 28)}

        async def _main():
            reader, other = (dispatcher.Dispatcher('kandla-a') for _ in '12')
            for dispatching in (reader, other):
                dispatching.limiter.cold.set_rules(rules)
                dispatching.limiter.cold.record(
                    sightings.Registered('u1', 'drafts', 1, 5, 0), 'test'
                )
            reader.limiter.cold.record(
                sightings.Registered('u1', 'drafts', 2, 9, 3), 'test'
            )
            message = signal_recorder.SignalRecorder(reader).message('entry-1')
            recorder = signal_recorder.SignalRecorder(other)
            recorder.record_message(message, '10.0.0.1:7340')
            told = other.limiter.cold.by_id['u1']
            await anyio.sleep(0.05)
            recorder.record_message(message, '10.0.0.1:7340')
            self.assertEqual(told, other.limiter.cold.by_id['u1'])
            self.assertEqual(2, told.started_at_ms)
            # It does not begin again when the store is read at last.
            other.limiter.cold.record(
                sightings.Registered('u1', 'drafts', 2, 9, 3), 'test'
            )
            self.assertEqual(told, other.limiter.cold.by_id['u1'])

        anyio.run(_main)

    def test_response_without_signals(self):
        """Other responses change and log nothing."""
        log_lines, upstream_health = self._record(samples.upstream('u1'))
        self.assertEqual([], log_lines)
        self.assertEqual(health.Health(), upstream_health)
