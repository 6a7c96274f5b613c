"""Test processes that run at the same time must not share ports."""

import testtools

from benchmarks import launcher
from benchmarks import ports
from nutmegtrail import models
from tests import loopback


class LoopbackTest(testtools.TestCase):
    """Claims of port blocks."""

    def test_blocks_do_not_overlap(self):
        """A claimed block is not claimed a second time."""
        claims = [ports.claim_port_block(7) for _ in range(3)]
        for claim, _ in claims:
            self.addCleanup(claim.close)
        claimed = [port for _, block in claims for port in block]
        self.assertEqual(len(claimed), len(set(claimed)))

    def test_addresses_come_from_the_claimed_block(self):
        """Any number of addresses stays inside the claimed block.

        The launcher of processes uses it too. It once took ports that a soak
        beside it had given to an entry, which could not listen then.
        """
        for _ in range(500):
            self.assertIn(loopback.free_address().port, ports.CLAIMED_PORTS)
            launched = models.parse_address(launcher.free_address())
            self.assertIn(launched.port, ports.CLAIMED_PORTS)
