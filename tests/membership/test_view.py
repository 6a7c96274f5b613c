"""Leaving upstreams get no new work, whatever the lagging list says."""

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


def _names(held, now=0.0):
    """Return the upstreams that take work."""
    hosts = view.upstreams_for(held, 'order-desk', now)
    return {host.upstream for host in hosts}


class ViewTest(testtools.TestCase):
    """Membership as one entry sees it."""

    def test_draining_goes_before_the_list(self):
        """A draining upstream stays out though the list still has it."""
        held = view.apply_host_list(view.View(), [_host('u1'), _host('u2')])
        held = view.mark_draining(held, 'u1')
        held = view.apply_host_list(held, [_host('u1'), _host('u2')])
        self.assertEqual({'u2'}, _names(held))

    def test_replaced_upstream_takes_work(self):
        """A new process under the same name is no longer draining."""
        held = view.apply_host_list(view.View(), [_host('u1')])
        held = view.mark_draining(held, 'u1')
        held = view.apply_host_list(held, [_host('u1', port=2)])
        self.assertEqual({'u1'}, _names(held))

    def test_leaving_in_the_list(self):
        """A leaving upstream gets no work."""
        held = view.apply_host_list(view.View(), [_host('u1', leaving=True)])
        self.assertEqual(set(), _names(held))

    def test_suspicion_ends(self):
        """A refused connection keeps an upstream out for a while only."""
        held = view.apply_host_list(view.View(), [_host('u1')])
        held = view.mark_suspect(held, 'u1', 10.0)
        self.assertEqual(set(), _names(held, 10.0))
        later = 10.0 + const.SUSPECT_SECONDS
        self.assertEqual({'u1'}, _names(held, later))
