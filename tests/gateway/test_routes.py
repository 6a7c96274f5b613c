"""Tests of the lookup of route, client account and service."""

import collections

import testtools

from nutmegtrail.gateway import models
from nutmegtrail.gateway import routes
from tests.gateway import samples


class RoutesTest(testtools.TestCase):
    """Lookup in a configuration."""

    def test_longest_prefix(self):
        """The route with the longest matching prefix is found."""
        long_prefix = samples.route(prefix='/a/b/')
        configuration = samples.configuration(long_prefix, samples.route())
        self.assertEqual(
            long_prefix, routes.find_route(configuration, 'example', '/a/b/c')
        )
        self.assertEqual(
            '/a/', routes.find_route(configuration, 'example', '/a/c').prefix
        )

    def test_no_route(self):
        """An unknown host or path has no route."""
        configuration = samples.configuration(samples.route())
        self.assertIsNone(routes.find_route(configuration, 'other', '/a/b'))
        self.assertIsNone(routes.find_route(configuration, 'example', '/b'))

    def test_keys(self):
        """A route that needs a key accepts known keys only."""
        configuration = samples.configuration(samples.route())
        route = samples.route()
        self.assertEqual(
            'agency',
            routes.find_account(configuration, route, 'key-1').name,
        )
        self.assertIsNone(routes.find_account(configuration, route, 'key-2'))
        open_route = samples.route(needs_key=False)
        self.assertEqual(
            '', routes.find_account(configuration, open_route, '').name
        )

    # Guards against requests to a service whose weight is 0.
    def test_service_without_weight(self):
        """A service without a weight is not chosen, also if it is the last."""
        route = samples.route(
            targets=(models.Target('new', 1), models.Target('old', 0)),
        )
        self.assertTrue(route.has_service)
        for number in range(2_000):
            self.assertEqual('new', routes.choose_service(route, f'r-{number}'))
        closed = samples.route(targets=(models.Target('old', 0),))
        self.assertFalse(closed.has_service)

    def test_weighted_services(self):
        """A split route is weighted and deterministic by request ID."""
        split_route = samples.route(
            targets=(models.Target('old', 90), models.Target('new', 10)),
        )
        names = [f'request-{number}' for number in range(2_000)]
        services = [routes.choose_service(split_route, name) for name in names]
        counts = collections.Counter(services)
        self.assertTrue(150 <= counts['new'] <= 250, counts)
        self.assertEqual(
            services,
            [routes.choose_service(split_route, name) for name in names],
        )
