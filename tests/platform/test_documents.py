"""Tests of the decoders for platform documents."""

import copy
import json

import testtools

from nutmegtrail.gateway import errors
from nutmegtrail.gateway import models
from nutmegtrail.platform import documents
from tests.platform import samples


class ConfigurationTest(testtools.TestCase):
    """Decoding of the configuration."""

    def test_valid_configuration(self):
        """Routes, services, accounts and limits are decoded."""
        decoded = documents.configuration(json.dumps(samples.CONFIG).encode())
        stream, lookup, booking = decoded.routes_by_host['ficu95.example']
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
            decoded.services_by_name['drafts'].shape,
        )
        self.assertIsNone(decoded.services_by_name['desk'].shape)
        self.assertEqual(
            models.Account('agency', 1),
            decoded.account_by_key['key-1'],
        )
        self.assertEqual(15.0, decoded.limits.idle_timeout_seconds)

    def test_allowed_regions(self):
        """Routes and accounts may be bound to regions; an empty list binds not."""
        config = copy.deepcopy(samples.CONFIG)
        config['routes'][0]['allowed_regions'] = ['alto']
        config['routes'][1]['allowed_regions'] = []
        config['tenants'][0]['allowed_regions'] = ['alto', 'bajo']
        decoded = documents.configuration(json.dumps(config).encode())
        regions_by_route = {
            route.name: route.allowed_regions
            for routes in decoded.routes_by_host.values()
            for route in routes
        }
        first, second, *_ = (route['name'] for route in config['routes'])
        self.assertEqual(frozenset(('alto',)), regions_by_route[first])
        self.assertIsNone(regions_by_route[second])
        self.assertEqual(
            frozenset(('alto', 'bajo')),
            decoded.account_by_key['key-1'].allowed_regions,
        )
        config['routes'][0]['allowed_regions'] = 'alto'
        self.assertRaises(
            errors.MalformedDocument,
            documents.configuration,
            json.dumps(config).encode(),
        )

    # Guards against configurations whose last account is taken out: requests
    # with any key and without one were served.
    def test_no_accounts(self):
        """A list of accounts that is empty makes no key valid."""
        config = copy.deepcopy(samples.CONFIG)
        for accounts in ([], None, [{'name': 'agency', 'api_keys': []}]):
            config['tenants'] = accounts
            decoded = documents.configuration(json.dumps(config).encode())
            self.assertTrue(decoded.checks_keys, accounts)
            self.assertEqual({}, decoded.account_by_key)
        del config['tenants']
        decoded = documents.configuration(json.dumps(config).encode())
        self.assertFalse(decoded.checks_keys)

    def test_empty_key(self):
        """An empty key is none, so that requests without a key are denied."""
        config = copy.deepcopy(samples.CONFIG)
        config['tenants'] = [{'name': 'agency', 'api_keys': ['', 'key-1']}]
        decoded = documents.configuration(json.dumps(config).encode())
        self.assertEqual(['key-1'], list(decoded.account_by_key))

    def test_keys_that_are_no_list(self):
        """The characters of a text are no keys."""
        config = copy.deepcopy(samples.CONFIG)
        config['tenants'] = [{'name': 'agency', 'api_keys': 'key-1'}]
        self.assertRaises(
            errors.MalformedDocument,
            documents.configuration,
            json.dumps(config).encode(),
        )

    def test_only_true_opens_a_route(self):
        """A route needs a key unless it is said to need none."""
        config = copy.deepcopy(samples.CONFIG)
        for no_auth, needs_key in ((True, False), (None, True), ('no', True)):
            config['routes'][0]['no_auth'] = no_auth
            decoded = documents.configuration(json.dumps(config).encode())
            needs_key_by_route = {
                route.name: route.needs_key
                for route in decoded.routes_by_host['ficu95.example']
            }
            name = config['routes'][0]['name']
            self.assertEqual(needs_key, needs_key_by_route[name], no_auth)

    def test_cold_services(self):
        """A service may bear fewer requests while an upstream is cold."""
        config = copy.deepcopy(samples.CONFIG)
        config['services'][0].update(cold_s=3.0, cold_per_s=28.0)
        decoded = documents.configuration(json.dumps(config).encode())
        cold, other, *_ = (
            decoded.services_by_name[service['name']]
            for service in config['services']
        )
        self.assertEqual(
            (3, 28), (cold.cold_seconds, cold.cold_requests_per_second)
        )
        self.assertEqual(0, other.cold_requests_per_second)

    def test_step_times(self):
        """The times of a pass are known only if all of them are told."""
        told = {
            'stride': 5,
            'step_ms': 4.0,
            'per_seq_ms': 2.0,
            'read_per_s': 61_400,
        }
        usual = {'usual': {'prompt': 800, 'answer': 95}}
        for fields, expected in (
            (told, models.StepTimes(0.02, 0.002, 61_400)),
            (told | usual, models.StepTimes(0.02, 0.002, 61_400, 800, 95)),
            (told | {'stride': 0}, None),
            ({'step_ms': 4.0}, None),
        ):
            config = copy.deepcopy(samples.CONFIG)
            config['services'][0]['engine'].update(fields)
            decoded = documents.configuration(json.dumps(config).encode())
            step_times = decoded.services_by_name['drafts'].step_times
            self.assertEqual(expected, step_times)

    def test_preparation_of_a_map(self):
        """The time to copy an expert follows from its size and the link."""
        cases = (
            ({'expert_mb': 210.0, 'link_mbps': 84_000.0}, 0.02),
            ({'expert_mb': 210.0}, 0),
            ({'link_mbps': 84_000.0}, 0),
        )
        for fields, copy_seconds in cases:
            config = copy.deepcopy(samples.CONFIG)
            engine = next(
                service['engine']
                for service in config['services']
                if 'engine' in service
            )
            engine.pop('link_mbps', None)
            engine.update(fields, report_lag_ms=200.0)
            decoded = documents.configuration(json.dumps(config).encode())
            shape = decoded.services_by_name['drafts'].shape
            self.assertAlmostEqual(copy_seconds, shape.copy_seconds)
            self.assertAlmostEqual(0.2, shape.report_lag_seconds)

    def test_invalid_configuration(self):
        """An invalid configuration raises MalformedDocument."""
        for content in (b'', b'[]', b'{}', b'{"version":1,"routes":[{}]}'):
            self.assertRaises(
                errors.MalformedDocument,
                documents.configuration,
                content,
            )


