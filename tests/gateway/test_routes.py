"""Requests find their route, account and service."""

import collections

import testtools

from nutmegtrail.gateway import models
from nutmegtrail.gateway import routes
from tests.gateway import samples


class RoutesTest(testtools.TestCase):
    """Lookup under one configuration."""

    def test_longest_prefix(self):
        """Routes are tried in the order of falling prefix length."""
        deep = samples.route(prefix='/a/b/')
        held = samples.configuration(deep, samples.route())
        self.assertEqual(deep, routes.match(held, 'example', '/a/b/c'))
        self.assertEqual('/a/', routes.match(held, 'example', '/a/c').prefix)

    def test_no_route(self):
        """An unknown host or path has no route."""
        held = samples.configuration(samples.route())
        self.assertIsNone(routes.match(held, 'other', '/a/b'))
        self.assertIsNone(routes.match(held, 'example', '/b'))

    def test_keys(self):
        """A route that needs a key serves known keys only."""
        held = samples.configuration(samples.route())
        route = samples.route()
        self.assertEqual(
            'agency',
            routes.account_of(held, route, 'key-1').name,
        )
        self.assertIsNone(routes.account_of(held, route, 'key-2'))
        open_route = samples.route(needs_key=False)
        self.assertEqual('', routes.account_of(held, open_route, '').name)

    def test_shares(self):
        """A split route sends each service its share, the same every time."""
        split = samples.route(
            targets=(models.Target('old', 90), models.Target('new', 10)),
        )
        names = [f'request-{number}' for number in range(2_000)]
        drawn = [routes.service_of(split, name) for name in names]
        counts = collections.Counter(drawn)
        self.assertTrue(150 <= counts['new'] <= 250, counts)
        self.assertEqual(
            drawn,
            [routes.service_of(split, name) for name in names],
        )
