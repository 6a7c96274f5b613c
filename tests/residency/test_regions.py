"""Tests of the failure domains in which requests may be processed."""

import testtools

from nutmegtrail.residency import regions

_REGION_BY_DOMAIN = {'a1': 'north', 'a2': 'north', 'b1': 'south'}
_NORTH = frozenset(('north',))
_BOTH = frozenset(('north', 'south'))


class RegionsTest(testtools.TestCase):
    """Regions of a route and of an account."""

    def test_allowed_domains(self):
        """Both restrictions bind; a region that is not known has no domain."""
        cases = (
            ((None, None), None),
            ((_NORTH, None), {'a1', 'a2'}),
            ((None, _BOTH), {'a1', 'a2', 'b1'}),
            ((_BOTH, _NORTH), {'a1', 'a2'}),
            ((_NORTH, frozenset(('south',))), set()),
            ((frozenset(('east',)), None), set()),
        )
        for restrictions, domains in cases:
            self.assertEqual(
                domains,
                regions.allowed_domains(_REGION_BY_DOMAIN, *restrictions),
                restrictions,
            )

    def test_unknown_domain(self):
        """A domain without a known region takes unrestricted requests only."""
        allowed = regions.allowed_domains(_REGION_BY_DOMAIN, _BOTH)
        self.assertFalse(regions.is_allowed('c1', allowed))
        self.assertTrue(regions.is_allowed('c1', None))
        self.assertTrue(regions.is_allowed('b1', allowed))
