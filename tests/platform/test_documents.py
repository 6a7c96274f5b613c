"""Documents of the platform become the product's own types."""

import json

import testtools

from nutmegtrail.gateway import errors
from nutmegtrail.gateway import models
from nutmegtrail.platform import documents
from tests.platform import samples


class ConfigurationTest(testtools.TestCase):
    """The operators' configuration."""

    def test_whole(self):
        """Routes, services, accounts and limits are read."""
        read = documents.configuration(json.dumps(samples.CONFIG).encode())
        stream, lookup, booking = read.routes_by_host['ficu95.example']
        self.assertEqual(models.RouteKind.IDEMPOTENT, lookup.kind)
        self.assertEqual('/long/prefix/', stream.prefix)
        self.assertIs(models.RouteKind.STREAM, stream.kind)
        self.assertTrue(stream.is_retryable)
        self.assertEqual(0.12, stream.pause_objective_seconds)
        self.assertEqual(
            (models.Target('drafts', 90), models.Target('desk', 10)),
            stream.targets,
        )
        self.assertFalse(booking.is_retryable)
        self.assertEqual(
            models.GroupShape(6, 64, 11, 4),
            read.services_by_name['drafts'].shape,
        )
        self.assertIsNone(read.services_by_name['desk'].shape)
        self.assertEqual(
            models.Account('agency', 1),
            read.account_by_key['key-1'],
        )
        self.assertEqual(15.0, read.limits.idle_timeout_seconds)

    def test_unusable(self):
        """What is no configuration is refused with a reason."""
        for content in (b'', b'[]', b'{}', b'{"version":1,"routes":[{}]}'):
            self.assertRaises(
                errors.MalformedDocument,
                documents.configuration,
                content,
            )


class UpstreamTest(testtools.TestCase):
    """Registrations, also by other writers."""

    def test_rank(self):
        """A rank's place in its group is read."""
        read = documents.upstream('servers/i-1', samples.beat())
        self.assertEqual('i-1', read.upstream_id)
        self.assertEqual(6, read.slots)
        self.assertEqual(
            models.Membership('g0-0', 4, 8, 1, is_open=True),
            read.membership,
        )

    def test_leaving(self):
        """A draining upstream is leaving."""
        content = samples.beat(state='draining', group=None)
        read = documents.upstream('servers/i-1', content)
        self.assertTrue(read.leaving)
        self.assertIsNone(read.membership)

    def test_other_writers(self):
        """Missing fields, other types and other bytes name no upstream."""
        cases = [
            b'\xff\x00',
            b'"text"',
            samples.beat(state='resting'),
            samples.beat(address=7),
            samples.beat(address='nowhere'),
            samples.beat(service=None),
            samples.beat(zone=['a']),
            samples.beat(group={'name': 'g'}),
            samples.beat(born='soon'),
        ]
        for content in cases:
            self.assertRaises(
                errors.MalformedDocument,
                documents.upstream,
                'servers/i-1',
                content,
            )
