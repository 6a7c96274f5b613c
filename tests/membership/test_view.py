"""Upstreams that leave get no new requests despite an outdated host list."""

import testtools

from nutmegtrail import models
from nutmegtrail.membership import const
from nutmegtrail.membership import view
from nutmegtrail.ports import host_list


def _host(name, port=1, leaving=False):
    """Return a listed sidecar."""
    address = models.Address('127.0.0.1', port)
    return host_list.Host(
        name,
        'kandla-a',
        'sidecar',
        address,
        name,
        'order-desk',
        leaving,
        address,
    )


def _names(current, now=0.0):
    """Return the names of the upstreams that accept requests."""
    hosts = view.upstreams_for(current, 'order-desk', now)
    return {host.upstream for host in hosts}


class ViewTest(testtools.TestCase):
    """Membership as seen by one entry."""

    def test_draining_takes_precedence_over_the_list(self):
        """A draining upstream stays excluded while the list contains it."""
        current = view.apply_host_list(view.View(), [_host('u1'), _host('u2')])
        current = view.mark_draining(current, 'u1')
        current = view.apply_host_list(current, [_host('u1'), _host('u2')])
        self.assertEqual({'u2'}, _names(current))

    def test_replaced_upstream_accepts_requests(self):
        """A new process under the same name is not draining."""
        current = view.apply_host_list(view.View(), [_host('u1')])
        current = view.mark_draining(current, 'u1')
        current = view.apply_host_list(current, [_host('u1', port=2)])
        self.assertEqual({'u1'}, _names(current))

    def test_leaving_in_the_list(self):
        """An upstream that is leaving gets no requests."""
        current = view.apply_host_list(view.View(), [_host('u1', leaving=True)])
        self.assertEqual(set(), _names(current))

    def test_suspect_timeout_ends(self):
        """A failed connection excludes an upstream until the timeout ends."""
        current = view.apply_host_list(view.View(), [_host('u1')])
        current = view.mark_suspect(current, 'u1', 10.0)
        self.assertEqual(set(), _names(current, 10.0))
        later = 10.0 + const.SUSPECT_TIMEOUT_SECONDS
        self.assertEqual({'u1'}, _names(current, later))