class UpstreamTest(testtools.TestCase):
    """Decoding of upstream registrations."""

    def test_registration_of_rank(self):
        """The rank group membership is decoded."""
        decoded = documents.upstream('servers/i-1', samples.registration())
        self.assertEqual('i-1', decoded.upstream_id)
        self.assertEqual(6, decoded.slots)
        self.assertEqual(
            models.Membership('g0-0', 4, 8, 1, is_open=True),
            decoded.membership,
        )

    def test_registration_of_draining_upstream(self):
        """An upstream in the state `draining` is marked as leaving."""
        content = samples.registration(state='draining', group=None)
        decoded = documents.upstream('servers/i-1', content)
        self.assertTrue(decoded.leaving)
        self.assertIsNone(decoded.membership)

    def test_cold_time_of_registration(self):
        """What is no duration does not make the registration unreadable."""
        cases = (
            (2_500, 2.5),
            (0, 0),
            (None, None),
            (-1, None),
            (True, None),
            ('3000', None),
            (float('inf'), None),
        )
        for written, cold_seconds in cases:
            content = samples.registration(cold_left_ms=written)
            decoded = documents.upstream('servers/i-1', content)
            self.assertEqual(cold_seconds, decoded.cold_seconds, written)

    def test_invalid_registrations(self):
        """Missing fields and wrong types raise MalformedDocument."""
        cases = [
            b'\xff\x00',
            b'"text"',
            samples.registration(state='resting'),
            samples.registration(address=7),
            samples.registration(address='nowhere'),
            samples.registration(service=None),
            samples.registration(zone=['a']),
            samples.registration(group={'name': 'g'}),
            samples.registration(born='soon'),
        ]
        for content in cases:
            self.assertRaises(
                errors.MalformedDocument,
                documents.upstream,
                'servers/i-1',
                content,
            )
