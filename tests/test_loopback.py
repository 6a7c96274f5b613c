"""Test processes that run at the same time do not share ports."""

import testtools

from tests import loopback


class LoopbackTest(testtools.TestCase):
    """Blocks of ports."""

    def test_blocks_do_not_overlap(self):
        """A block is not given out again while it is claimed."""
        claims = [loopback.claim_port_block(7) for _ in range(3)]
        for claim, _ in claims:
            self.addCleanup(claim.close)
        ports = [port for _, block in claims for port in block]
        self.assertEqual(len(ports), len(set(ports)))

    def test_addresses_come_from_the_claimed_block(self):
        """Addresses stay inside, however many are asked for."""
        for _ in range(500):
            self.assertIn(loopback.free_address().port, loopback._CLAIMED_PORTS)
