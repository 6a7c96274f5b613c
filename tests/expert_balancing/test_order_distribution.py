"""Orders by the link of the instance that sends them."""

import collections

import testtools

from nutmegtrail import models as shared_models
from nutmegtrail.expert_balancing import order_distribution
from nutmegtrail.expert_balancing import pacer
from nutmegtrail.expert_map import switch
from nutmegtrail.gateway import models
from tests.gateway import samples

_SLOW_LINK_BYTES_PER_SECOND = 1_000
_ORDER_BYTES = 1_000


def _peer(number, failure_domain):
    """Return an instance."""
    address = shared_models.Address(f'10.{number}.0.40', 7340)
    return models.Peer(address, failure_domain)


class OrderDistributorTest(testtools.TestCase):
    """Distribution over links of different bandwidth."""

    def _distribute(self, peers, weights):
        """Return the number of orders by instance, for 24 ranks of domain a."""
        ranks = {
            f'm{rank}': samples.member(f'm{rank}', rank, size=24)._replace(
                failure_domain='a'
            )
            for rank in range(24)
        }
        weight_by_address = {
            peer.address: weight
            for peer, weight in zip(peers, weights, strict=True)
        }
        distributor = order_distribution.OrderDistributor(
            None,
            peers[0],
            lambda: peers[1:],
            pacer.Pacer(_SLOW_LINK_BYTES_PER_SECOND),
            weight_by_address.__getitem__,
        )
        distribution = distributor.distribute(
            tuple(switch.OutgoingOrder(name, None) for name in ranks),
            ranks,
            _ORDER_BYTES,
        )
        counts = collections.Counter(
            {
                address: len(orders)
                for address, orders in distribution.relayed_by_address.items()
            }
        )
        counts[peers[0].address] = len(distribution.own)
        return [counts[peer.address] for peer in peers]

    def test_one_large_among_small(self):
        """Pattern: one link of 200 Mbit/s among links of 28.

        With equal numbers, a small link carried six orders for as long as
        the large one would take for 43.
        """
        peers = tuple(_peer(number, 'a') for number in range(4))
        orders = self._distribute(peers, (200, 28, 28, 28))
        self.assertEqual(24, sum(orders))
        slowest = max(
            count / weight
            for count, weight in zip(orders, (200, 28, 28, 28), strict=True)
        )
        self.assertTrue(slowest <= 3 / 28, orders)

    def test_equal_links(self):
        """Equal links carry equal numbers."""
        peers = tuple(_peer(number, 'a') for number in range(4))
        self.assertEqual([6, 6, 6, 6], self._distribute(peers, (50,) * 4))

    def test_other_failure_domain(self):
        """A large link elsewhere does not take the orders of a domain."""
        peers = (_peer(0, 'b'), _peer(1, 'a'), _peer(2, 'a'))
        self.assertEqual([0, 12, 12], self._distribute(peers, (200, 28, 28)))
