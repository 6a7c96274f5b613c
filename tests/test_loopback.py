"""Test processes that run at the same time must not share ports."""

import testtools

from tests import loopback


class LoopbackTest(testtools.TestCase):
    """Claims of port blocks."""

    def test_blocks_do_not_overlap(self):
        """A claimed block is not claimed a second time."""
        claims = [loopback.claim_port_block(7) for _ in range(3)]
        for claim, _ in claims:
            self.addCleanup(claim.close)
        ports = [port for _, block in claims for port in block]
        self.assertEqual(len(ports), len(set(ports)))

    def test_addresses_come_from_the_claimed_block(self):
        """Any number of addresses stays inside the claimed block."""
        for _ in range(500):
            self.assertIn(loopback.free_address().port, loopback._CLAIMED_PORTS)
